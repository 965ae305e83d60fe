// Runs every request from its submission to its final response, independently of any wire protocol.
//
// A front end submits a ClientRequest with a ResponseSink. The decision module decides where attempts are
// sent and when a request is rejected or failed; the back end runs the attempts; an admission queue, if
// enabled, decides when a request is passed to the decision module. Each request has its own coroutine
// (RunRequest), which reacts to one event at a time.
//
// A submitted request gets exactly one response, unless it is cancelled. The end of each attempt that the
// decision module requests is reported to it exactly once. The code that assembles the proxy owns the broker;
// all arguments of the constructor must outlive it. The broker is not thread-safe; it is used on the event
// loop's thread.
//
// The implementation is in broker.cpp (settings, endpoint list, dispatch of decisions), submission.cpp,
// request_lifecycle.cpp, ordering_keys.cpp and attempts.cpp.
#ifndef LEMONCROFT_BROKER_BROKER_H_
#define LEMONCROFT_BROKER_BROKER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/engines.h"
#include "broker/active_request.h"
#include "broker/admission_queue_host.h"
#include "broker/module_host.h"
#include "hot_restart/ordering_key_turns.h"
#include "lemoncroft/gateway.h"
#include "metrics/counters.h"
#include "request/client_request.h"
#include "request/lease_fence.h"
#include "runtime/loop.h"
#include "settings/migration.h"
#include "settings/settings.h"

namespace lemoncroft::broker {

class Broker {
 public:
  // Requests beyond these limits are rejected. A request is open until its final response, and active until
  // its last attempt has ended as well.
  struct Limits {
    std::size_t max_requests = 4096;                // active requests
    std::size_t max_bytes = std::size_t{48} << 20;  // total size of the forwarded fields of open requests
  };

  Broker(runtime::Loop& loop, const settings::ActiveSettings& site, std::uint64_t seed,
         backend::Engines& engines, metrics::Counters& counters, Limits limits);

  // Places an admission queue in front of the decision module. Must be called before Start. Without an
  // admission queue, requests are passed to the module on arrival.
  void EnableAdmissionQueue(admission_queue::Settings settings);
  AdmissionQueueHost* admission_queue() { return queue_.get(); }  // null if not enabled
  // Fences requests with the configuration lease. Must be called before Start. Null: every action is
  // permitted.
  void set_lease_fence(request::LeaseFence* lease_fence) {
    lease_fence_ = lease_fence;
    engines_.set_lease_fence(lease_fence);
  }
  // Shares the order of ordering keys with the other processes of this proxy. Must be called before Start.
  // Null: there are none.
  void set_ordering_key_turns(hot_restart::OrderingKeyTurns* turns) { ordering_key_turns_ = turns; }
  // Starts the decision module and the admission queue on the loop.
  void Start();

  // Submits a request. `sink` may receive the response during the call. Returns the id with which the request
  // can be cancelled, or 0 if the request was rejected or failed during the call.
  RequestId Submit(request::ClientRequest client_request, std::unique_ptr<request::ResponseSink> sink);
  // Cancels a request whose client no longer waits. Its sink receives nothing more. Unknown ids are ignored.
  void CancelRequest(RequestId id);

  // Applies a new endpoint list or a change to it.
  void UpdateEndpoints(EngineList list);
  // Applies the active settings after a change. `former_class` has the same meaning as in
  // SettingsChanged; `max_requests` replaces Limits::max_requests.
  void ApplySettings(std::vector<int> former_class, std::size_t max_requests);
  // Sets the number of processes that share this proxy's budgets during a hot restart.
  void SetProcessCount(int process_count) { module_host_.Post(ProcessCount{process_count}); }
  // Sets the number of serving proxies, and the 0-based index of this proxy among them.
  void SetFleetSize(int proxy_count, int proxy_index);

  // Rejects all requests that are submitted from now on, because the process is about to exit.
  void RejectNewRequests() { rejects_new_requests_ = true; }
  // Makes the decision module reject or fail, in its next step, all open requests that were passed to it.
  // Requests that wait in the admission queue are not affected.
  void CompleteAllRequests() { module_host_.Post(Shutdown{}); }

  // Returns the classes and tenants of active requests, which a change of settings must retain.
  settings::ReferencedNumbers NumbersInUse() const;
  // The number of requests without a final response.
  std::size_t open_requests() const { return open_requests_; }
  // Returns true if there is no active request, and no cancellation or change of priority is being sent to an
  // engine.
  bool idle() const { return active_requests_.empty() && !engines_.has_pending_commands(); }
  // Returns the engines that the decision module currently ejects as outliers.
  std::vector<EngineId> EjectedEngines() const { return module_host_.EjectedEngines(); }

 private:
  // kCompleted: the request has got its final response, or its client has cancelled it.
  enum class Progress { kOpen, kCompleted };

  // Submission (submission.cpp).

  // Returns the response to a request that can't be admitted, or nothing if it can be admitted.
  std::optional<request::Response> CheckAdmission(const request::ClientRequest& client_request) const;
  // Submits a request to the admission queue. Returns the response if the queue rejects the request.
  std::optional<request::Response> SubmitToQueue(RequestId id, const request::ClientRequest& client_request,
                                                 request::ResponseSink& sink);
  runtime::Duration MaxRetryAfter() const;

  // Ordering keys that other processes of this proxy may use too (ordering_keys.cpp).

  void RegisterOrderingKey(const ActiveRequest& request);
  // Returns true if the request, which is about to be passed to the decision module, must be held because
  // another process has an earlier request of its key. WatchOrderingKeys releases it.
  bool MustHoldForOrderingKey(const ActiveRequest& request);
  void PauseOrderingKey(ActiveRequest& request) const;
  void FinishOrderingKey(const ActiveRequest& request);
  // Releases held requests when they have their turn, until the loop stops.
  runtime::Task<> WatchOrderingKeys();

  // The coroutine of a request (request_lifecycle.cpp).

  void PassToModule(const ActiveRequest& request);
  runtime::Task<> RunRequest(ActiveRequestPtr request);
  // Reacts to events until the request is complete.
  runtime::Task<> RunUntilCompleted(const ActiveRequestPtr& request);
  // Cancels the attempts that still run after completion and reports their ends to the decision module, which
  // waits for them.
  runtime::Task<> AwaitCancelledAttempts(ActiveRequest& request);
  runtime::Task<RequestEvent> NextEvent(ActiveRequest& request, runtime::Time deadline);

  Progress OnEvent(const ActiveRequestPtr& request, const ResourceGrant& grant);
  Progress OnEvent(const ActiveRequestPtr& request, const Send& send);
  Progress OnEvent(const ActiveRequestPtr& request, const Cancel& cancel);
  Progress OnEvent(const ActiveRequestPtr& request, const RejectRequest& reject);
  Progress OnEvent(const ActiveRequestPtr& request, const FailRequest& fail);
  Progress OnEvent(const ActiveRequestPtr& request, AttemptFinished& finished);
  Progress OnEvent(const ActiveRequestPtr& request, const CancelledByClient& cancelled);
  Progress OnEvent(const ActiveRequestPtr& request, const DeadlinePassed& passed);
  Progress OnEvent(const ActiveRequestPtr& request, const admission_queue::Dispatch& dispatch);
  Progress OnEvent(const ActiveRequestPtr& request, const RejectedByQueue& rejected);
  Progress OnEvent(const ActiveRequestPtr& request, const request::WaitNotice& notice);

  // The only function that delivers a response and counts it.
  void Respond(const std::string& class_name, request::ResponseSink& sink, const request::Response& response);
  void Respond(ActiveRequest& request, const request::Response& response);
  runtime::Duration RetryAfter(const ActiveRequest& request, const RejectRequest& reject);

  // Attempts (attempts.cpp).

  void StartAttempt(const ActiveRequestPtr& request, const Send& send);
  runtime::Task<> RunAttempt(ActiveRequestPtr request, int number, backend::Attempt attempt);
  // Adds a record to the request and notifies the admission queue. Returns the attempt's number.
  int AddAttempt(ActiveRequest& request, EngineId engine);
  // Returns true if the lease doesn't permit the send and the request can still be rejected, because none of
  // its attempts can have run.
  bool MustRejectForLease(const ActiveRequest& request, const Send& send) const;
  // Reports an attempt that the decision module requested and that is not made.
  void ReportNotSent(ActiveRequest& request, const Send& send, Progress progress);
  void ReportAttemptEnded(ActiveRequest& request, const AttemptFinished& finished, Progress progress);
  // Applies a grant to further attempts, and its priority also to running ones.
  void ApplyGrant(ActiveRequest& request, const ResourceGrant& grant);

  // Decisions (broker.cpp).

  void Apply(const Action& action);
  void Apply(const admission_queue::Decision& decision);
  void Deliver(RequestId id, RequestEvent event);
  runtime::Task<> RunProbe(EngineId engine);

  runtime::Loop& loop_;
  const settings::ActiveSettings& site_;
  backend::Engines& engines_;
  metrics::Counters& counters_;
  Limits limits_;
  ModuleHost module_host_;
  std::unique_ptr<AdmissionQueueHost> queue_;  // null if not enabled
  std::unordered_map<RequestId, ActiveRequestPtr> active_requests_;
  std::unordered_map<std::string, RequestId> ids_by_client_id_;  // of the active requests
  RequestId next_id_ = 1;
  std::size_t open_requests_ = 0;
  std::size_t open_bytes_ = 0;  // total size of the forwarded fields of the open requests
  bool rejects_new_requests_ = false;
  request::LeaseFence* lease_fence_ = nullptr;
  hot_restart::OrderingKeyTurns* ordering_key_turns_ = nullptr;
  runtime::ConditionVariable ordering_keys_busy_;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_BROKER_H_
