// Requests: arrival, quotas, ordering keys and end.
#include <algorithm>
#include <optional>
#include <set>

#include "decision/constants.h"
#include "decision/scheduler.h"

namespace lemoncroft::decision {

// ---- Arrival ----

void Scheduler::Handle(const Request& spec) {
  if (requests_.contains(spec.id)) return;
  if (spec.class_id >= settings_.classes.size()) return actions_->push_back(FailRequest{spec.id});
  RequestState& request = requests_[spec.id];
  request.spec = spec;
  const ClassSettings& class_settings = Class(request);
  request.threads = class_settings.threads;
  request.work = std::max(kMinWork, Estimates(request).ExpectedWork(ToSeconds(spec.estimated_work)));
  const double stretch = class_settings.latency_objective_stretch * request.work / request.threads;
  request.objective_at = now_ + class_settings.latency_objective + FromSeconds(stretch);
  request.deadline = now_ + spec.client_timeout;
  request.priority_weight =
      class_settings.priority_weight * (IsOverQuota(spec) ? settings_.over_quota_weight_share : 1);
  // Work that can't be done within the client's timeout doesn't count as demand, however large the client's
  // estimate is.
  credit_.RecordDemand(std::min(request.work, request.threads * ToSeconds(spec.client_timeout)));
  if (settings_.retry_budget) retries_.RecordRequest(now_);
  request.ordered = class_settings.in_order && spec.ordering_key != 0;
  if (request.ordered) ordering_key_queues_.Append(spec.ordering_key, spec.id);
  Enqueue(request);
}

// Each gateway gets an equal part of a tenant's quota. While the number of gateways isn't known from the
// membership view, the part is the gateway's demand share (CapacityCredit::demand_share) divided by the
// assumed load of the fleet, at most 1.
bool Scheduler::IsOverQuota(const Request& spec) {
  if (spec.tenant >= quotas_.size()) return false;
  const double quota_per_s = settings_.tenants[spec.tenant].quota_per_s;
  if (quota_per_s <= 0) return false;
  const double part = fleet_size_
                          ? 1.0 / settings_.gateway_count
                          : std::min(1.0, credit_.demand_share() / limits::CapacityCredit::kAssumedLoad);
  return !quotas_[spec.tenant].Take(now_, quota_per_s * part, kQuotaBurstSeconds);
}

// ---- Pending requests ----

void Scheduler::Enqueue(RequestState& request) {
  if (!request.ordered) return AddPending(request);
  request.phase = RequestPhase::kWaitingForOrderingKey;
  ScheduleCheck(request, LatestStart(request));
  AdvanceOrderingKey(request.spec.ordering_key);
}

void Scheduler::AddPending(RequestState& request) {
  request.phase = RequestPhase::kPending;
  request.pending_group = {CurrentPriorityWeight(request), request.spec.class_id};
  pending_.Add(request.pending_group, request.work, request.spec.id);
  const Nanos retry_deadline = request.attempts > 0 ? RetryDeadline(request) : kNoLimit;
  ScheduleCheck(request, std::min(LatestStart(request), retry_deadline));
}

// The settings, and with them the priority weight, may have changed since the request was added.
void Scheduler::RemovePending(const RequestState& request) {
  pending_.Remove(request.pending_group, request.work, request.spec.id);
}

double Scheduler::CurrentPriorityWeight(const RequestState& request) const {
  return request.priority_weight * (request.late ? Class(request).late_weight_share : 1);
}

void Scheduler::RejectOrFailAllPending() {
  while (!pending_.empty()) RejectOrFail(requests_.at(pending_.front()));
}

// ---- Ordering keys ----

// Open requests of a class that now has ordering keys are queued too, so that later requests wait for them.
void Scheduler::RebuildOrderingKeyQueues(const std::vector<int>& former_class) {
  std::set<RequestId> ordered;  // in the order of arrival, which is that of the ids
  for (auto& [id, request] : requests_) {
    for (std::size_t i = 0; i < former_class.size() && request.spec.ordering_key != 0; ++i) {
      const bool successor = former_class[i] == request.spec.class_id;
      request.ordered = request.ordered || (settings_.classes[i].in_order && successor);
    }
    if (request.ordered) ordered.insert(id);
  }
  ordering_key_queues_.Clear();
  for (RequestId id : ordered) ordering_key_queues_.Append(requests_.at(id).spec.ordering_key, id);
  for (RequestId id : ordered) {
    RequestState& request = requests_.at(id);
    if (request.phase == RequestPhase::kPending) RemovePending(request);
    if (request.phase == RequestPhase::kPending || request.phase == RequestPhase::kWaitingForOrderingKey)
      Enqueue(request);
  }
}

void Scheduler::AdvanceOrderingKey(std::uint64_t key) {
  const std::optional<RequestId> first = ordering_key_queues_.Front(key, now_);
  if (!first) return;
  RequestState& request = requests_.at(*first);
  if (request.phase == RequestPhase::kWaitingForOrderingKey && !request.spec.held) AddPending(request);
}

void Scheduler::Handle(const RequestReleased& released) {
  const auto it = requests_.find(released.id);
  if (it == requests_.end()) return;
  it->second.spec.held = false;
  if (it->second.ordered) AdvanceOrderingKey(it->second.spec.ordering_key);
}

void Scheduler::RemoveFromOrderingKey(const RequestState& request) {
  if (!request.ordered) return;
  ordering_key_queues_.Remove(request.spec.ordering_key, request.spec.id);
  AdvanceOrderingKey(request.spec.ordering_key);
}

// ---- End ----

void Scheduler::RejectOrFail(RequestState& request) {
  RemovePending(request);
  const bool may_have_run = request.may_have_run_at >= 0 || request.attempt_in_flight;
  if (Class(request).effect == Effect::kSafe || !may_have_run) {
    const Nanos retry_after = settings_.may_send_retry_after ? settings_.max_retry_after : 0;
    actions_->push_back(RejectRequest{request.spec.id, retry_after});
  } else {
    actions_->push_back(FailRequest{request.spec.id});
  }
  Finish(request);
}

void Scheduler::Finish(RequestState& request) {
  request.phase = RequestPhase::kDone;
  if (request.attempt_in_flight) return CancelAttempt(request);
  const RequestState finished = request;
  requests_.erase(finished.spec.id);
  RemoveFromOrderingKey(finished);
}

void Scheduler::Handle(const Shutdown&) {
  std::set<RequestId> open;  // in the order of arrival, which is that of the ids
  for (const auto& [id, request] : requests_)
    if (request.phase != RequestPhase::kDone) open.insert(id);
  for (RequestId id : open) RejectOrFail(requests_.at(id));
}

void Scheduler::Handle(const DeadlineReached& reached) {
  const auto it = requests_.find(reached.id);
  if (it != requests_.end() && it->second.phase != RequestPhase::kDone) RejectOrFail(it->second);
}

void Scheduler::Handle(const RequestCancelled& cancelled) {
  const auto it = requests_.find(cancelled.id);
  if (it == requests_.end() || it->second.phase == RequestPhase::kDone) return;
  RemovePending(it->second);
  Finish(it->second);
}

void Scheduler::Handle(const StreamStarted& start) {
  const auto it = requests_.find(start.id);
  if (it != requests_.end()) it->second.next_check_at = 0;  // no runaway checks once the response has begun
}

}  // namespace lemoncroft::decision
