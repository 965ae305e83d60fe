#include "admission_queue/pace.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {

constexpr double kUsualPace = 0.8;  // of the cores, before anything was seen
constexpr double kLearn = 0.003;    // weight of the newest wait in bias and spread
constexpr double kBiasMost = 0.7;   // a correction by two at the most
constexpr double kOffMost = 0.8;    // what one wait, told far wrong, counts as
                                    // and a request is better taken
constexpr double kSpreads = 1.6;    // mean errors, of the upper bound: nineteen in twenty are below
constexpr double kSpreadsLeast =
    0.8;  // of the lower one: what waits is given up only when it most likely fails
constexpr Span kFloor = std::chrono::milliseconds(50);  // waits below are as good as none
constexpr Span kSlack = std::chrono::milliseconds(50);  // that every bound allows

Span Scaled(Span span, double factor) { return FromSeconds(Seconds(span) * factor); }

}  // namespace

Span FromSeconds(double seconds) {
  constexpr double kMost = 4e6;  // some 46 days
  if (!(seconds == seconds)) return Span::zero();
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(std::clamp(seconds, -kMost, kMost)));
}

void Rate::Close(double seconds, bool counts) {
  if (counts && seconds > 0) {
    const double fresh = 1 - std::exp(-seconds / memory_);
    weight_ += fresh * (1 - weight_);
    value_ += fresh / weight_ * (window_ / seconds - value_);
  }
  window_ = 0;
}

void Pace::Started(Work work) { amount_ += Seconds(work); }

void Pace::Close(Span window, bool waited, double cores) {
  const double each = cores > 0 ? amount_ / cores : 0;
  amount_ = 0;
  busy_.Add(each);
  any_.Add(each);
  busy_.Close(Seconds(window), waited && cores > 0);
  any_.Close(Seconds(window), cores > 0);
}

// What leaves with nobody waiting is a lower bound; what left when some waited is the pace, once it is known.
double Pace::Now(double cores) const {
  const double sure = std::min(1.0, busy_.weight() * 4);
  const double guess = any_.known() ? std::max(any_.per_second(), kUsualPace / 2) : kUsualPace;
  return cores * std::max(1e-3, sure * busy_.per_second() + (1 - sure) * guess);
}

// The bias is learnt from raw estimates, not from told ones: corrected by itself, and heard of only a wait
// later, it would swing.
void Accuracy::Learn(Span raw, Span real) {
  const auto log = [](Span span) { return std::log(Seconds(std::max(span, kFloor))); };
  const double weight = std::max(kLearn, 1.0 / (++learned_ + 100));
  const double off = log(real) - log(Corrected(raw));
  spread_ += weight * (std::min(std::abs(off), kOffMost) - spread_);
  if (raw <= 4 * kFloor && real <= 4 * kFloor) return;
  const double whole = std::clamp(log(real) - log(raw), -2 * kBiasMost, 2 * kBiasMost);
  bias_ = std::clamp(bias_ + weight * (whole - bias_), -kBiasMost, kBiasMost);
}

Span Accuracy::Corrected(Span raw) const { return Scaled(raw, std::exp(bias_)); }
Span Accuracy::Most(Span told) const { return Scaled(told, std::exp(kSpreads * spread_)) + kSlack; }
Span Accuracy::Least(Span told) const {
  return std::max(Span::zero(), Scaled(told, std::exp(-kSpreadsLeast * spread_)) - kSlack);
}

}  // namespace lemoncroft::admission_queue
