// Steps the waiting line: when something has happened to it, and when it is due. Knows which engines are
// ready and how many cores they have, from the lists that are told to the decision module too.
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
  // `apply_decision` is handed every decision but log lines, in order.
  AdmissionQueueHost(runtime::Loop& loop, admission_queue::Settings settings, std::vector<KindSettings> kinds,
                     std::function<void(const admission_queue::Decision&)> apply_decision)
      : loop_(loop),
        settings_(settings),
        queue_(std::move(settings)),
        kinds_(std::move(kinds)),
        apply_decision_(std::move(apply_decision)) {}

  runtime::Task<> Run();
  void UpdateEndpoints(const EngineList& list);
  void set_kinds(std::vector<KindSettings> kinds) { kinds_ = std::move(kinds); }
  void Configure(admission_queue::Settings settings);
  // So many proxies share the fleet's budgets; before, what the settings told.
  void SetProxyCount(int proxy_count);

  admission_queue::AdmissionQueue::SubmitResult Submit(const admission_queue::QueuedRequest& request);
  void OnAttemptStarted(RequestId id, int attempt, int priority);
  void OnAttemptEnded(RequestId id, int attempt, admission_queue::Work reported_work, bool executed);
  void OnRequestCompleted(RequestId id);
  runtime::Span RetryAfter(admission_queue::TenantId tenant, admission_queue::ClassId class_id);
  admission_queue::AdmissionQueue::State Describe() { return queue_.Describe(runtime::Now()); }

 private:
  double ReadyCores() const;

  runtime::Loop& loop_;
  admission_queue::Settings settings_;
  std::optional<int> proxy_count_;
  admission_queue::AdmissionQueue queue_;
  std::vector<KindSettings> kinds_;
  std::function<void(const admission_queue::Decision&)> apply_decision_;
  std::map<EngineId, double> ready_cores_;  // cores of the engines that may be sent to
  runtime::Gate work_pending_;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_ADMISSION_QUEUE_HOST_H_
