// The rules that the fleet agrees on, in the running proxy: a replicated_config::Keeper on the peers' way,
// the store of a voter, the version in force put into the settings, engines out by hand, and the operators'
// calls. Made only where the operator's file has a `rules`.
//
// Contract. MayAct is asked at each act, in its turn. Nothing here waits for the disk: a voter whose store
// fails steps back and tries it again. Owner: the proxy's wiring; one loop. Errors: ConfigError from the
// constructor where this proxy is to vote and has no store. Source: docs/agreement.md.
#ifndef LEMONCROFT_CLI_RULES_H_
#define LEMONCROFT_CLI_RULES_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admin/listener.h"
#include "broker/authority.h"
#include "cli/fleet.h"
#include "discovery/directory.h"
#include "operator_config/operator_file.h"
#include "replicated_config/document.h"
#include "replicated_config/keeper.h"
#include "replicated_config/tell_pace.h"
#include "storage/worker.h"

namespace lemoncroft::cli {

class Rules : public broker::Authority {
 public:
  struct Own {
    std::function<const settings::Site&()> site;             // as this proxy's configuration has it
    std::function<const admission_queue::Settings*()> line;  // likewise; null: no waiting line
    std::function<void(const replicated_config::Document&)> put_in_force;  // may throw; then it isn't carried
  };

  Rules(runtime::Loop& loop, Fleet& fleet, const operator_config::RulesSettings& settings,
        const std::string& name, discovery::Directory& directory, discovery::Directory::Tell tell, Own own);

  void Start();
  // Hands leadership over, if it has it: this process ends.
  void End();

  bool Takes(const std::string& klass) override;
  bool Allows(const std::string& klass, EngineId engine) override;
  bool Acts(const std::string& klass, EngineId engine, bool again) override;

  // New settings of this proxy's own: why they can't carry the version in force; nothing where they can.
  std::string WhyNot(const settings::Site& site, const admission_queue::Settings* line) const;
  const replicated_config::Document& document() const { return document_; }  // in force here; empty: none yet
  const operator_config::RulesSettings& settings() const { return settings_; }

  // A call `exclude` or `include`, done here, becomes a change for the fleet; what the answer can say of it.
  runtime::Task<admin::Reply> ByHand(admin::Call call, admin::Reply reply);
  bool ready() const { return keeper_.MayAct(runtime::Now()).has_value(); }
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;

 private:
  struct Hand {
    bool out = false;
    replicated_config::Version taken = 0;  // agreed on as this version, not in force here yet
    std::string why;                       // why the fleet has not agreed yet
  };
  struct Waiting {
    runtime::Gate gate;
    std::optional<replicated_config::Finished> finished;
  };

  static replicated_config::KeeperTerms TermsOf(const operator_config::RulesSettings& settings,
                                                const std::string& name);
  replicated_config::Keeper::Checks ChecksOf();

  runtime::Task<> Beat();
  runtime::Task<> Store();
  runtime::Task<> Tell();
  runtime::Task<> Reconcile();
  void Pump();
  void CarryOut(const replicated_config::KeeperOutput& output);
  void Opened(storage::Worker::Done& done);
  void Write(std::uint64_t number, storage::Batch batch);
  void StepBack(const std::string& why);
  runtime::Task<> OpenAgain(runtime::Span after);
  const gossip::Member* Reach(const raft::NodeId& name) const;
  void SetPeers();  // to those that live, whom the keeper may ask for texts
  void PutInForce(replicated_config::Version version);
  void PutOut();  // engines by hand: of the version in force, and what was asked for here since
  std::optional<replicated_config::Version> MayAct() const;
  bool Kept(const std::string& klass, EngineId engine) const;
  replicated_config::Document NewestDocument() const;

  std::string DrawId() const;
  runtime::Task<replicated_config::Finished> Await(std::string id);
  runtime::Task<replicated_config::Finished> Propose(replicated_config::Change change,
                                                     runtime::Span patience);
  runtime::Task<std::string> Called(std::string bytes);
  runtime::Task<std::string> Forward(std::string bytes);
  std::string StatusText() const;

  runtime::Loop& loop_;
  Fleet& fleet_;
  operator_config::RulesSettings settings_;
  std::string name_;
  discovery::Directory& directory_;
  discovery::Directory::Tell tell_;
  Own own_;
  replicated_config::Keeper keeper_;
  replicated_config::TellPace tell_pace_;
  std::uint64_t peers_as_of_ = 0;  // the members's changes when the keeper was told its peers
  runtime::Gate sooner_, hands_changed_;
  runtime::Time planned_ = runtime::kNever;

  std::unique_ptr<storage::Worker> worker_;
  std::uint64_t epoch_ = 0;  // of openings: what was reported of an earlier one counts for nothing
  std::uint64_t store_ = 0;
  bool opening_ = false, told_closed_ = false;
  runtime::Span slowest_sync_{};

  replicated_config::Document document_;
  replicated_config::Version applied_ = 0;
  std::map<std::string, Hand> hands_;  // engines: asked for here, and not in force by a version yet
  std::map<std::string, std::shared_ptr<Waiting>> waiting_;
  mutable std::uint64_t ids_ = 0;
  std::uint64_t acts_ = 0, kept_acts_ = 0, forbidden_ = 0, stepped_back_ = 0;
  std::string shown_;
  bool cut_off_ = false;
};

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_RULES_H_
