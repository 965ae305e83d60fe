// Runs the admission queue on the event loop: steps it after each event and when it is due, and passes its
// decisions on. Keeps the cores of the ready engines from the endpoint lists that the decision module gets
// too.
//
// Owns the queue. Used by the event loop's thread only.
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
  // `apply_decision` gets every decision except log lines, in order.
  AdmissionQueueHost(runtime::Loop& loop, admission_queue::Settings settings, std::vector<KindSettings> kinds,
                     std::function<void(const admission_queue::Decision&)> apply_decision)
      : loop_(loop),
        settings_(settings),
        queue_(std::move(settings)),
        kinds_(std::move(kinds)),
        apply_decision_(std::move(apply_decision)) {}

  // Steps the queue for as long as the loop runs.
  runtime::Task<> Run();
  // Applies a full endpoint list or a change.
  void UpdateEndpoints(const EngineList& list);
  void set_kinds(std::vector<KindSettings> kinds) { kinds_ = std::move(kinds); }
  // Replaces the settings; the share set by SetProxyCount stays.
  void Configure(admission_queue::Settings settings);
  // Divides the budgets among `proxy_count` proxies, in place of the settings' share.
  void SetProxyCount(int proxy_count);

  // As in AdmissionQueue, at the current time.
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
  std::map<EngineId, double> ready_cores_;  // by ready engine
  runtime::ConditionVariable work_pending_;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_ADMISSION_QUEUE_HOST_H_
