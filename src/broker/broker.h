// Runs every request from its submission to its one final response, in terms of no wire protocol.
//
// A front end submits a ClientRequest with a ResponseSink. The decision module says where attempts are sent
// and when a request is rejected or failed; the back end runs the attempts; an admission queue, if enabled,
// says when the decision module gets the request. Each request has a coroutine of its own (RunRequest), which
// reacts to one event at a time.
//
// Contract: a submitted request gets exactly one response, unless it is cancelled; each attempt that the
// decision module asks for is reported to it exactly once. Owner: the proxy's wiring; all arguments of the
// constructor outlive the broker. Thread safety: none; used on the event loop's thread.
//
// The implementation is in broker.cpp (settings, endpoint list, dispatch of decisions), submission.cpp,
// request_lifecycle.cpp and attempts.cpp.
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
  // Further requests are rejected. A request is open until its final response, and active until its last
  // attempt has ended as well.
  struct Limits {
    std::size_t max_requests = 4096;                // active
    std::size_t max_bytes = std::size_t{48} << 20;  // forwarded fields of open requests
  };

  Broker(runtime::Loop& loop, const settings::ActiveSettings& site, std::uint64_t seed,
         backend::Engines& engines, metrics::Counters& counters, Limits limits);

  // Holds requests in an admission queue ahead of the decision module. Call before Start. Without it,
  // requests go to the module on arrival.
  void EnableAdmissionQueue(admission_queue::Settings settings);
  AdmissionQueueHost* admission_queue() { return queue_.get(); }  // null if not enabled
  // Fences requests with the configuration lease; set before Start. Null: every action is permitted.
  void set_lease_fence(request::LeaseFence* lease_fence) {
    lease_fence_ = lease_fence;
    engines_.set_lease_fence(lease_fence);
  }
  // Starts the decision module and the admission queue on the loop.
  void Start();

  // Submits a request. `sink` may get the response within the call. Returns the number to cancel the request
  // by; 0 if it has been rejected or failed already.
  RequestId Submit(request::ClientRequest client_request, std::unique_ptr<request::ResponseSink> sink);
  // Cancels a request whose client no longer waits: its sink gets nothing more. Ignores unknown numbers.
  void CancelRequest(RequestId id);

  // Applies a new endpoint list or a change of it.
  void UpdateEndpoints(EngineList list);
  // Applies the active settings after a change. `inherits_estimates_from` as in SettingsChanged;
  // `max_requests` replaces the one of Limits.
  void ApplySettings(std::vector<int> inherits_estimates_from, std::size_t max_requests);
  // The number of processes that share this proxy's budgets, during a hot restart.
  void SetProcessCount(int process_count) { host_.Post(ProcessCount{process_count}); }
  // The number of proxies that serve, and this one's rank among them.
  void SetFleetSize(int proxy_count, int rank);

  // Rejects all requests submitted from now on: the process is about to end.
  void RejectNewRequests() { rejects_new_requests_ = true; }
  // Makes the decision module complete all open requests at once.
  void CompleteAllRequests() { host_.Post(Shutdown{}); }

  // Classes and tenants of active requests, which a change of settings has to keep.
  settings::ReferencedNumbers NumbersInUse() const;
  // Requests without a final response.
  std::size_t open_requests() const { return open_requests_; }
  // True if no attempt runs and no engine is still to be told of a cancellation.
  bool idle() const { return active_requests_.empty() && !engines_.has_pending_commands(); }
  // Engines that the decision module avoids by its own choice.
  std::vector<EngineId> EjectedEngines() const { return host_.EjectedEngines(); }

 private:
  // kCompleted: the request has had its final response, or its client has cancelled it.
  enum class Progress { kOpen, kCompleted };

  // Submission (submission.cpp).

  // The response to a request that can't be admitted; nothing if it can.
  std::optional<request::Response> CheckAdmission(const request::ClientRequest& client_request) const;
  // Submits a request to the admission queue; returns the response if the queue rejects it.
  std::optional<request::Response> SubmitToQueue(RequestId id, const request::ClientRequest& client_request,
                                                 request::ResponseSink& sink);
  runtime::Duration MaxRetryAfter() const;

  // The coroutine of a request (request_lifecycle.cpp).

  runtime::Task<> RunRequest(ActiveRequestPtr request);
  // Reacts to events until the request is complete.
  runtime::Task<> RunUntilCompleted(const ActiveRequestPtr& request);
  // Cancels what still runs after completion and reports its end to the decision module, which waits for it.
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
  // Adds a record to the request and tells the admission queue. Returns the attempt's number.
  int AddAttempt(ActiveRequest& request, EngineId engine);
  // Whether the lease forbids to send and the request can still be rejected, since nothing of it has run.
  bool MustRejectForLease(const ActiveRequest& request, const Send& send) const;
  // Reports an attempt that the decision module asked for and that isn't made.
  void ReportNotSent(ActiveRequest& request, const Send& send, Progress progress);
  void ReportAttemptEnded(const ActiveRequest& request, const AttemptFinished& finished, Progress progress);
  // Grants resources to further attempts, and changes the priority of running ones.
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
  ModuleHost host_;
  std::unique_ptr<AdmissionQueueHost> queue_;  // null if not enabled
  std::unordered_map<RequestId, ActiveRequestPtr> active_requests_;
  std::unordered_map<std::string, RequestId> ids_by_client_id_;  // of the active requests
  RequestId next_id_ = 1;
  std::size_t open_requests_ = 0;
  std::size_t open_bytes_ = 0;  // forwarded fields of the open requests
  bool rejects_new_requests_ = false;
  request::LeaseFence* lease_fence_ = nullptr;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_BROKER_H_
