// Replicates the operators' manual ejections: an accepted request takes effect at this proxy first and is
// proposed to the fleet until a version contains it.
//
// A request counts as committed only once the leader has committed a change that contains it, or has
// confirmed that the latest version does. Its proposal is stored before it is sent and is repeated under the
// same id until its outcome is known, also by a successor. So a request has its effect on the fleet once, and
// requests for an engine have it in the order of their acceptance.
//
// Used on the event loop's thread; must outlive the loop's tasks.
#ifndef LEMONCROFT_PROXY_EJECTION_REPLICATOR_H_
#define LEMONCROFT_PROXY_EJECTION_REPLICATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "admin/listener.h"
#include "hot_restart/shared_file.h"
#include "proxy/ejection_request_store.h"
#include "proxy/fleet_config_client.h"
#include "replicated_config/ejection_requests.h"
#include "runtime/loop.h"

namespace lemoncroft::proxy {

class EjectionReplicator {
 public:
  // `on_change` is called when EjectedEngines() may have changed. `file` is shared with the other processes
  // of this proxy; null if there are none.
  EjectionReplicator(runtime::Loop& loop, FleetConfigClient& fleet, std::string proxy_name,
                     std::unique_ptr<hot_restart::SharedFile> file, std::function<void()> on_change);

  void Start();

  // Accepts an operator's request. `reply` is that of the command, which is already in effect here. Returns
  // it with the outcome so far in its message.
  runtime::Task<admin::Reply> Replicate(admin::Command command, admin::Reply reply, bool was_ejected);
  // Returns the engines that must be ejected at this proxy while `active` is the active document.
  std::set<std::string> EjectedEngines(const replicated_config::Document& active) const {
    return store_.requests().EjectedEngines(active);
  }
  // Must be called when a version becomes active here.
  void OnActivated(replicated_config::Version active_version);
  const std::vector<replicated_config::EjectionRequest>& pending() const {
    return store_.requests().pending();
  }

 private:
  struct Failure {
    std::string reason;
    runtime::Time retry_at{};
  };

  runtime::Task<> ProposePending();
  runtime::Task<> WatchStore();
  runtime::Task<> ResolveProposal();
  runtime::Task<> StartProposal(std::vector<replicated_config::EjectionRequest> batch);
  runtime::Task<> ConfirmInEffect(std::set<std::string> request_ids, replicated_config::Version version);
  std::vector<replicated_config::EjectionRequest> NextBatch() const;
  runtime::Time NextRetryAt() const;
  void RecordRejection(const replicated_config::EjectionProposal& proposal, const std::string& reason);
  void RecordUnknown(const std::set<std::string>& request_ids, const std::string& reason);
  void Update(const std::function<void(replicated_config::EjectionRequests&)>& change);
  void ForgetFailuresOfSettled();
  std::string OutcomeText(const replicated_config::EjectionRequest& request) const;

  runtime::Loop& loop_;
  FleetConfigClient& fleet_;
  std::string proxy_name_;
  std::function<void()> on_change_;
  EjectionRequestStore store_;
  runtime::ConditionVariable pending_changed_;
  std::map<std::string, Failure> failures_;  // by request id: why it is not committed yet
  std::set<std::string> propose_alone_;      // ids of requests that were rejected together with others
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_EJECTION_REPLICATOR_H_
