#include "admission_queue/running_attempts.h"

#include <algorithm>

namespace lemoncroft::admission_queue {

namespace {
constexpr double kOverrunRatio = 1.5;     // work done over expected work, above which an attempt overruns
constexpr double kSlowdownWeight = 0.01;  // minimum weight of the newest response
constexpr double kMaxSlowdown = 50;       // limits the effect of a hung response
}  // namespace

void RunningAttempts::Begin(const Start& start, Time now) {
  const auto [it, inserted] = attempts_.try_emplace({start.id, start.attempt}, Attempt{start, now, false});
  if (!inserted) return;
  ledger_.AcquireThreads(start.tenant, start.threads);
  threads_ += start.threads;
}

std::optional<RunningAttempts::Start> RunningAttempts::End(RequestId id, int attempt, Work reported_work,
                                                           bool may_have_run, Time now) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return std::nullopt;
  const Attempt& a = it->second;
  ledger_.ReleaseThreads(a.start.tenant, a.start.threads);
  threads_ -= a.start.threads;
  if (a.overrun) overrun_threads_ -= a.start.threads;
  const Duration elapsed = now - a.started_at;
  if (reported_work > Work::zero()) {
    // The ratio is computed from two averages instead of averaging ratios, so that long attempts weigh more.
    SlowdownAverage& average = slowdowns_[Index(a.start.priority)];
    const double measured_thread_seconds =
        std::min(Seconds(elapsed) * a.start.threads, kMaxSlowdown * Seconds(reported_work));
    const double weight = std::max(kSlowdownWeight, 1.0 / (++average.responses + 5));
    average.thread_seconds += weight * (measured_thread_seconds - average.thread_seconds);
    average.core_seconds += weight * (Seconds(reported_work) - average.core_seconds);
  }
  const Work work_done = !may_have_run                  ? Work::zero()
                         : reported_work > Work::zero() ? reported_work
                                                        : EstimatedWorkDone(a, now);
  ledger_.Charge(a.start.tenant, work_done - a.start.charged);
  const Start ended = a.start;
  attempts_.erase(it);
  return ended;
}

void RunningAttempts::ChargeWorkDone(Time now) {
  for (auto& [key, a] : attempts_) {
    const Work work_done = EstimatedWorkDone(a, now);
    if (work_done > a.start.charged) {
      ledger_.Charge(a.start.tenant, work_done - a.start.charged);
      a.start.charged = work_done;
    }
    if (a.overrun || Seconds(work_done) <= kOverrunRatio * Seconds(a.start.expected_work)) continue;
    a.overrun = true;
    overrun_threads_ += a.start.threads;
  }
}

Duration RunningAttempts::TimeUntilFirstEnd(TenantId tenant, Time now) const {
  Duration first = Duration::max();
  for (const auto& [key, a] : attempts_) {
    if (a.start.tenant != tenant) continue;
    const Duration elapsed = now - a.started_at,
                   run_time = RunTime(a.start.expected_work, a.start.threads, a.start.priority);
    first = std::min(first, run_time > elapsed ? run_time - elapsed : elapsed / 2);
  }
  return first == Duration::max() ? Duration::zero() : first;
}

Work RunningAttempts::EstimatedWorkDone(const Attempt& a, Time now) const {
  return FromSeconds(Seconds(now - a.started_at) * a.start.threads / slowdown(a.start.priority));
}

}  // namespace lemoncroft::admission_queue
