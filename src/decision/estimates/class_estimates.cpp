#include "decision/estimates/class_estimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemoncroft::estimates {

namespace {

// Weights of the newest sample in a mean.
constexpr double kSlow = 0.03;         // class means: outlast bursts
constexpr double kRecent = 0.05;       // the pace: some twenty answers
constexpr double kTrial = 0.4;         // the pace, of the few that go while it rules the class out
constexpr double kOutlier = 3;         // times the mean: a sample counts as no more
constexpr double kBestCreep = 1.001;   // a sample: forgets a best that no longer exists
constexpr double kMemoryMargin = 1.5;  // mean errors over the mean: a spill costs more than slack

}  // namespace

double ClassEstimates::Work(double estimate) const {
  if (estimate <= 0) return mean_work_;
  if (!told_ && works_learnt_ > 0) return mean_work_ * Relative(estimate);
  return std::exp(true_mean_ + Slope() * (std::log(estimate) - estimate_mean_));
}

double ClassEstimates::Relative(double estimate) const {
  return estimate > 0 && works_learnt_ > 0 ? std::exp(Slope() * (std::log(estimate) - estimate_mean_)) : 1;
}

double ClassEstimates::Time(double work) const {
  if (answers_ == 0) return work;
  return recent_ * (told_ ? work : work / std::max(1e-6, mean_work_));
}

double ClassEstimates::BestTime(double work) const {
  if (answers_ == 0) return work;
  return best_ * (told_ ? work : work / std::max(1e-6, mean_work_));
}

double ClassEstimates::MemoryMb(double estimate_mb) const {
  if (estimate_mb <= 0) return 0;
  if (told_ || memories_told_ > 0 || answers_ == 0)
    return estimate_mb * std::exp(memory_mean_ + kMemoryMargin * memory_deviation_);
  const double off = std::log(estimate_mb) - memory_estimate_mean_;
  return std::exp(memory_estimate_mean_ + Slope() * off + kMemoryMargin * deviation_);
}

double ClassEstimates::Learn(const Answer& answer) {
  if (answer.told_memory_mb > 0 && answer.estimated_memory_mb > 0)
    LearnMemory(answer.estimated_memory_mb, answer.told_memory_mb);
  if (answer.told_work > 0) {
    if (!std::exchange(told_, true)) ForgetPace();
    if (answer.estimated_work > 0) LearnWork(answer.estimated_work, answer.told_work);
    Blend(mean_work_, answer.told_work, std::max(kSlow, 1.0 / (answers_ + 2)));
    return LearnPace(answer.time / std::max(answer.told_work, 1e-3), answer.trial);
  }
  if (told_) return LearnPace(answer.time / std::max(Work(answer.estimated_work), 1e-3), answer.trial);
  // Set against what the estimate made expect, times scatter less: what is left tells of the pace.
  const double ratio = LearnPace(answer.time / Relative(answer.estimated_work), answer.trial);
  mean_work_ = best_;
  LearnTime(answer.estimated_work, std::max(answer.time, 1e-4));
  if (answer.estimated_memory_mb > 0) {
    const double log_memory = std::log(answer.estimated_memory_mb);
    Blend(memory_estimate_mean_, log_memory, std::max(kSlow, 1.0 / ++memories_estimated_));
  }
  return ratio;
}

void ClassEstimates::LearnWork(double estimate, double told) {
  const double weight = std::max(kSlow, 1.0 / (++works_learnt_ + 3));
  const double x = std::log(estimate), y = std::log(told);
  Blend(deviation_, std::abs(y - std::log(Work(estimate))), weight);
  LearnRegression(x, y, weight);
}

// The level of the times is the pace's business (`recent_`, `best_`), the regression has but their slope: if
// its level were learnt from times over the pace, and the pace from times over it, both would drift.
void ClassEstimates::LearnTime(double estimate, double time) {
  const double off = std::log(time / Relative(estimate)) - usual_log_;
  if (answers_ == 1) usual_log_ += off;
  const double weight = std::max(kSlow, 1.0 / (answers_ + 3));
  if (answers_ > 1) Blend(deviation_, std::abs(off), weight);
  if (answers_ > 1) usual_log_ += std::max(kRecent, 1.0 / answers_) * off;
  if (estimate <= 0) return;
  ++works_learnt_;
  LearnRegression(std::log(estimate), std::log(time), weight);
}

void ClassEstimates::LearnRegression(double log_estimate, double log_work, double weight) {
  const double dx = log_estimate - estimate_mean_, dy = log_work - true_mean_;
  if (works_learnt_ == 1) estimate_mean_ = log_estimate, true_mean_ = log_work;
  Blend(estimate_mean_, log_estimate, weight);
  Blend(true_mean_, log_work, weight);
  if (works_learnt_ == 1) return;
  Blend(estimate_variance_, dx * dx, weight);
  Blend(covariance_, dx * dy, weight);
  covariance_ = std::clamp(covariance_, 0.2 * estimate_variance_, estimate_variance_);
}

// What was learnt of times alone is in another unit than times over work.
void ClassEstimates::ForgetPace() {
  recent_ = best_ = 0;
  answers_ = 0;
  works_learnt_ = 0;
}

double ClassEstimates::LearnPace(double sample, bool trial) {
  if (answers_ == 0) recent_ = told_ ? sample : mean_work_;
  // A hung one tells nothing of the pace; a mean of few is no best.
  ++answers_;
  const double weight = trial ? kTrial : std::max(kRecent, 1.0 / (answers_ + 2));
  Blend(recent_, std::min(sample, kOutlier * recent_), weight);
  best_ = known() ? std::min(best_ * kBestCreep, recent_) : recent_;
  return sample / std::max(best_, 1e-6);
}

void ClassEstimates::LearnMemory(double estimate_mb, double told_mb) {
  const double off = std::log(told_mb / estimate_mb) - memory_mean_;
  const double weight = std::max(kSlow, 1.0 / (++memories_told_ + 2));
  memory_mean_ += weight * off;
  Blend(memory_deviation_, std::abs(off), weight);
}

}  // namespace lemoncroft::estimates
