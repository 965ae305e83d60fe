#include "admission_queue/dispatch_pacer.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {

constexpr double kDefaultRate = 0.8;   // core-seconds per second and core, before any measurement
constexpr double kConfidenceGain = 4;  // confidence per weight of the rate while requests waited
constexpr double kMinRate = 1e-3;      // per core: keeps estimates finite

}  // namespace

void RateEstimator::EndWindow(double seconds, bool included) {
  if (included && seconds > 0) {
    const double gain = 1 - std::exp(-seconds / time_constant_);
    weight_ += gain * (1 - weight_);
    rate_ += gain / weight_ * (window_amount_ / seconds - rate_);
  }
  window_amount_ = 0;
}

void DispatchRateMeter::AddStarted(Work work) { started_core_seconds_ += Seconds(work); }

void DispatchRateMeter::EndWindow(Duration window, bool had_waiting, double cores) {
  const double per_core = cores > 0 ? started_core_seconds_ / cores : 0;
  started_core_seconds_ = 0;
  rate_while_waiting_.Add(per_core);
  overall_rate_.Add(per_core);
  rate_while_waiting_.EndWindow(Seconds(window), had_waiting && cores > 0);
  overall_rate_.EndWindow(Seconds(window), cores > 0);
}

// The rate while requests waited is the capacity of the lane. The rate over all windows is only a lower bound
// of the capacity; it is used until enough windows in which requests waited have been measured.
double DispatchRateMeter::PerSecond(double cores) const {
  const double confidence = std::min(1.0, rate_while_waiting_.weight() * kConfidenceGain);
  const double fallback =
      overall_rate_.known() ? std::max(overall_rate_.per_second(), kDefaultRate / 2) : kDefaultRate;
  return cores *
         std::max(kMinRate, confidence * rate_while_waiting_.per_second() + (1 - confidence) * fallback);
}

}  // namespace lemoncroft::admission_queue
