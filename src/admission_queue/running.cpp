#include "admission_queue/running.h"

#include <algorithm>

namespace lemoncroft::admission_queue {

namespace {
constexpr double kOverrun = 1.5;       // times its estimate: expected to run on
constexpr double kSpeedWeight = 0.01;  // of the newest answer
constexpr double kStretchMost = 50;    // a hung answer tells nothing of the pace
}  // namespace

void Running::Begin(const Start& start, Time now) {
  const auto [it, fresh] = attempts_.try_emplace({start.id, start.attempt}, Attempt{start, now, false});
  if (!fresh) return;
  ledger_.Start(start.team, start.threads);
  threads_ += start.threads;
}

std::optional<Running::Start> Running::End(Id id, int attempt, Work told, bool ran, Time now) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return std::nullopt;
  const Attempt& a = it->second;
  ledger_.Stop(a.start.team, a.start.threads);
  threads_ -= a.start.threads;
  if (a.overrun) overrun_threads_ -= a.start.threads;
  const Span elapsed = now - a.since;
  if (told > Work::zero()) {
    // A ratio of sums, not a mean of ratios: it tells work from time, of long queries above all.
    Speed& speed = speeds_[Index(a.start.priority)];
    const double seen = std::min(Seconds(elapsed) * a.start.threads, kStretchMost * Seconds(told));
    const double weight = std::max(kSpeedWeight, 1.0 / (++speed.answers + 5));
    speed.busy += weight * (seen - speed.busy);
    speed.done += weight * (Seconds(told) - speed.done);
  }
  const Work used = !ran ? Work::zero() : told > Work::zero() ? told : Used(a, now);
  ledger_.Charge(a.start.team, used - a.start.charged);
  const Start ended = a.start;
  attempts_.erase(it);
  return ended;
}

void Running::ChargeOverruns(Time now) {
  for (auto& [key, a] : attempts_) {
    const Work used = Used(a, now);
    if (used > a.start.charged) {
      ledger_.Charge(a.start.team, used - a.start.charged);
      a.start.charged = used;
    }
    if (a.overrun || Seconds(used) <= kOverrun * Seconds(a.start.expected)) continue;
    a.overrun = true;
    overrun_threads_ += a.start.threads;
  }
}

Span Running::FirstEnd(Team team, Time now) const {
  Span first = Span::max();
  for (const auto& [key, a] : attempts_) {
    if (a.start.team != team) continue;
    const Span ran = now - a.since, expected = RunTime(a.start.expected, a.start.threads, a.start.priority);
    first = std::min(first, expected > ran ? expected - ran : ran / 2);
  }
  return first == Span::max() ? Span::zero() : first;
}

Work Running::Used(const Attempt& a, Time now) const {
  return FromSeconds(Seconds(now - a.since) * a.start.threads / stretch(a.start.priority));
}

}  // namespace lemoncroft::admission_queue
