#include "admission_queue/dispatch_pacer.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {

constexpr double kDefaultPace = 0.8;   // core-seconds per second and core, before any measurement
constexpr double kConfidenceGain = 4;  // confidence per weight of the rate while requests waited
constexpr double kMinPace = 1e-3;      // per core: keeps estimates finite

}  // namespace

void RateEstimator::Close(double seconds, bool counts) {
  if (counts && seconds > 0) {
    const double fresh = 1 - std::exp(-seconds / time_constant_);
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

// The rate while requests waited is the capacity of the lane. The rate over all windows is only a lower bound
// of the capacity; it is used until enough windows in which requests waited have been measured.
double DispatchPacer::Now(double cores) const {
  const double confidence = std::min(1.0, busy_.weight() * kConfidenceGain);
  const double guess = any_.known() ? std::max(any_.per_second(), kDefaultPace / 2) : kDefaultPace;
  return cores * std::max(kMinPace, confidence * busy_.per_second() + (1 - confidence) * guess);
}

}  // namespace lemoncroft::admission_queue
