#include "admission_queue/dispatch_pacer.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {

constexpr double kDefaultPace = 0.8;        // of the cores, before anything was seen
constexpr double kLearningWeight = 0.003;   // weight of the newest wait in bias and spread
constexpr double kMaxBias = 0.7;            // a correction by two at the most
constexpr double kMaxEstimateError = 0.8;   // what one wait, told far wrong, counts as
                                            // and a request is better taken
constexpr double kUpperBoundSpreads = 1.6;  // mean errors, of the upper bound: nineteen in twenty are below
constexpr double kLowerBoundSpreads =
    0.8;  // of the lower one: what waits is given up only when it most likely fails
constexpr Span kMinMeasuredWait = std::chrono::milliseconds(50);  // waits below are as good as none
constexpr Span kBoundTolerance = std::chrono::milliseconds(50);   // that every bound allows

Span Scaled(Span span, double factor) { return FromSeconds(Seconds(span) * factor); }

}  // namespace

Span FromSeconds(double seconds) {
  constexpr double kMaxLoad = 4e6;  // some 46 days
  if (!(seconds == seconds)) return Span::zero();
  return std::chrono::duration_cast<Span>(
      std::chrono::duration<double>(std::clamp(seconds, -kMaxLoad, kMaxLoad)));
}

void RateEstimator::Close(double seconds, bool counts) {
  if (counts && seconds > 0) {
    const double fresh = 1 - std::exp(-seconds / memory_);
    weight_ += fresh * (1 - weight_);
    value_ += fresh / weight_ * (window_ / seconds - value_);
  }
  window_ = 0;
}

void DispatchPacer::Started(Work work) { amount_ += Seconds(work); }

void DispatchPacer::Close(Span window, bool had_waiting, double cores) {
  const double each = cores > 0 ? amount_ / cores : 0;
  amount_ = 0;
  busy_.Add(each);
  any_.Add(each);
  busy_.Close(Seconds(window), had_waiting && cores > 0);
  any_.Close(Seconds(window), cores > 0);
}

// What leaves with nobody waiting is a lower bound; what left when some waited is the pace, once it is known.
double DispatchPacer::Now(double cores) const {
  const double sure = std::min(1.0, busy_.weight() * 4);
  const double guess = any_.open_requests() ? std::max(any_.per_second(), kDefaultPace / 2) : kDefaultPace;
  return cores * std::max(1e-3, sure * busy_.per_second() + (1 - sure) * guess);
}

// The bias is learnt from raw estimates, not from told ones: corrected by itself, and heard of only a wait
// later, it would swing.
void EstimateAccuracy::Learn(Span raw_wait, Span real) {
  const auto log = [](Span span) { return std::log(Seconds(std::max(span, kMinMeasuredWait))); };
  const double weight = std::max(kLearningWeight, 1.0 / (++learned_ + 100));
  const double off = log(real) - log(Corrected(raw_wait));
  mean_error_ += weight * (std::min(std::abs(off), kMaxEstimateError) - mean_error_);
  if (raw_wait <= 4 * kMinMeasuredWait && real <= 4 * kMinMeasuredWait) return;
  const double whole = std::clamp(log(real) - log(raw_wait), -2 * kMaxBias, 2 * kMaxBias);
  bias_ = std::clamp(bias_ + weight * (whole - bias_), -kMaxBias, kMaxBias);
}

Span EstimateAccuracy::Corrected(Span raw_wait) const { return Scaled(raw_wait, std::exp(bias_)); }
Span EstimateAccuracy::UpperBound(Span reported_work) const {
  return Scaled(reported_work, std::exp(kUpperBoundSpreads * mean_error_)) + kBoundTolerance;
}
Span EstimateAccuracy::LowerBound(Span reported_work) const {
  return std::max(Span::zero(),
                  Scaled(reported_work, std::exp(-kLowerBoundSpreads * mean_error_)) - kBoundTolerance);
}

}  // namespace lemoncroft::admission_queue
