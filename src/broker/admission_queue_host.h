// Runs the admission queue on the event loop: steps it after each event and when a step is due, and passes on
// its decisions. Tracks the cores of the ready engines, from the same endpoint lists that the decision module
// receives.
//
// Owns the queue. It is not thread-safe and is used on the event loop's thread.
#ifndef LEMONCROFT_BROKER_ADMISSION_QUEUE_HOST_H_
#define LEMONCROFT_BROKER_ADMISSION_QUEUE_HOST_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "admission_queue/admission_queue.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::broker {

class AdmissionQueueHost {
 public:
  // `apply_decision` is called with every decision except log events, in order.
  AdmissionQueueHost(runtime::Loop& loop, admission_queue::Settings settings, std::vector<KindSettings> kinds,
                     std::function<void(const admission_queue::Decision&)> apply_decision)
      : loop_(loop),
        settings_(settings),
        queue_(std::move(settings)),
        kinds_(std::move(kinds)),
        apply_decision_(std::move(apply_decision)) {}

  // Steps the queue until the loop stops.
  runtime::Task<> Run();
  // Applies a complete endpoint list or a change to it.
  void UpdateEndpoints(const EngineList& list);
  void set_kinds(std::vector<KindSettings> kinds) { kinds_ = std::move(kinds); }
  // Replaces the settings. A budget share that was set by SetProxyCount is retained.
  void Configure(admission_queue::Settings settings);
  // Divides the budgets among `proxy_count` proxies, instead of using the budget share of the settings.
  void SetProxyCount(int proxy_count);

  // These functions call those of AdmissionQueue with the current time.
  admission_queue::AdmissionQueue::SubmitResult Submit(const admission_queue::QueuedRequest& request);
  void OnAttemptStarted(RequestId id, int attempt, int priority);
  void OnAttemptEnded(RequestId id, int attempt, admission_queue::Work reported_work, bool may_have_run);
  void OnRequestCompleted(RequestId id);
  runtime::Duration RetryAfter(admission_queue::TenantId tenant, admission_queue::ClassId class_id);
  admission_queue::AdmissionQueue::State Describe() { return queue_.Describe(runtime::Now()); }

 private:
  double ReadyCores() const;

  runtime::Loop& loop_;
  admission_queue::Settings settings_;
  std::optional<int> proxy_count_;
  admission_queue::AdmissionQueue queue_;
  std::vector<KindSettings> kinds_;
  std::function<void(const admission_queue::Decision&)> apply_decision_;
  std::map<EngineId, double> ready_cores_;  // of each ready engine
  runtime::ConditionVariable work_pending_;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_ADMISSION_QUEUE_HOST_H_
