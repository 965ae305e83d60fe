// Settings changes of AdmissionQueue: budgets, classes and the size of the fleet.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "admission_queue/admission_queue.h"

namespace lemoncroft::admission_queue {

namespace {

constexpr double kArrivalRateTimeConstantSeconds = 5;
constexpr double kMinScaleChange = 0.01;  // smaller changes of the budget scale aren't logged

}  // namespace

void AdmissionQueue::Configure(Settings settings, Time now) {
  // A class must not inherit the estimate bias of the class that used its index before.
  for (std::size_t i = 0; i < std::min(work_estimate_bias_.size(), settings.classes.size()); ++i) {
    if (settings_.classes[i].name != settings.classes[i].name) work_estimate_bias_[i] = 0;
  }
  settings_ = std::move(settings);
  work_estimate_bias_.resize(settings_.classes.size());
  last_priorities_.resize(settings_.classes.size(), 1);
  double least = HUGE_VAL;
  for (const ClassPolicy& c : settings_.classes) least = std::min(least, std::max(1e-9, c.priority_weight));
  ageing_credits_.clear();
  for (const ClassPolicy& c : settings_.classes) {
    const double decades = std::log10(std::max(1e-9, c.priority_weight) / least);
    ageing_credits_.push_back(FromSeconds(Seconds(settings_.ageing) * decades));
  }
  if (tenants_.size() < settings_.tenants.size()) tenants_.resize(settings_.tenants.size());
  for (TenantQueue& tenant : tenants_) {
    tenant.class_queues.resize(settings_.classes.size());
    tenant.arrival_rates.resize(settings_.classes.size(), RateEstimator(kArrivalRateTimeConstantSeconds));
  }
  settings_.tenants.resize(tenants_.size());
  AssignLanes();
  SetFleetCores(fleet_cores_, now);
}

// Whether a class is light may depend on the other classes, so that any change of the settings can move it to
// the other lane, together with its requests.
void AdmissionQueue::AssignLanes() {
  for (TenantQueue& tenant : tenants_) AssignWaitingToLanes(tenant);
  AssignDispatchedToLanes();
}

void AdmissionQueue::AssignWaitingToLanes(TenantQueue& tenant) const {
  tenant.waiting_work = {};
  tenant.waiting_count = {};
  for (ClassId k = 0; k < tenant.class_queues.size(); ++k) {
    tenant.waiting_work[LaneOf(k)] += tenant.class_queues[k].total();
    tenant.waiting_count[LaneOf(k)] += tenant.class_queues[k].size();
  }
}

void AdmissionQueue::AssignDispatchedToLanes() {
  threads_by_lane_ = {};
  for (const auto& [id, request] : requests_) {
    if (request.dispatched) threads_by_lane_[LaneOf(request.class_id)] += request.threads;
  }
  std::vector<RequestId> dispatched;
  for (LaneState& lane : lanes_) {
    dispatched.insert(dispatched.end(), lane.dispatched.begin(), lane.dispatched.end());
    lane.dispatched.clear();
  }
  std::stable_sort(dispatched.begin(), dispatched.end(), [this](RequestId a, RequestId b) {
    return requests_.at(a).dispatched_at < requests_.at(b).dispatched_at;
  });
  for (const RequestId id : dispatched) {
    lanes_[LaneOf(requests_.at(id).class_id)].dispatched.push_back(id);
  }
}

void AdmissionQueue::SetFleetCores(double cores, Time now) {
  fleet_cores_ = std::max(0.0, cores);
  ApplyBudgets();
  for (LaneState& lane : lanes_) lane.forecast_stale = true;
  // Reviews all waiting requests, since their estimates change and some can no longer start in time.
  review_backlog_.clear();
  for (const TenantQueue& tenant : tenants_) {
    for (const WorkIndex& queue : tenant.class_queues) {
      for (WorkIndex::Place p = queue.begin(); p < queue.end(); ++p)
        if (queue.At(p).occupied) review_backlog_.push_back(queue.At(p).id);
    }
  }
  next_step_ = now;
}

void AdmissionQueue::ApplyBudgets() {
  const double before = budget_scale_;
  budget_scale_ = ledger_.Configure(settings_.tenants, settings_.budget_share, fleet_cores_);
  if (std::abs(budget_scale_ - before) <= kMinScaleChange) return;
  char text[160];
  if (budget_scale_ < 1) {
    std::snprintf(text, sizeof text,
                  "budgets scaled to %.0f%%: they add up to more than the fleet's %.0f cores",
                  budget_scale_ * 100, fleet_cores_);
  } else {
    std::snprintf(text, sizeof text, "budgets no longer scaled: the fleet has %.0f cores", fleet_cores_);
  }
  pending_log_.emplace_back(text);
}

}  // namespace lemoncroft::admission_queue
