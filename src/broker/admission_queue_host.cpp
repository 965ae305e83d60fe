#include "broker/admission_queue_host.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace lemoncroft::broker {

using runtime::Now;

namespace {

void LogRejection(const admission_queue::Reject& reject) {
  spdlog::debug("admission queue: request number {} rejected: {}", reject.id,
                admission_queue::Description(reject.reason));
}

}  // namespace

runtime::Task<> AdmissionQueueHost::Run() {
  std::vector<admission_queue::Decision> decisions;
  for (;;) {
    while (queue_.NextStepTime() > Now())
      co_await runtime::Waiter(loop_, &work_pending_, queue_.NextStepTime());
    decisions.clear();
    queue_.Step(Now(), decisions);
    for (const admission_queue::Decision& decision : decisions) {
      if (const auto* event = std::get_if<admission_queue::LogEvent>(&decision))
        spdlog::info("admission queue: {}", event->text);
      else
        apply_decision_(decision);
      if (const auto* reject = std::get_if<admission_queue::Reject>(&decision)) LogRejection(*reject);
    }
    co_await loop_.NextTurn();  // other coroutines run between two steps
  }
}

void AdmissionQueueHost::UpdateEndpoints(const EngineList& list) {
  if (!list.entries) return;
  const double cores_before = ReadyCores();
  if (list.kind != ListKind::kChange) ready_cores_.clear();
  for (const EngineEntry& entry : *list.entries) {
    const double cores = entry.kind < kinds_.size() ? kinds_[entry.kind].cores : 0;
    if (entry.readiness == Readiness::kReady)
      ready_cores_[entry.engine] = std::max(1.0, cores);
    else
      ready_cores_.erase(entry.engine);
  }
  if (ReadyCores() != cores_before) queue_.SetFleetCores(ReadyCores(), Now());
  work_pending_.Notify();
}

void AdmissionQueueHost::Configure(admission_queue::Settings settings) {
  settings_ = std::move(settings);
  if (proxy_count_) settings_.budget_share = 1.0 / std::max(1, *proxy_count_);
  queue_.Configure(settings_, Now());
  work_pending_.Notify();
}

void AdmissionQueueHost::SetProxyCount(int proxy_count) {
  proxy_count_ = proxy_count;
  Configure(settings_);
}

admission_queue::AdmissionQueue::SubmitResult AdmissionQueueHost::Submit(
    const admission_queue::QueuedRequest& request) {
  work_pending_.Notify();
  const admission_queue::AdmissionQueue::SubmitResult result = queue_.Submit(request, Now());
  if (result.rejected) LogRejection(*result.rejected);
  return result;
}

void AdmissionQueueHost::OnAttemptStarted(RequestId id, int attempt, int priority) {
  queue_.OnAttemptStarted(id, attempt, priority, Now());
  work_pending_.Notify();
}

void AdmissionQueueHost::OnAttemptEnded(RequestId id, int attempt, admission_queue::Work reported_work,
                                        bool may_have_run) {
  queue_.OnAttemptEnded(id, attempt, reported_work, may_have_run, Now());
  work_pending_.Notify();
}

void AdmissionQueueHost::OnRequestCompleted(RequestId id) {
  queue_.OnRequestCompleted(id, Now());
  work_pending_.Notify();
}

runtime::Duration AdmissionQueueHost::RetryAfter(admission_queue::TenantId tenant,
                                                 admission_queue::ClassId class_id) {
  return queue_.RetryAfter(tenant, class_id, Now());
}

double AdmissionQueueHost::ReadyCores() const {
  double cores = 0;
  for (const auto& [engine, engine_cores] : ready_cores_) cores += engine_cores;
  return cores;
}

}  // namespace lemoncroft::broker
