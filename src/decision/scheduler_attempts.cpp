// Attempts in flight: runaway attempts, progress and outcomes.
#include <algorithm>
#include <cmath>

#include "decision/constants.h"
#include "decision/scheduler.h"

namespace lemoncroft::decision {

RequestState* Scheduler::FindAttempt(RequestId id, int attempt) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return nullptr;
  RequestState& request = it->second;
  const bool current = request.attempt_in_flight && attempt == request.attempts - 1;
  return current ? &request : nullptr;
}

// ---- Runaway attempts ----

// An attempt that runs far longer than its request should need is cancelled and retried at another engine, as
// long as the retry can end in time. The work of the cancelled attempt is lost, which costs most in an
// overload.
void Scheduler::CheckRunaway(RequestState& request) {
  const Nanos timeout = RunawayTimeout(request);
  if (timeout <= 0) return;
  if (now_ < request.sent_at + timeout) return ScheduleCheck(request, request.sent_at + timeout);
  CancelAndRetry(request);
}

Nanos Scheduler::RunawayTimeout(const RequestState& request) const {
  if (!settings_.may_cancel || !MayCancelAndRetry(request)) return 0;
  if (settings_.progress_interval > 0 && !IsLight(request)) return 0;  // detected by its progress
  const double factor = RunawayFactor(request);
  if (Class(request).effect == Effect::kKeyed) return KeyedRunawayTimeout(request, factor);
  return FromSeconds(ExpectedSeconds(request) * factor);
}

// Cancelling an attempt with an idempotency key is expensive. While durations are unknown, such an attempt
// runs until the latest time that still permits a retry. An attempt that is expected to run longer than that
// isn't cancelled at all.
Nanos Scheduler::KeyedRunawayTimeout(const RequestState& request, double factor) const {
  const auto engine = engines_.find(request.engine_id);
  const bool durations_known =
      Estimates(request).best_slowdown_known() && engine != engines_.end() && !InSlowStart(engine->second);
  const double keyed_factor = durations_known ? std::max(factor, kMinRunawayFactorKeyed) : HUGE_VAL;
  const Nanos last = LastSafeCancel(request) - request.sent_at;
  if (FromSeconds(ExpectedSeconds(request)) > last) return 0;
  return std::min(FromSeconds(ExpectedSeconds(request) * keyed_factor), last);
}

double Scheduler::RunawayFactor(const RequestState& request) const {
  const double spread = std::exp(kRunawayDeviations * Estimates(request).deviation());
  const double max_factor =
      IsLight(request) ? std::clamp(spread, kMinMaxRunawayFactorLight, kMaxRunawayFactor) : kMaxRunawayFactor;
  return std::clamp(kRunawaySpreadFactor * spread, kMinRunawayFactor, max_factor);
}

// The time from this cancel to the end of the repeat window covers the pause of the ordering key, the
// response margin and four timer intervals. The check that cancels may use two of these intervals
// (MayCancelAndRetry); the other two remain for the outcome of the cancelled attempt and the step that sends
// the retry.
Nanos Scheduler::LastSafeCancel(const RequestState& request) const {
  const Nanos first_sent_at = request.may_have_run_at >= 0 ? request.may_have_run_at : request.sent_at;
  const Nanos window_end = first_sent_at + Class(request).repeat_window;
  return window_end - settings_.ordering_key_pause - 4 * kTimerInterval - kResponseMargin;
}

bool Scheduler::MayCancelAndRetry(const RequestState& request) const {
  const Effect effect = Class(request).effect;
  if (effect != Effect::kKeyed) return effect == Effect::kSafe;
  return now_ <= LastSafeCancel(request) + 2 * kTimerInterval;
}

bool Scheduler::CancelAndRetry(RequestState& request) {
  if (!settings_.may_cancel || !MayCancelAndRetry(request)) return false;
  if (request.runaway_cancels >= kMaxRunawayCancels) return false;
  if (request.attempts >= settings_.max_attempts) return false;
  if (now_ + FromSeconds(ExpectedSeconds(request)) > request.deadline - kResponseMargin) return false;
  ++request.runaway_cancels;
  CancelAttempt(request);
  return true;
}

void Scheduler::CancelAttempt(RequestState& request) {
  if (settings_.may_cancel && !request.attempt_cancelled)
    actions_->push_back(Cancel{request.spec.id, request.attempts - 1});
  request.attempt_cancelled = true;
}

// ---- Progress ----

void Scheduler::Handle(const ProgressNotice& notice) {
  RequestState* const request = FindAttempt(notice.id, notice.attempt);
  if (request == nullptr || notice.kind != NoticeKind::kProgress) return;
  if (request->phase != RequestPhase::kInFlight || request->attempt_cancelled) return;
  const double elapsed = ToSeconds(now_ - request->sent_at);
  const double projected = elapsed / std::clamp(notice.amount, kMinProgress, 1.0);
  const double remaining = (projected - elapsed) * kProjectionMargin;
  const bool misses_deadline = now_ + FromSeconds(remaining) > request->deadline;
  const bool runaway = misses_deadline || projected > ExpectedSeconds(*request) * kRunawayFactorProgress;
  const bool needs_much_work =
      request->runaway_cancels > 0 && projected > kLargeProjectionShare * request->projected_seconds;
  if (runaway && !needs_much_work && CancelAndRetry(*request)) {
    request->projected_seconds = projected;
  } else if (misses_deadline && elapsed > kMinSecondsBeforeAbandoning) {
    RejectOrFail(*request);
  }
}

// ---- Outcomes ----

void Scheduler::Handle(const AttemptEnded& end) {
  RequestState* const request = FindAttempt(end.id, end.attempt);
  if (request == nullptr) return;
  request->attempt_in_flight = false;
  const auto engine = engines_.find(request->engine_id);
  if (engine != engines_.end()) RecordOutcome(*request, engine->second, end);
  if (MayHaveRun(end.outcome) && request->may_have_run_at < 0) {
    request->may_have_run_at = request->sent_at;
    if (engine != engines_.end()) request->may_have_run_on = engine->second.entry;
  }
  if (MayStillRun(end.outcome) && request->ordered)
    ordering_key_queues_.PauseUntil(request->spec.ordering_key, now_ + settings_.ordering_key_pause);
  if (end.request_finished || request->phase == RequestPhase::kDone) return Finish(*request);
  RetryOrEnd(*request);
}

void Scheduler::RetryOrEnd(RequestState& request) {
  const Nanos run = FromSeconds(request.work / request.threads);
  const bool in_time = now_ < request.deadline - kResponseMargin - run;
  const bool exhausted = request.attempts >= settings_.max_attempts || request.failed_on.size() >= kMaxErrors;
  if (!in_time || exhausted || !MayRetryNow(request)) return RejectOrFail(request);
  request.late = request.late || now_ > request.objective_at;
  Enqueue(request);
}

}  // namespace lemoncroft::decision
