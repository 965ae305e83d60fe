// Wait estimation of AdmissionQueue.

#include <algorithm>

#include "admission_queue/admission_queue.h"

namespace lemoncroft::admission_queue {

using namespace std::chrono_literals;

namespace {

// A forecast is rebuilt when it has reached this age, or when the number of waiting requests has grown by
// more than an eighth plus kMinForecastGrowth.
constexpr Duration kMaxForecastAge = 20ms;
constexpr std::size_t kMinForecastGrowth = 32;
constexpr Duration kMinRetryAfter = 50ms;
constexpr double kOverrunPersistence = 0.3;  // fraction of the overrunning threads assumed unavailable
constexpr int kMaxOvertakingRounds = 3;
constexpr double kMinBudgetCores = 1e-9;         // avoids a division by zero
constexpr double kMinVirtualTimeRate = 0.1;      // seconds per second; keeps estimates finite
constexpr double kMinAvailableFraction = 0.3;    // of this proxy's cores
constexpr double kPartialRequestFraction = 0.5;  // mean fraction of a request's work past the common level

}  // namespace

Duration AdmissionQueue::BoundedRetryAfter(Duration retry_after) const {
  retry_after = std::max(kMinRetryAfter, retry_after);
  return settings_.max_retry_after > Duration::zero() ? std::min(retry_after, settings_.max_retry_after)
                                                      : retry_after;
}

WaitEstimate AdmissionQueue::EstimateForNewRequest(TenantId tenant, ClassId class_id, Time now) {
  Request r;
  r.tenant = tenant;
  r.class_id = class_id;
  r.work = std::max<Work>(1us, settings_.classes[class_id].default_work);
  r.submitted_at = r.latest_start = now;
  r.place = tenants_[tenant].class_queues[class_id].end();
  return CorrectedEstimate(r, now);
}

Duration AdmissionQueue::RetryAfter(TenantId tenant, ClassId class_id, Time now) {
  if (tenant >= tenants_.size() || class_id >= settings_.classes.size()) return settings_.max_retry_after;
  return BoundedRetryAfter(EstimateForNewRequest(tenant, class_id, now).upper_bound);
}

double AdmissionQueue::AvailableCores() const {
  const double own_cores = fleet_cores_ * settings_.budget_share;
  const double overrun_ratio =
      running_.overrun_threads() / std::max(1.0, settings_.heavy_threads_per_core * own_cores);
  return own_cores * std::max(kMinAvailableFraction, 1 - kOverrunPersistence * overrun_ratio);
}

Work AdmissionQueue::WorkAhead(const Request& r) const {
  const TenantQueue& tenant = tenants_[r.tenant];
  const Lane lane = LaneOf(r.class_id);
  Work ahead{};
  for (ClassId k = 0; k < tenant.class_queues.size(); ++k) {
    if (LaneOf(k) != lane || tenant.class_queues[k].empty()) continue;
    ahead += k == r.class_id ? tenant.class_queues[k].WorkBefore(r.place)
                             : tenant.class_queues[k].WorkSubmittedBy(
                                   r.submitted_at - AgeingCredit(r.class_id) + AgeingCredit(k));
  }
  return ahead;
}

// Returns the start tag that the tenant has once it competes.
double AdmissionQueue::EffectiveStartTag(TenantId t, Lane lane) const {
  const FairShareLedger::Account& account = ledger_.at(t);
  if (tenants_[t].waiting_count[lane] > 0) return account.start_tag;
  return std::max(account.start_tag, ledger_.virtual_time() - account.burst);
}

void AdmissionQueue::RefreshForecast(Lane lane, Time now) {
  LaneState& state = lanes_[lane];
  const bool grown =
      waiting_count_ > state.forecast_waiting + state.forecast_waiting / 8 + kMinForecastGrowth;
  if (state.forecast.built() && now - state.forecast_at < kMaxForecastAge && !state.forecast_stale && !grown)
    return;
  std::vector<TenantFlow> flows(tenants_.size());
  for (TenantId t = 0; t < tenants_.size(); ++t) {
    flows[t].cores = ledger_.at(t).cores;
    flows[t].start_tag = EffectiveStartTag(t, lane);
    flows[t].waiting_work = Seconds(tenants_[t].waiting_work[lane]);
    for (ClassId k = 0; k < tenants_[t].arrival_rates.size(); ++k) {
      if (LaneOf(k) == lane) flows[t].arrival_rate += tenants_[t].arrival_rates[k].per_second();
    }
  }
  const double dispatch_rate = state.rate_meter.PerSecond(AvailableCores());
  const double gap =
      lane == kHeavy && state.next_dispatch_at > now ? Seconds(state.next_dispatch_at - now) : 0;
  state.forecast.Build(flows, dispatch_rate, std::max(gap, Seconds(state.dispatched_work) / dispatch_rate));
  state.forecast_at = now;
  state.forecast_waiting = waiting_count_;
  state.forecast_stale = false;
}

bool AdmissionQueue::CanStartAtOnce(const Request& r, Time now) const {
  const Lane lane = LaneOf(r.class_id);
  const LaneState& state = lanes_[lane];
  const bool lane_open =
      !state.blocked && state.dispatched.size() < DispatchWindow(lane) && HasCapacity(lane, now);
  const bool tenant_free = HasThreads(r.tenant, r.class_id) && ledger_.WithinMaxLead(r.tenant);
  return tenants_[r.tenant].waiting_count[lane] == 0 && lane_open && tenant_free && !state.had_waiting;
}

// Returns the core-seconds of the later requests that will overtake `r`: requests with a greater ageing
// credit overtake it while the difference in credit exceeds the age of `r`, and for at most `wait` seconds.
double AdmissionQueue::OvertakingWork(const Request& r, double wait, Time now) const {
  const TenantQueue& tenant = tenants_[r.tenant];
  const Lane lane = LaneOf(r.class_id);
  double overtaking = 0;
  for (ClassId k = 0; k < tenant.arrival_rates.size(); ++k) {
    if (LaneOf(k) != lane || AgeingCredit(k) <= AgeingCredit(r.class_id)) continue;
    const double remaining = Seconds(AgeingCredit(k) - AgeingCredit(r.class_id) - (now - r.submitted_at));
    overtaking += tenant.arrival_rates[k].per_second() * std::clamp(remaining, 0.0, wait);
  }
  return overtaking;
}

// Other tenants are served in complete requests, and are therefore half a request past the common level on
// average. Returns the core-seconds of this excess, summed over the tenants with a start tag below `target`.
double AdmissionQueue::PartialRequestWork(const Request& r, double target) const {
  const Lane lane = LaneOf(r.class_id);
  double excess_work = 0;
  for (TenantId t = 0; t < tenants_.size(); ++t) {
    if (t != r.tenant && tenants_[t].waiting_count[lane] > 0 && ledger_.at(t).start_tag < target)
      excess_work += kPartialRequestFraction * Seconds(tenants_[t].waiting_work[lane]) /
                     static_cast<double>(tenants_[t].waiting_count[lane]);
  }
  return excess_work;
}

// Extends `wait` to account for the tenant's own limits: its maximum lead over the others and its thread cap.
double AdmissionQueue::WaitWithTenantLimits(const Request& r, double wait, double target, double work_ahead,
                                            Time now) const {
  const FairShareLedger::Account& account = ledger_.at(r.tenant);
  if (account.competing || ledger_.virtual_time() > 0) {
    const double excess_lead = target - ledger_.virtual_time() - ledger_.MaxLead(r.tenant);
    if (excess_lead > 0 && !ledger_.WithinMaxLead(r.tenant))
      wait = std::max(wait, excess_lead / std::max(kMinVirtualTimeRate, virtual_time_rate_));
  }
  if (account.max_threads > 0 && !HasThreads(r.tenant, r.class_id)) {
    const double wait_per_core_second = running_.slowdown(last_priorities_[r.class_id]) / account.max_threads;
    wait = std::max(wait,
                    Seconds(running_.TimeUntilFirstEnd(r.tenant, now)) + work_ahead * wait_per_core_second);
  }
  return wait;
}

Duration AdmissionQueue::RawWait(const Request& r, Time now) {
  const Lane lane = LaneOf(r.class_id);
  LaneState& state = lanes_[lane];
  // While no engine is ready, the wait is one that makes the request late.
  if (fleet_cores_ <= 0) return r.latest_start - r.submitted_at + 1s;
  const double dispatch_rate = state.rate_meter.PerSecond(AvailableCores());
  if (r.dispatched) return FromSeconds(Seconds(state.dispatched_work) / 2 / dispatch_rate);
  if (CanStartAtOnce(r, now)) return Duration::zero();
  RefreshForecast(lane, now);
  const double work = Seconds(WorkAhead(r));
  const double cores = std::max(kMinBudgetCores, ledger_.at(r.tenant).cores);
  const double start_tag = EffectiveStartTag(r.tenant, lane);
  double wait = state.forecast.TimeUntil(start_tag + work / cores);
  // Iterates, since more requests overtake during a longer wait.
  double overtaking = 0;
  for (int round = 0; round < kMaxOvertakingRounds; ++round) {
    overtaking = OvertakingWork(r, wait, now);
    if (overtaking <= 0) break;
    wait = state.forecast.TimeUntil(start_tag + (work + overtaking) / cores);
  }
  const double target = start_tag + (work + overtaking) / cores;
  wait += PartialRequestWork(r, target) / dispatch_rate;
  return FromSeconds(WaitWithTenantLimits(r, wait, target, work + overtaking, now));
}

WaitEstimate AdmissionQueue::CorrectedEstimate(const Request& r, Duration raw_wait) const {
  const EstimateAccuracy& accuracy = lanes_[LaneOf(r.class_id)].accuracy;
  if (raw_wait == Duration::zero()) return {};
  const Duration wait = accuracy.Corrected(raw_wait);
  return {wait, accuracy.UpperBound(wait)};
}

std::optional<WaitEstimate> AdmissionQueue::EstimateWait(RequestId id, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.started) return std::nullopt;
  return CorrectedEstimate(it->second, now);
}

}  // namespace lemoncroft::admission_queue
