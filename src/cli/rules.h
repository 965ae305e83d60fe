// The rules that the fleet agrees on, in the running proxy: a rules::Keeper on the peers' way, the store of a
// voter, the version in force put into the settings, engines out by hand, and the operators' calls. Made only
// where the operator's file has a `rules`.
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

#include "broker/authority.h"
#include "cli/fleet.h"
#include "management/listener.h"
#include "membership/directory.h"
#include "operator/operator_file.h"
#include "rules/document.h"
#include "rules/keeper.h"
#include "rules/tell_pace.h"
#include "storage/worker.h"

namespace lemoncroft::cli {

class Rules : public broker::Authority {
 public:
  struct Own {
    std::function<const settings::Site&()> site;               // as this proxy's configuration has it
    std::function<const waiting::Settings*()> line;            // likewise; null: no waiting line
    std::function<void(const rules::Document&)> put_in_force;  // may throw; then it isn't carried
  };

  Rules(runtime::Loop& loop, Fleet& fleet, const op::RulesSettings& settings, const std::string& name,
        membership::Directory& directory, membership::Directory::Tell tell, Own own);

  void Start();
  // Hands leadership over, if it has it: this process ends.
  void End();

  bool Takes(const std::string& klass) override;
  bool Allows(const std::string& klass, EngineId engine) override;
  bool Acts(const std::string& klass, EngineId engine, bool again) override;

  // New settings of this proxy's own: why they can't carry the version in force; nothing where they can.
  std::string WhyNot(const settings::Site& site, const waiting::Settings* line) const;
  const rules::Document& document() const { return document_; }  // in force here; empty: none yet
  const op::RulesSettings& settings() const { return settings_; }

  // A call `exclude` or `include`, done here, becomes a change for the fleet; what the answer can say of it.
  runtime::Task<management::Reply> ByHand(management::Call call, management::Reply reply);
  bool ready() const { return keeper_.MayAct(runtime::Now()).has_value(); }
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;

 private:
  struct Hand {
    bool out = false;
    rules::Version taken = 0;  // agreed on as this version, not in force here yet
    std::string why;           // why the fleet has not agreed yet
  };
  struct Waiting {
    runtime::Gate gate;
    std::optional<rules::Finished> finished;
  };

  static rules::KeeperTerms TermsOf(const op::RulesSettings& settings, const std::string& name);
  rules::Keeper::Checks ChecksOf();

  runtime::Task<> Beat();
  runtime::Task<> Store();
  runtime::Task<> Tell();
  runtime::Task<> Reconcile();
  void Pump();
  void CarryOut(const rules::KeeperOutput& output);
  void Opened(storage::Worker::Done& done);
  void Write(std::uint64_t number, storage::Batch batch);
  void StepBack(const std::string& why);
  runtime::Task<> OpenAgain(runtime::Span after);
  const peers::Member* Reach(const agreement::Name& name) const;
  void SetPeers();  // to those that live, whom the keeper may ask for texts
  void PutInForce(rules::Version version);
  void PutOut();  // engines by hand: of the version in force, and what was asked for here since
  std::optional<rules::Version> MayAct() const;
  bool Kept(const std::string& klass, EngineId engine) const;
  rules::Document NewestDocument() const;

  std::string DrawId() const;
  runtime::Task<rules::Finished> Await(std::string id);
  runtime::Task<rules::Finished> Propose(rules::Change change, runtime::Span patience);
  runtime::Task<std::string> Called(std::string bytes);
  runtime::Task<std::string> Forward(std::string bytes);
  std::string StatusText() const;

  runtime::Loop& loop_;
  Fleet& fleet_;
  op::RulesSettings settings_;
  std::string name_;
  membership::Directory& directory_;
  membership::Directory::Tell tell_;
  Own own_;
  rules::Keeper keeper_;
  rules::TellPace tell_pace_;
  std::uint64_t peers_as_of_ = 0;  // the roster's changes when the keeper was told its peers
  runtime::Gate sooner_, hands_changed_;
  runtime::Time planned_ = runtime::kNever;

  std::unique_ptr<storage::Worker> worker_;
  std::uint64_t epoch_ = 0;  // of openings: what was reported of an earlier one counts for nothing
  std::uint64_t store_ = 0;
  bool opening_ = false, told_closed_ = false;
  runtime::Span slowest_sync_{};

  rules::Document document_;
  rules::Version applied_ = 0;
  std::map<std::string, Hand> hands_;  // engines: asked for here, and not in force by a version yet
  std::map<std::string, std::shared_ptr<Waiting>> waiting_;
  mutable std::uint64_t ids_ = 0;
  std::uint64_t acts_ = 0, kept_acts_ = 0, forbidden_ = 0, stepped_back_ = 0;
  std::string shown_;
  bool cut_off_ = false;
};

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_RULES_H_
