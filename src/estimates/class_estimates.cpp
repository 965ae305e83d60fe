#include "estimates/class_estimates.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::estimates {

namespace {

// Weights of the newest sample in a mean.
constexpr double kSlow = 0.03;         // class means: outlast bursts
constexpr double kRecent = 0.05;       // the pace: some twenty answers
constexpr double kOutlier = 3;         // times the mean: a sample counts as no more
constexpr double kBestCreep = 1.001;   // a sample: forgets a best that no longer exists
constexpr double kMemoryMargin = 1.5;  // mean errors over the mean: a spill costs more than slack

}  // namespace

double ClassEstimates::Work(double estimate) const {
  if (estimate <= 0) return mean_work_;
  return std::exp(true_mean_ + covariance_ / estimate_variance_ * (std::log(estimate) - estimate_mean_));
}

double ClassEstimates::Time(double work, bool tells_cost) const {
  if (answers_ == 0) return work;
  return recent_ * (tells_cost ? work : work / std::max(1e-6, mean_work_));
}

double ClassEstimates::MemoryMb(double estimate_mb) const {
  return estimate_mb * std::exp(memory_mean_ + kMemoryMargin * memory_deviation_);
}

double ClassEstimates::Learn(const Answer& answer) {
  if (answer.told_work > 0) {
    if (answer.estimated_work > 0) LearnWork(answer.estimated_work, answer.told_work);
    Blend(mean_work_, answer.told_work, std::max(kSlow, 1.0 / (answers_ + 2)));
  }
  if (answer.told_memory_mb > 0 && answer.estimated_memory_mb > 0)
    LearnMemory(answer.estimated_memory_mb, answer.told_memory_mb);
  return LearnPace(answer.time, answer.told_work);
}

void ClassEstimates::LearnWork(double estimate, double told) {
  const double weight = std::max(kSlow, 1.0 / (++works_told_ + 3));
  const double x = std::log(estimate), y = std::log(told);
  Blend(deviation_, std::abs(y - std::log(Work(estimate))), weight);
  const double dx = x - estimate_mean_, dy = y - true_mean_;
  if (works_told_ == 1) estimate_mean_ = x, true_mean_ = y;
  Blend(estimate_mean_, x, weight);
  Blend(true_mean_, y, weight);
  if (works_told_ == 1) return;
  Blend(estimate_variance_, dx * dx, weight);
  Blend(covariance_, dx * dy, weight);
  covariance_ = std::clamp(covariance_, 0.2 * estimate_variance_, estimate_variance_);
}

double ClassEstimates::LearnPace(double time, double told_work) {
  const double sample = told_work > 0 ? time / std::max(told_work, 1e-3) : time;
  if (answers_ == 0) recent_ = told_work > 0 ? sample : mean_work_;
  // A hung one tells nothing of the pace; a mean of few is no best.
  ++answers_;
  Blend(recent_, std::min(sample, kOutlier * recent_), std::max(kRecent, 1.0 / (answers_ + 2)));
  best_ = known() ? std::min(best_ * kBestCreep, recent_) : recent_;
  if (told_work <= 0) mean_work_ = best_;
  return sample / std::max(best_, 1e-6);
}

void ClassEstimates::LearnMemory(double estimate_mb, double told_mb) {
  const double off = std::log(told_mb / estimate_mb) - memory_mean_;
  const double weight = std::max(kSlow, 1.0 / (++memories_told_ + 2));
  memory_mean_ += weight * off;
  Blend(memory_deviation_, std::abs(off), weight);
}

}  // namespace lemoncroft::estimates
