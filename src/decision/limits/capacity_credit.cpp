#include "decision/limits/capacity_credit.h"

#include <algorithm>
#include <cmath>

#include "decision/limits/concurrency_limit.h"

namespace lemoncroft::limits {
namespace {

constexpr double kDemandTimeConstantSeconds = 8;  // of the average of demand
// Credit and debt are limited to this many seconds of the gateway's part, or to the work of this many
// requests of the heaviest class if that is more.
constexpr double kMaxCreditSeconds = 2;

}  // namespace

void CapacityCredit::RecordDemand(double work) { demand_ += work / kDemandTimeConstantSeconds; }

void CapacityCredit::Advance(double seconds, const FleetCapacity& fleet, double initial_fill) {
  demand_ *= std::exp(-seconds / kDemandTimeConstantSeconds);
  if (!started_) demand_ = kAssumedLoad * fleet.listed_cores / fleet.gateways;
  load_ = demand_ / std::max(1.0, fleet.subset_cores);
  // In an overload, the demands of all gateways, including retries of clients, add up to more than the
  // capacity of the fleet, and responses are slow.
  demand_share_ = std::min(1.0, load_ / std::max(1.0, fleet.latency_ratio));
  const double rate = ConcurrencyLimit::kSeedThreadsPerCore * demand_;
  const double max_credit = kMaxCreditSeconds * std::max(rate, fleet.heaviest_class_work);
  if (!started_) credit_ = initial_fill * max_credit;
  started_ = started_ || fleet.listed_cores > 0;
  credit_ = std::clamp(credit_ + rate * seconds, -max_credit, max_credit);
}

}  // namespace lemoncroft::limits
