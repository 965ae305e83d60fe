// The replicated configuration in a running proxy: connects a ConfigReplica to the peer transport, a voter's
// store, the proxy's settings, the endpoint directory and the operators' calls. It exists only if the
// operator's file has a `rules` block.
//
// The lease is checked in the same turn of the event loop as the action that requires it. The event loop
// never waits for the disk: a voter whose store fails steps down and reopens the store later.
//
// RunProxy owns the object. It is not thread-safe and runs on one event loop. docs/agreement.md describes the
// design.
#ifndef LEMONCROFT_PROXY_REPLICATED_CONFIG_SERVICE_H_
#define LEMONCROFT_PROXY_REPLICATED_CONFIG_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "admin/listener.h"
#include "discovery/endpoint_directory.h"
#include "operator_config/operator_file.h"
#include "proxy/ejection_replicator.h"
#include "proxy/fleet.h"
#include "proxy/fleet_config_client.h"
#include "replicated_config/config_replica.h"
#include "replicated_config/document.h"
#include "replicated_config/notification_pacer.h"
#include "request/lease_fence.h"
#include "storage/worker.h"

namespace lemoncroft::proxy {

class ReplicatedConfigService : public request::LeaseFence, private FleetConfigClient {
 public:
  struct LocalConfig {
    std::function<const settings::Site&()> site;              // of this proxy's own configuration
    std::function<const admission_queue::Settings*()> queue;  // of this proxy's own; null: no admission queue
    std::function<void(const replicated_config::Document&)> activate;  // applies a document; may throw
  };

  // `shared_ejections` is the file in which the processes of this proxy keep operators' manual ejections that
  // are not active yet; null if there are no others. Throws ConfigError if this proxy is a voter without a
  // store.
  ReplicatedConfigService(runtime::Loop& loop, Fleet& fleet,
                          const operator_config::ReplicatedConfigSettings& settings, const std::string& name,
                          discovery::EndpointDirectory& directory,
                          discovery::EndpointDirectory::UpdateCallback on_update, LocalConfig local_config,
                          std::unique_ptr<hot_restart::SharedFile> shared_ejections);

  void Start();
  // Transfers leadership to another voter if this proxy is the leader, because the process ends.
  void Shutdown();

  bool AdmitsClass(const std::string& class_name) override;
  bool PermitsSend(const std::string& class_name, EngineId engine) override;
  // Returns false if the send is not permitted.
  bool PermitAndRecordSend(const std::string& class_name, EngineId engine, bool may_have_run) override;

  // Checks that the active version can be applied to these new settings of this proxy.
  [[nodiscard]] tl::expected<void, replicated_config::IncompatibleDocument> CheckCompatible(
      const settings::Site& site, const admission_queue::Settings* queue) const;
  // Returns the document that is active here; it is empty before the first activation.
  const replicated_config::Document& document() const { return document_; }
  const operator_config::ReplicatedConfigSettings& settings() const { return settings_; }

  // Proposes to the fleet an accepted `exclude`, which is already in effect here, or an accepted `include`,
  // which takes effect with the version that contains it. Returns `reply` with the outcome so far in its
  // message.
  runtime::Task<admin::Reply> ReplicateManualEjection(admin::Command call, admin::Reply reply);
  // Returns true if this proxy has a lease. The version of the lease may not be active here yet; sends are
  // rejected until it is (see UsableVersion).
  bool ready() const { return replica_.UsableVersion(runtime::Now()).has_value(); }
  std::vector<std::pair<std::string, std::uint64_t>> Metrics() const;

 private:
  static constexpr std::size_t kMaxPendingCalls = 64;
  static constexpr const char* kStateAttribute = "rules";  // gossip attribute with the versions in use here

  struct PendingCall {
    runtime::ConditionVariable completed;
    std::optional<replicated_config::RequestCompleted> result;
  };

  static replicated_config::ConfigReplicaOptions ReplicaOptionsOf(
      const operator_config::ReplicatedConfigSettings& settings, const std::string& name);
  replicated_config::DocumentChecks MakeDocumentChecks();

  runtime::Task<> RunTimers();
  runtime::Task<> RunStore();
  runtime::Task<> PublishState();
  void DispatchOutputs();
  void HandleOutput(const replicated_config::ConfigReplicaOutput& output);
  void OnStoreOpened(storage::Worker::Completion& done);
  void WriteBatch(std::uint64_t number, storage::WriteBatch batch);
  void StepDown(const std::string& reason);
  runtime::Task<> ReopenStore(runtime::Duration delay);
  const gossip::Member* FindProcess(const raft::NodeId& name) const;
  void UpdatePeers();  // sets the live members, from which the replica may fetch documents
  void Activate(replicated_config::Version version);
  void ApplyEjections();  // those of the active version, and later ones requested here
  std::optional<replicated_config::Version> UsableVersion() const;
  bool PermittedInIsolation(const std::string& class_name, EngineId engine) const;

  replicated_config::Version latest_version() const override { return replica_.holder().latest_version(); }
  const std::string* FindDocument(replicated_config::Version version) const override {
    return replica_.FindDocument(version);
  }
  std::string NewRequestId() const override;
  bool CanSubmitRequest() const override { return pending_calls_.size() < kMaxPendingCalls; }
  runtime::Task<replicated_config::RequestCompleted> Propose(replicated_config::ConfigChange change,
                                                             runtime::Duration timeout) override;
  runtime::Task<replicated_config::RequestCompleted> ReadCommitted(runtime::Duration timeout) override;
  runtime::Task<replicated_config::RequestCompleted> AwaitCompletion(std::string id);
  runtime::Task<std::string> HandleCall(std::string bytes);
  runtime::Task<std::string> HandleChangeCall(const nlohmann::ordered_json& call);
  runtime::Task<std::string> ForwardToVoter(std::string bytes);
  std::string StatusText() const;
  std::string HistoryText() const;
  static std::int64_t ToMonotonicUs(runtime::Time at) {
    return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
  }

  runtime::Loop& loop_;
  Fleet& fleet_;
  operator_config::ReplicatedConfigSettings settings_;
  std::string name_;
  discovery::EndpointDirectory& directory_;
  discovery::EndpointDirectory::UpdateCallback on_update_;
  LocalConfig local_config_;
  replicated_config::DocumentChecks document_checks_;
  replicated_config::ConfigReplica replica_;
  replicated_config::NotificationPacer notification_pacer_;
  std::uint64_t peers_change_count_ = 0;  // change count of the member table at the last UpdatePeers()
  runtime::ConditionVariable timer_changed_;
  runtime::Time planned_deadline_ = runtime::kNever;

  std::unique_ptr<storage::Worker> worker_;
  std::uint64_t epoch_ = 0;  // number of times the store was opened; results of earlier openings are ignored
  bool opening_store_ = false, reported_unavailable_ = false;
  runtime::Duration slowest_sync_{};

  replicated_config::Document document_;
  replicated_config::Version active_version_ = 0;
  EjectionReplicator ejections_;
  std::map<std::string, std::shared_ptr<PendingCall>> pending_calls_;
  mutable std::uint64_t last_request_number_ = 0;
  std::uint64_t sends_ = 0, isolated_sends_ = 0, rejected_sends_ = 0, step_downs_ = 0;
  std::string published_state_;
  bool isolated_ = false;  // no usable version; "cut_off" in logs, "/cut-off" in the gossip attribute
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_REPLICATED_CONFIG_SERVICE_H_
