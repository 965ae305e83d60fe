#include "admission_queue/estimate_accuracy.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {

// Biases and errors are differences between logarithms of waits.
constexpr double kMinSampleWeight = 0.003;                            // minimum weight of the newest wait
constexpr double kMaxBias = 0.7;                                      // a correction by a factor of two
constexpr double kMaxError = 0.8;                                     // limits the effect of one outlier
constexpr double kUpperBoundErrors = 1.6;                             // mean errors above the estimate
constexpr double kLowerBoundErrors = 0.8;                             // mean errors below the estimate
constexpr Duration kMinMeasuredWait = std::chrono::milliseconds(50);  // shorter waits count as this long
constexpr Duration kBoundTolerance = std::chrono::milliseconds(50);   // widens both bounds

Duration Scaled(Duration span, double factor) { return FromSeconds(Seconds(span) * factor); }

}  // namespace

// The bias is computed from raw estimates. If it were computed from corrected estimates, it would feed back
// on itself with the delay of a complete wait, and oscillate.
void EstimateAccuracy::AddSample(Duration raw_wait, Duration actual_wait) {
  const auto log = [](Duration span) { return std::log(Seconds(std::max(span, kMinMeasuredWait))); };
  const double weight = std::max(kMinSampleWeight, 1.0 / (++sample_count_ + 100));
  const double error = log(actual_wait) - log(Corrected(raw_wait));
  mean_error_ += weight * (std::min(std::abs(error), kMaxError) - mean_error_);
  if (raw_wait <= 4 * kMinMeasuredWait && actual_wait <= 4 * kMinMeasuredWait) return;
  const double raw_error = std::clamp(log(actual_wait) - log(raw_wait), -2 * kMaxBias, 2 * kMaxBias);
  bias_ = std::clamp(bias_ + weight * (raw_error - bias_), -kMaxBias, kMaxBias);
}

Duration EstimateAccuracy::Corrected(Duration raw_wait) const { return Scaled(raw_wait, std::exp(bias_)); }
Duration EstimateAccuracy::UpperBound(Duration corrected_wait) const {
  return Scaled(corrected_wait, std::exp(kUpperBoundErrors * mean_error_)) + kBoundTolerance;
}
Duration EstimateAccuracy::LowerBound(Duration corrected_wait) const {
  return std::max(Duration::zero(),
                  Scaled(corrected_wait, std::exp(-kLowerBoundErrors * mean_error_)) - kBoundTolerance);
}

}  // namespace lemoncroft::admission_queue
