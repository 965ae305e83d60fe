// Latency objectives and deadlines: timed checks of requests.
#include <algorithm>

#include "decision/constants.h"
#include "decision/scheduler.h"

namespace lemoncroft::decision {

void Scheduler::ScheduleCheck(RequestState& request, Nanos due) {
  request.next_check_at = std::max(due, now_);
  timers_.Schedule(request.next_check_at, request.spec.id);
}

void Scheduler::RunTimers() {
  while (const auto timer = timers_.PopDue(now_)) {
    const auto it = requests_.find(timer->id);
    if (it == requests_.end() || it->second.next_check_at != timer->due) continue;  // superseded
    RequestState& request = it->second;
    switch (request.phase) {
      case RequestPhase::kInFlight:
        CheckRunaway(request);
        break;
      case RequestPhase::kPending:
      case RequestPhase::kWaitingForOrderingKey:
        OnLatestStartPassed(request);
        break;
      case RequestPhase::kDone:
        break;
    }
  }
}

Nanos Scheduler::LatestStart(const RequestState& request) const {
  const double seconds = request.exploratory ? Estimates(request).BestTime(request.work) / request.threads
                                             : ExpectedSeconds(request);
  const Nanos respond_by = request.deadline - kResponseMargin;
  const Nanos end = request.late ? respond_by : std::min(request.objective_at, respond_by);
  return end - FromSeconds(seconds);
}

// The request continues to wait, with the priority weight of a late request, only if its class earns enough
// for late responses, or as an exploratory request. Otherwise it is ended at once.
void Scheduler::OnLatestStartPassed(RequestState& request) {
  unmet_demand_.objective_missed = true;
  const bool waits = !request.late && Class(request).late_weight_share >= kMinLateWeightShare;
  if (request.phase == RequestPhase::kPending) RemovePending(request);
  if (now_ >= RetryDeadline(request)) return RejectOrFail(request);
  request.exploratory = !request.late && TakeExploration(request);
  request.late = !request.exploratory;
  if (!waits && !request.exploratory) return RejectOrFail(request);
  if (LatestStart(request) <= now_) return RejectOrFail(request);
  if (request.phase == RequestPhase::kPending) return AddPending(request);
  ScheduleCheck(request, LatestStart(request));
}

// A class that sends nothing because its recent latency rules out its objective would never observe that the
// latency has recovered. Like a half-open circuit breaker, it lets a request through from time to time.
bool Scheduler::TakeExploration(const RequestState& request) {
  if (request.exploratory) return false;
  Nanos& last_attempt_at = last_attempt_at_[request.spec.class_id];
  if (now_ - last_attempt_at < Class(request).latency_objective / kExplorationsPerObjective) return false;
  last_attempt_at = now_;
  return true;
}

}  // namespace lemoncroft::decision
