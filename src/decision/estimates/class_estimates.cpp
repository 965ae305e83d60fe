#include "decision/estimates/class_estimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemoncroft::estimates {
namespace {

// Weights of the newest sample in a moving mean.
constexpr double kSlowWeight = 0.03;        // for the means of the class
constexpr double kRecentWeight = 0.05;      // for the recent slowdown
constexpr double kExploratoryWeight = 0.4;  // for the recent slowdown, with an exploratory request

constexpr double kMaxSampleFactor = 3;  // upper bound of a sample, as a multiple of the recent slowdown
// Growth of the best slowdown per sample, so that an outdated best slowdown is forgotten.
constexpr double kBestSlowdownGrowth = 1.001;
constexpr double kMemoryMarginDeviations = 1.5;  // margin of the expected memory, in mean errors
constexpr double kMinSlope = 0.2;  // lower bound of the slope of the regression; the upper bound is 1

}  // namespace

double ClassEstimates::ExpectedWork(double estimate) const {
  if (estimate <= 0) return mean_work_;
  if (!cost_reported_ && work_samples_ > 0) return mean_work_ * RelativeWork(estimate);
  return std::exp(log_work_mean_ + Slope() * (std::log(estimate) - log_estimate_mean_));
}

double ClassEstimates::RelativeWork(double estimate) const {
  return estimate > 0 && work_samples_ > 0 ? std::exp(Slope() * (std::log(estimate) - log_estimate_mean_))
                                           : 1;
}

double ClassEstimates::ExpectedTime(double work) const {
  if (responses_ == 0) return work;
  return recent_slowdown_ * (cost_reported_ ? work : work / std::max(1e-6, mean_work_));
}

double ClassEstimates::BestTime(double work) const {
  if (responses_ == 0) return work;
  return best_slowdown_ * (cost_reported_ ? work : work / std::max(1e-6, mean_work_));
}

double ClassEstimates::ExpectedMemoryMb(double estimate_mb) const {
  if (estimate_mb <= 0) return 0;
  if (cost_reported_ || memory_samples_ > 0 || responses_ == 0)
    return estimate_mb *
           std::exp(log_memory_ratio_mean_ + kMemoryMarginDeviations * log_memory_ratio_deviation_);
  const double log_difference = std::log(estimate_mb) - log_memory_estimate_mean_;
  return std::exp(log_memory_estimate_mean_ + Slope() * log_difference +
                  kMemoryMarginDeviations * deviation_);
}

double ClassEstimates::Learn(const Response& response) {
  if (response.reported_memory_mb > 0 && response.estimated_memory_mb > 0)
    LearnMemory(response.estimated_memory_mb, response.reported_memory_mb);
  if (response.reported_work > 0) {
    if (!std::exchange(cost_reported_, true)) ResetSlowdown();
    if (response.estimated_work > 0) LearnWork(response.estimated_work, response.reported_work);
    UpdateMovingMean(mean_work_, response.reported_work, std::max(kSlowWeight, 1.0 / (responses_ + 2)));
    return LearnSlowdown(response.time / std::max(response.reported_work, 1e-3), response.exploratory);
  }
  if (cost_reported_)
    return LearnSlowdown(response.time / std::max(ExpectedWork(response.estimated_work), 1e-3),
                         response.exploratory);
  // The time divided by the relative work scatters less than the time itself.
  const double ratio =
      LearnSlowdown(response.time / RelativeWork(response.estimated_work), response.exploratory);
  // Without reported work, the slowdown is the time divided by the relative work. At its best, it is taken as
  // the work of a request with an average estimate.
  mean_work_ = best_slowdown_;
  LearnTime(response.estimated_work, std::max(response.time, 1e-4));
  if (response.estimated_memory_mb > 0) {
    const double log_memory = std::log(response.estimated_memory_mb);
    ++memory_estimate_samples_;
    const double weight = std::max(kSlowWeight, 1.0 / memory_estimate_samples_);
    UpdateMovingMean(log_memory_estimate_mean_, log_memory, weight);
  }
  return ratio;
}

void ClassEstimates::LearnWork(double estimate, double reported) {
  ++work_samples_;
  const double weight = std::max(kSlowWeight, 1.0 / (work_samples_ + 3));
  const double log_work = std::log(reported);
  UpdateMovingMean(deviation_, std::abs(log_work - std::log(ExpectedWork(estimate))), weight);
  LearnRegression(std::log(estimate), log_work, weight);
}

// Only the slope of the regression is used if the work isn't reported. The level is taken from the slowdown.
// Learning the level from times divided by the slowdown, and the slowdown from times divided by the level,
// would let both drift.
void ClassEstimates::LearnTime(double estimate, double time) {
  const double log_difference = std::log(time / RelativeWork(estimate)) - mean_log_time_;
  if (responses_ == 1) mean_log_time_ += log_difference;
  const double weight = std::max(kSlowWeight, 1.0 / (responses_ + 3));
  if (responses_ > 1) {
    UpdateMovingMean(deviation_, std::abs(log_difference), weight);
    mean_log_time_ += std::max(kRecentWeight, 1.0 / responses_) * log_difference;
  }
  if (estimate <= 0) return;
  ++work_samples_;
  LearnRegression(std::log(estimate), std::log(time), weight);
}

void ClassEstimates::LearnRegression(double log_estimate, double log_work, double weight) {
  const double dx = log_estimate - log_estimate_mean_;
  const double dy = log_work - log_work_mean_;
  if (work_samples_ == 1) {
    log_estimate_mean_ = log_estimate;
    log_work_mean_ = log_work;
  }
  UpdateMovingMean(log_estimate_mean_, log_estimate, weight);
  UpdateMovingMean(log_work_mean_, log_work, weight);
  if (work_samples_ == 1) return;
  UpdateMovingMean(log_estimate_variance_, dx * dx, weight);
  UpdateMovingMean(covariance_, dx * dy, weight);
  covariance_ = std::clamp(covariance_, kMinSlope * log_estimate_variance_, log_estimate_variance_);
}

// Discards the slowdown. From now on it is the time divided by the work, no longer by the relative work.
void ClassEstimates::ResetSlowdown() {
  recent_slowdown_ = 0;
  best_slowdown_ = 0;
  responses_ = 0;
  work_samples_ = 0;
}

double ClassEstimates::LearnSlowdown(double sample, bool exploratory) {
  if (responses_ == 0) recent_slowdown_ = cost_reported_ ? sample : mean_work_;
  ++responses_;
  const double weight = exploratory ? kExploratoryWeight : std::max(kRecentWeight, 1.0 / (responses_ + 2));
  UpdateMovingMean(recent_slowdown_, std::min(sample, kMaxSampleFactor * recent_slowdown_), weight);
  best_slowdown_ = best_slowdown_known() ? std::min(best_slowdown_ * kBestSlowdownGrowth, recent_slowdown_)
                                         : recent_slowdown_;
  return sample / std::max(best_slowdown_, 1e-6);
}

void ClassEstimates::LearnMemory(double estimate_mb, double reported_mb) {
  const double log_difference = std::log(reported_mb / estimate_mb) - log_memory_ratio_mean_;
  ++memory_samples_;
  const double weight = std::max(kSlowWeight, 1.0 / (memory_samples_ + 2));
  log_memory_ratio_mean_ += weight * log_difference;
  UpdateMovingMean(log_memory_ratio_deviation_, std::abs(log_difference), weight);
}

}  // namespace lemoncroft::estimates
