// The rules that the fleet agrees on, in the running proxy: a replicated_config::Keeper on the peers' way,
// the store of a voter, the version in force put into the settings, engines out by hand, and the operators'
// calls. Made only where the operator's file has a `rules`.
//
// Contract. MayAct is asked at each act, in its turn. Nothing here waits for the disk: a voter whose store
// fails steps back and tries it again. Owner: the proxy's wiring; one loop. Errors: ConfigError from the
// constructor where this proxy is to vote and has no store. Source: docs/agreement.md.
#ifndef LEMONCROFT_CLI_REPLICATED_CONFIG_SERVICE_H_
#define LEMONCROFT_CLI_REPLICATED_CONFIG_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admin/listener.h"
#include "broker/lease_fence.h"
#include "cli/fleet.h"
#include "discovery/directory.h"
#include "operator_config/operator_file.h"
#include "replicated_config/config_replica.h"
#include "replicated_config/document.h"
#include "replicated_config/notification_pacer.h"
#include "storage/worker.h"

namespace lemoncroft::cli {

class ReplicatedConfigService : public broker::LeaseFence {
 public:
  struct LocalConfig {
    std::function<const settings::Site&()> site;                       // as this proxy's configuration has it
    std::function<const admission_queue::Settings*()> queue;           // likewise; null: no waiting line
    std::function<void(const replicated_config::Document&)> activate;  // may throw; then it isn't carried
  };

  ReplicatedConfigService(runtime::Loop& loop, Fleet& fleet, const operator_config::RulesSettings& settings,
                          const std::string& name, discovery::Directory& directory,
                          discovery::Directory::Tell tell, LocalConfig own);

  void Start();
  // Hands leadership over, if it has it: this process ends.
  void Shutdown();

  bool AdmitsClass(const std::string& class_name) override;
  bool PermitsSend(const std::string& class_name, EngineId engine) override;
  bool RecordSend(const std::string& class_name, EngineId engine, bool again) override;

  // New settings of this proxy's own: why they can't carry the version in force; nothing where they can.
  std::string CheckCompatible(const settings::Site& site, const admission_queue::Settings* queue) const;
  const replicated_config::Document& document() const { return document_; }  // in force here; empty: none yet
  const operator_config::RulesSettings& settings() const { return settings_; }

  // A call `exclude` or `include`, done here, becomes a change for the fleet; what the answer can say of it.
  runtime::Task<admin::Reply> ReplicateManualEjection(admin::Call call, admin::Reply reply);
  bool ready() const { return replica_.UsableVersion(runtime::Now()).has_value(); }
  std::vector<std::pair<std::string, std::uint64_t>> Metrics() const;

 private:
  struct ManualEjection {
    bool ejected = false;
    replicated_config::Version committed_version = 0;  // agreed on as this version, not in force here yet
    std::string why;                                   // why the fleet has not agreed yet
  };
  struct PendingCall {
    runtime::Gate gate;
    std::optional<replicated_config::RequestCompleted> finished;
  };

  static replicated_config::ConfigReplicaOptions ReplicaOptionsOf(
      const operator_config::RulesSettings& settings, const std::string& name);
  replicated_config::ConfigReplica::DocumentChecks MakeDocumentChecks();

  runtime::Task<> RunTimers();
  runtime::Task<> RunStore();
  runtime::Task<> PublishState();
  runtime::Task<> ReconcileManualEjections();
  void DispatchOutputs();
  void HandleOutput(const replicated_config::ConfigReplicaOutput& output);
  void OnStoreOpened(storage::Worker::Done& done);
  void WriteBatch(std::uint64_t number, storage::Batch batch);
  void StepDown(const std::string& why);
  runtime::Task<> ReopenStore(runtime::Span after);
  const gossip::Member* FindProcess(const raft::NodeId& name) const;
  void UpdatePeers();  // to those that live, whom the keeper may ask for texts
  void Activate(replicated_config::Version version);
  void ApplyEjections();  // engines by hand: of the version in force, and what was asked for here since
  std::optional<replicated_config::Version> UsableVersion() const;
  bool PermittedInIsolation(const std::string& class_name, EngineId engine) const;
  replicated_config::Document LatestDocument() const;

  std::string DrawId() const;
  runtime::Task<replicated_config::RequestCompleted> AwaitCompletion(std::string id);
  runtime::Task<replicated_config::RequestCompleted> Propose(replicated_config::ConfigChange change,
                                                             runtime::Span timeout);
  runtime::Task<std::string> HandleCall(std::string bytes);
  runtime::Task<std::string> ForwardToVoter(std::string bytes);
  std::string StatusText() const;

  runtime::Loop& loop_;
  Fleet& fleet_;
  operator_config::RulesSettings settings_;
  std::string name_;
  discovery::Directory& directory_;
  discovery::Directory::Tell tell_;
  LocalConfig local_config_;
  replicated_config::ConfigReplica replica_;
  replicated_config::NotificationPacer notification_pacer_;
  std::uint64_t peers_as_of_ = 0;  // the roster's changes when the keeper was told its peers
  runtime::Gate timer_changed_, ejections_changed_;
  runtime::Time planned_at_ = runtime::kNever;

  std::unique_ptr<storage::Worker> worker_;
  std::uint64_t epoch_ = 0;  // of openings: what was reported of an earlier one counts for nothing
  std::uint64_t store_ = 0;
  bool opening_store_ = false, reported_unavailable_ = false;
  runtime::Span slowest_sync_{};

  replicated_config::Document document_;
  replicated_config::Version active_version_ = 0;
  std::map<std::string, ManualEjection>
      manual_ejections_;  // engines: asked for here, and not in force by a version yet
  std::map<std::string, std::shared_ptr<PendingCall>> pending_calls_;
  mutable std::uint64_t last_change_number_ = 0;
  std::uint64_t sends_ = 0, isolated_sends_ = 0, rejected_sends_ = 0, step_downs_ = 0;
  std::string published_state_;
  bool isolated_ = false;
};

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_REPLICATED_CONFIG_SERVICE_H_
