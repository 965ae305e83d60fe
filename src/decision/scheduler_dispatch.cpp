// Dispatch: sends pending requests, highest priority weight first, while engines can take them.
#include <algorithm>

#include "decision/constants.h"
#include "decision/scheduler.h"

namespace lemoncroft::decision {

void Scheduler::DispatchPending() {
  for (const std::uint64_t key : ordering_key_queues_.TakeResumed(now_)) AdvanceOrderingKey(key);
  if (pending_.empty()) return;
  if (NoEngineServesAndOneIsManuallyEjected()) return RejectOrFailAllPending();
  std::vector<RequestId> sent;
  for (const auto& [key, group] : pending_.groups()) DispatchGroup(group, sent);
  for (RequestId id : sent) RemovePending(requests_.at(id));
  if (!pending_.empty()) unmet_demand_.had_pending = true;
}

void Scheduler::DispatchGroup(const PendingRequests::Group& group, std::vector<RequestId>& sent) {
  int failed_placements = 0;
  for (const auto& [work, id] : group) {
    if (failed_placements >= kMaxFailedPlacements) return;
    RequestState& request = requests_.at(id);
    if (!RetryBudgetAllows(request)) continue;  // first attempts don't wait for retries
    EngineState* const engine = ChooseEngine(request);
    if (engine == nullptr) {
      ++failed_placements;
      continue;
    }
    Dispatch(request, *engine);
    sent.push_back(id);
  }
}

// Returns true if no engine serves and at least one listed engine is manually ejected; the others may be
// draining. Requests don't wait then, since it is unknown when an operator will include an engine again.
bool Scheduler::NoEngineServesAndOneIsManuallyEjected() const {
  bool any_ejected = false;
  for (const auto& [id, engine] : engines_) {
    if (engine.Serving()) return false;
    any_ejected = any_ejected || (engine.listed && engine.entry.readiness == Readiness::kExcluded);
  }
  return any_ejected;
}

// ---- Retry rules ----

bool Scheduler::RetryBudgetAllows(const RequestState& request) {
  if (request.attempts == 0 || !settings_.retry_budget) return true;
  return retries_.Allows(*settings_.retry_budget, process_count_, kTimerInterval, now_);
}

Nanos Scheduler::RetryDeadline(const RequestState& request) const {
  constexpr Nanos kNever = -1;
  if (request.may_have_run_at < 0) return kNoLimit;
  switch (Class(request).effect) {
    case Effect::kSafe:
      return kNoLimit;
    case Effect::kKeyed:
      return request.may_have_run_at + Class(request).repeat_window - kResponseMargin;
    case Effect::kUnsafe:
      break;
  }
  return kNever;
}

// ---- Send ----

void Scheduler::Dispatch(RequestState& request, EngineState& engine) {
  const double memory_mb = MemoryNeed(request);
  GrantResources(request, engine, memory_mb);
  actions_->push_back(Send{request.spec.id, engine.entry.engine, 0, RetryDeadline(request)});
  if (request.attempts > 0 && settings_.retry_budget) retries_.RecordRetry(now_);
  last_attempt_at_[request.spec.class_id] = now_;

  ++request.attempts;
  request.attempt_in_flight = true;
  request.attempt_cancelled = false;
  request.engine_id = engine.entry.engine;
  request.sent_at = now_;
  request.charge = {IsLight(request), request.threads, memory_mb, request.work};
  request.reserved_credit = ExpectedSeconds(request) * request.threads;
  request.phase = RequestPhase::kInFlight;
  request.next_check_at = 0;

  credit_.Reserve(request.reserved_credit);
  engine.in_flight.insert(request.spec.id);
  engine.sent_load.RecordSend(request.charge);
  recent_work_ += request.work;
  if (InSlowStart(engine)) engine.slow_start.Spend(SlowStartCharge(request, SlowStartRate(engine)));
  engine.warm_tables.RecordRead(request.spec.table_group);
  CheckRunaway(request);
}

void Scheduler::GrantResources(const RequestState& request, const EngineState& engine, double memory_mb) {
  double grant_mb = 0;
  if (settings_.honors_memory_grants && engine.memory_mb > 0)
    grant_mb = std::min(memory_mb, settings_.max_grant_share * engine.memory_mb);
  const int priority = EnginePriority(request);
  if (grant_mb > 0 || priority != kPriorityDefault)
    actions_->push_back(ResourceGrant{request.spec.id, priority, grant_mb});
}

int Scheduler::EnginePriority(const RequestState& request) const {
  if (!settings_.honors_priorities) return kPriorityDefault;
  if (request.late) return kPriorityLate;
  return IsLight(request) ? kPriorityLight : kPriorityHeavy;
}

}  // namespace lemoncroft::decision
