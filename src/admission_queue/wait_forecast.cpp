#include "admission_queue/wait_forecast.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {

constexpr int kSteps = 40;
constexpr double kFirstStep = 0.1;      // seconds
constexpr double kStepGrowth = 1.09;    // ratio of successive steps
constexpr double kMinLevelRise = 1e-3;  // per second after the last point; keeps estimates finite

// Divides `amount` core-seconds among the tenants so that their start tags rise to a common level, beginning
// with the least start tags; no tenant receives more than its `remaining_work`. Writes the parts to
// `served_work` and returns the level, which is found by bisection since the total increases monotonically
// with the level.
double DistributeWork(const std::vector<TenantFlow>& flows, const std::vector<double>& start_tags,
                      const std::vector<double>& remaining_work, double amount, double level_before,
                      std::vector<double>& served_work) {
  double low = HUGE_VAL, high = -HUGE_VAL, total_work = 0;
  for (std::size_t i = 0; i < flows.size(); ++i) {
    served_work[i] = 0;
    if (remaining_work[i] <= 0 || flows[i].cores <= 0) continue;
    low = std::min(low, start_tags[i]);
    high = std::max(high, start_tags[i] + remaining_work[i] / flows[i].cores);
    total_work += remaining_work[i];
  }
  // Unused capacity raises the level as if all tenants had more work, so that the level reaches any later
  // start tag in finite time.
  double cores = 0;
  for (const TenantFlow& flow : flows) cores += flow.cores;
  const double unused_rise = cores > 0 ? std::max(0.0, amount - total_work) / cores : 0;
  if (total_work <= 0) return level_before + unused_rise;
  const auto work_up_to = [&](double level, std::size_t i) {
    if (remaining_work[i] <= 0 || flows[i].cores <= 0) return 0.0;
    return std::clamp((level - start_tags[i]) * flows[i].cores, 0.0, remaining_work[i]);
  };
  if (total_work > amount) {
    for (int round = 0; round < 40; ++round) {
      const double middle = (low + high) / 2;
      double sum = 0;
      for (std::size_t i = 0; i < flows.size(); ++i) sum += work_up_to(middle, i);
      (sum < amount ? low : high) = middle;
    }
  }
  for (std::size_t i = 0; i < flows.size(); ++i) served_work[i] = work_up_to(high, i);
  return std::max(level_before, high) + unused_rise;
}

}  // namespace

void WaitForecast::Build(const std::vector<TenantFlow>& flows, double dispatch_rate,
                         double first_dispatch_delay) {
  std::vector<double> start_tags, remaining_work, served_work(flows.size());
  double level = HUGE_VAL;
  for (const TenantFlow& flow : flows) {
    start_tags.push_back(flow.start_tag);
    remaining_work.push_back(flow.waiting_work);
    if (flow.waiting_work > 0) level = std::min(level, flow.start_tag);
  }
  if (level == HUGE_VAL) {
    for (const TenantFlow& flow : flows) level = std::min(level, flow.start_tag);
  }
  times_.assign(1, 0.0);
  levels_.assign(1, level);
  if (first_dispatch_delay > 0) {
    times_.push_back(first_dispatch_delay);
    levels_.push_back(level);
    for (std::size_t i = 0; i < flows.size(); ++i)
      remaining_work[i] += flows[i].arrival_rate * first_dispatch_delay;
  }
  double step = kFirstStep;
  for (int n = 0; n < kSteps; ++n, step *= kStepGrowth) {
    for (std::size_t i = 0; i < flows.size(); ++i) remaining_work[i] += flows[i].arrival_rate * step;
    level = DistributeWork(flows, start_tags, remaining_work, dispatch_rate * step, level, served_work);
    times_.push_back(times_.back() + step);
    levels_.push_back(level);
    for (std::size_t i = 0; i < flows.size(); ++i) {
      remaining_work[i] -= served_work[i];
      if (flows[i].cores > 0) start_tags[i] += served_work[i] / flows[i].cores;
    }
  }
}

double WaitForecast::TimeUntil(double start_tag) const {
  if (start_tag <= levels_.front()) return times_[times_.size() > 1 && levels_[1] == levels_[0] ? 1 : 0];
  const auto it = std::lower_bound(levels_.begin(), levels_.end(), start_tag);
  if (it == levels_.end()) {
    const std::size_t middle = levels_.size() / 2;
    const double rise = (levels_.back() - levels_[middle]) / (times_.back() - times_[middle]);
    return times_.back() + (start_tag - levels_.back()) / std::max(kMinLevelRise, rise);
  }
  const auto i = static_cast<std::size_t>(it - levels_.begin());
  const double rise = levels_[i] - levels_[i - 1];
  return times_[i - 1] + (times_[i] - times_[i - 1]) * (start_tag - levels_[i - 1]) / rise;
}

}  // namespace lemoncroft::admission_queue
