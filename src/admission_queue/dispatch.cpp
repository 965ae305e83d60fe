// Dispatch order and pacing of AdmissionQueue.

#include <algorithm>

#include "admission_queue/admission_queue.h"

namespace lemoncroft::admission_queue {

using namespace std::chrono_literals;

namespace {

// Limits on the number of requests that are dispatched but not started (by lane, heavy and light): enough
// that the module never runs out of requests, few enough that the queue determines the order.
constexpr std::array<std::size_t, 2> kMinDispatchWindow = {3, 16};
constexpr std::size_t kMaxDispatchWindow = 512;
constexpr double kDispatchWindowSeconds = 0.06;  // number of starts in this time, at the lane's recent rate
// A request that is overtaken this often blocks its lane until it starts. After kMaxBlockedTime the lane
// continues without it, since the module evidently can't place it.
constexpr std::uint8_t kMaxOvertakes = 6;
constexpr Duration kMaxBlockedTime = 1s;
// Ratios of heavy threads to their target number. Below the first, dispatches aren't paced; from the second
// on, nothing is dispatched.
constexpr double kUnpacedThreadRatio = 0.8, kMaxThreadRatio = 1.3;
constexpr double kPacingGain = 1.5;           // relative rate change per relative deviation from the target
constexpr double kMaxDeviation = 0.5;         // relative deviation from the target number of threads
constexpr Duration kMaxPacingCredit = 100ms;  // limits how much missed dispatch time is made up for

}  // namespace

bool AdmissionQueue::IsCompeting(TenantId t) const {
  const TenantQueue& tenant = tenants_[t];
  if (!ledger_.HasBudget(t)) return false;
  for (const Lane lane : {kHeavy, kLight}) {
    if (tenant.waiting_count[lane] > 0 && HasThreads(t, NextClass(tenant, lane))) return true;
  }
  return false;
}

ClassId AdmissionQueue::NextClass(const TenantQueue& tenant, Lane lane) const {
  ClassId first = 0;
  Time least = Time::max();
  for (ClassId k = 0; k < tenant.class_queues.size(); ++k) {
    if (LaneOf(k) != lane || tenant.class_queues[k].empty()) continue;
    const Time aged_time = tenant.class_queues[k].front().submitted_at - AgeingCredit(k);
    if (aged_time < least) least = aged_time, first = k;
  }
  return first;
}

// A request reserves its threads from dispatch to completion, also between two attempts, so that they are
// available to a retry. Attempts that outlive their request occupy their threads until they end.
bool AdmissionQueue::HasThreads(TenantId t, ClassId class_id) const {
  if (tenants_[t].reserved_threads == 0) return true;  // a request that needs more may run alone
  return ledger_.WithinThreadCap(t, tenants_[t].reserved_threads + settings_.classes[class_id].threads);
}

std::optional<TenantId> AdmissionQueue::NextTenant(Lane lane) const {
  std::optional<TenantId> next;
  for (TenantId t = 0; t < tenants_.size(); ++t) {
    if (tenants_[t].waiting_count[lane] == 0 || !ledger_.HasBudget(t) || !ledger_.WithinMaxLead(t)) continue;
    if (!HasThreads(t, NextClass(tenants_[t], lane))) continue;
    if (!next || ledger_.at(t).start_tag < ledger_.at(*next).start_tag) next = t;
  }
  return next;
}

// Heavy requests run concurrently up to a number of threads per core; beyond it, an engine only divides the
// same capacity further. Near that number, dispatches are spaced by DispatchInterval: a dispatch at each
// completion would cause bursts that can't be predicted.
bool AdmissionQueue::HasCapacity(Lane lane, Time now) const {
  const double target_threads = settings_.heavy_threads_per_core * fleet_cores_ * settings_.budget_share;
  // Light requests rarely reach the limit, but a flood of them must not slow down all running requests.
  if (lane == kLight) return threads_by_lane_[kLight] < target_threads;
  if (threads_by_lane_[kHeavy] < kUnpacedThreadRatio * target_threads) return true;
  return threads_by_lane_[kHeavy] < kMaxThreadRatio * target_threads && now >= lanes_[lane].next_dispatch_at;
}

Duration AdmissionQueue::DispatchInterval(Lane lane, Work work) const {
  const double target_threads =
      std::max(1.0, settings_.heavy_threads_per_core * fleet_cores_ * settings_.budget_share);
  const double deviation =
      std::clamp((target_threads - threads_by_lane_[kHeavy]) / target_threads, -kMaxDeviation, kMaxDeviation);
  return FromSeconds(Seconds(work) /
                     (lanes_[lane].rate_meter.PerSecond(AvailableCores()) * (1 + kPacingGain * deviation)));
}

std::size_t AdmissionQueue::DispatchWindow(Lane lane) const {
  const auto window = static_cast<std::size_t>(lanes_[lane].start_rate.per_second() * kDispatchWindowSeconds);
  return std::clamp(window, kMinDispatchWindow[lane], kMaxDispatchWindow);
}

Dispatch AdmissionQueue::DispatchNext(TenantId t, Lane lane, Time now) {
  LaneState& state = lanes_[lane];
  TenantQueue& tenant = tenants_[t];
  const ClassId class_id = NextClass(tenant, lane);
  const RequestId id = tenant.class_queues[class_id].front().id;
  Request& r = requests_.at(id);
  RemoveFromQueue(r);
  r.dispatched = true;
  r.dispatched_at = now;
  r.threads = settings_.classes[class_id].threads;
  r.charged = r.work;
  ledger_.Charge(r.tenant, r.work);
  ++tenant.dispatched;
  tenant.reserved_threads += r.threads;
  state.dispatched.push_back(id);
  threads_by_lane_[lane] += r.threads;
  if (lane == kHeavy) {
    state.next_dispatch_at =
        std::max(state.next_dispatch_at, now - kMaxPacingCredit) + DispatchInterval(lane, r.work);
  }
  return Dispatch{id};
}

void AdmissionQueue::DispatchLane(Lane lane, Time now, std::vector<Decision>& decisions) {
  LaneState& state = lanes_[lane];
  while (fleet_cores_ > 0 && !state.blocked && state.dispatched.size() < DispatchWindow(lane) &&
         HasCapacity(lane, now)) {
    for (TenantId t = 0; t < tenants_.size(); ++t) ledger_.SetCompeting(t, IsCompeting(t));
    const std::optional<TenantId> next = NextTenant(lane);
    if (!next) break;
    decisions.emplace_back(DispatchNext(*next, lane, now));
  }
  const bool waits = std::any_of(tenants_.begin(), tenants_.end(), [lane](const TenantQueue& tenant) {
    return tenant.waiting_count[lane] > 0;
  });
  state.had_waiting = state.had_waiting && waits;
}

void AdmissionQueue::UpdateBlockedState(Lane lane, Time now) {
  LaneState& state = lanes_[lane];
  const auto stuck = std::find_if(state.dispatched.begin(), state.dispatched.end(), [&](RequestId id) {
    return requests_.at(id).overtaken_by >= kMaxOvertakes;
  });
  if (stuck == state.dispatched.end()) {
    state.blocked = false;
  } else if (!state.blocked) {
    state.blocked = true;
    state.blocked_since = now;
  } else if (now - state.blocked_since >= kMaxBlockedTime) {
    Request& r = requests_.at(*stuck);  // no longer considered, so that others continue
    RemoveFromDispatched(*stuck, r);
    state.blocked = false;
  }
}

void AdmissionQueue::RemoveFromDispatched(RequestId id, Request& r) {
  LaneState& state = lanes_[LaneOf(r.class_id)];
  if (std::erase(state.dispatched, id) > 0) state.dispatched_work -= r.work;
}

}  // namespace lemoncroft::admission_queue
