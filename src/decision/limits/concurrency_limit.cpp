#include "decision/limits/concurrency_limit.h"

#include <algorithm>

namespace lemoncroft::limits {
namespace {

constexpr double kStepShare = 1.0 / 6;     // size of a step, as a share of the seed
constexpr double kMinStep = 1;             // threads
constexpr double kMinThreads = 1;          // lower bound of any limit
constexpr double kChangeThreshold = 0.05;  // relative change of throughput or latency that counts
constexpr double kPeriodJitter = 0.3;      // as a share of the period
constexpr double kNanosPerSecond = 1'000'000'000;

}  // namespace

void ConcurrencyLimit::Start(double seed, Nanos now) {
  threads_ = seed;
  period_start_ = now;
}

void ConcurrencyLimit::RecordResponse(double work, double latency_ratio) {
  period_.work += work;
  period_.latency += latency_ratio;
  ++period_.responses;
}

void ConcurrencyLimit::Adjust(double seed, const UnmetDemand& unmet_demand, double uniform, Nanos now) {
  Step(seed, unmet_demand, static_cast<double>(now - period_start_) / kNanosPerSecond);
  period_start_ = now;
  period_length_ = static_cast<Nanos>(kPeriod * (1 + kPeriodJitter * (2 * uniform - 1)));
  period_ = Period();
}

void ConcurrencyLimit::Step(double seed, const UnmetDemand& unmet_demand, double seconds) {
  const double step = std::max(kMinStep, seed * kStepShare);
  const double throughput = period_.work / seconds;
  const double latency = period_.responses > 0 ? period_.latency / period_.responses : last_latency_;
  const bool gained = throughput >= last_throughput_ * (1 + kChangeThreshold);
  const bool slower = last_latency_ > 0 && latency > last_latency_ * (1 + kChangeThreshold);
  const double floor = !unmet_demand.objective_missed && !period_.full ? seed : kMinThreads;
  if (raised_ && (!gained || period_.full)) {  // reverts a raise without a gain, even with requests pending
    threads_ = std::max(kMinThreads, threads_ - step);
    raised_ = false;
  } else if (unmet_demand.had_pending && !period_.full) {
    threads_ += step;
    raised_ = true;
  } else if (!unmet_demand.had_pending || !(unmet_demand.objective_missed || slower)) {
    threads_ = std::max(floor, threads_ - step);
  }
  last_throughput_ = throughput;
  last_latency_ = latency;
}

}  // namespace lemoncroft::limits
