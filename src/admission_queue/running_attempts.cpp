#include "admission_queue/running_attempts.h"

#include <algorithm>

namespace lemoncroft::admission_queue {

namespace {
constexpr double kOverrunRatio = 1.5;  // work done over estimated work, above which an attempt overruns
constexpr double kSpeedWeight = 0.01;  // minimum weight of the newest response
constexpr double kMaxStretch = 50;     // limits the effect of a hung response
}  // namespace

void RunningAttempts::Begin(const Start& start, Time now) {
  const auto [it, fresh] = attempts_.try_emplace({start.id, start.attempt}, Attempt{start, now, false});
  if (!fresh) return;
  ledger_.AcquireThreads(start.tenant, start.threads);
  threads_ += start.threads;
}

std::optional<RunningAttempts::Start> RunningAttempts::End(RequestId id, int attempt, Work reported_work,
                                                           bool executed, Time now) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return std::nullopt;
  const Attempt& a = it->second;
  ledger_.ReleaseThreads(a.start.tenant, a.start.threads);
  threads_ -= a.start.threads;
  if (a.overrun) overrun_threads_ -= a.start.threads;
  const Span elapsed = now - a.since;
  if (reported_work > Work::zero()) {
    // The ratio is computed from two averages instead of averaging ratios, so that long attempts weigh more.
    PrioritySpeed& speed = speeds_[Index(a.start.priority)];
    const double seen = std::min(Seconds(elapsed) * a.start.threads, kMaxStretch * Seconds(reported_work));
    const double weight = std::max(kSpeedWeight, 1.0 / (++speed.answers + 5));
    speed.busy += weight * (seen - speed.busy);
    speed.done += weight * (Seconds(reported_work) - speed.done);
  }
  const Work used = !executed                      ? Work::zero()
                    : reported_work > Work::zero() ? reported_work
                                                   : EstimatedUse(a, now);
  ledger_.Charge(a.start.tenant, used - a.start.charged);
  const Start ended = a.start;
  attempts_.erase(it);
  return ended;
}

void RunningAttempts::ChargeOverruns(Time now) {
  for (auto& [key, a] : attempts_) {
    const Work used = EstimatedUse(a, now);
    if (used > a.start.charged) {
      ledger_.Charge(a.start.tenant, used - a.start.charged);
      a.start.charged = used;
    }
    if (a.overrun || Seconds(used) <= kOverrunRatio * Seconds(a.start.expected)) continue;
    a.overrun = true;
    overrun_threads_ += a.start.threads;
  }
}

Span RunningAttempts::TimeUntilFirstEnd(TenantId tenant, Time now) const {
  Span first = Span::max();
  for (const auto& [key, a] : attempts_) {
    if (a.start.tenant != tenant) continue;
    const Span executed = now - a.since,
               expected = RunTime(a.start.expected, a.start.threads, a.start.priority);
    first = std::min(first, expected > executed ? expected - executed : executed / 2);
  }
  return first == Span::max() ? Span::zero() : first;
}

Work RunningAttempts::EstimatedUse(const Attempt& a, Time now) const {
  return FromSeconds(Seconds(now - a.since) * a.start.threads / stretch(a.start.priority));
}

}  // namespace lemoncroft::admission_queue
