#include "admission_queue/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemoncroft::admission_queue {

using namespace std::chrono_literals;

namespace {

constexpr Duration kUpdateInterval = 50ms;  // between updates of charges, rates and forecasts
constexpr Duration kBacklogInterval = 5ms;  // between steps while the review backlog is not empty
// A request that is rejected because its tenant's queue is full may retry after the estimated time in which
// about kDispatchesBeforeRetry of the tenant's requests are dispatched. A request that is rejected because
// the queue of all tenants is full may retry after 1/kQueueFullWaitDivisor of its estimated wait.
constexpr int kDispatchesBeforeRetry = 8;
constexpr int kQueueFullWaitDivisor = 8;
// The latest start of an admitted request is at least this far ahead, unless its deadline is earlier.
constexpr Duration kImmediateStartTolerance = 100ms;
constexpr double kVirtualTimeRateTimeConstantSeconds = 4;
constexpr double kWorkBiasWeight = 0.03;    // weight of the newest response
constexpr double kMaxWorkError = 1.4;       // logarithm of a ratio; limits the effect of an outlier
constexpr double kMaxWorkBias = 2.0;        // logarithm of a ratio
constexpr double kMinWorkSeconds = 1e-6;    // avoids a division by zero
constexpr double kMaxVirtualTimeRate = 20;  // seconds per second; limits the effect of a jump
constexpr double kMaxEstimateRatio = 200;   // ratio of an estimate to the default work of the class

}  // namespace

AdmissionQueue::AdmissionQueue(Settings settings) : settings_(std::move(settings)), running_(ledger_) {
  work_estimate_bias_.assign(settings_.classes.size(), 0);
  Configure(settings_, Time{});
}

Work AdmissionQueue::ExpectedWork(const QueuedRequest& request) const {
  const ClassPolicy& c = settings_.classes[request.class_id];
  const Work default_work = std::max<Work>(1us, c.default_work);
  if (request.estimated_work <= Work::zero()) return default_work;
  const double corrected = Seconds(request.estimated_work) * std::exp(work_estimate_bias_[request.class_id]);
  return std::clamp<Work>(FromSeconds(corrected), 1us,
                          FromSeconds(Seconds(default_work) * kMaxEstimateRatio));
}

Duration AdmissionQueue::RunTime(const Request& r) const {
  return running_.RunTime(r.work, settings_.classes[r.class_id].threads, last_priorities_[r.class_id]);
}

Reject AdmissionQueue::MakeReject(const QueuedRequest& request, RejectReason reason, Duration retry_after) {
  ++tenants_[request.tenant].rejected;
  return {request.id, reason, BoundedRetryAfter(retry_after)};
}

AdmissionQueue::Request AdmissionQueue::NewRequest(const QueuedRequest& request, Time now) const {
  Request r;
  r.tenant = request.tenant;
  r.class_id = request.class_id;
  r.wants_updates = request.wants_updates;
  r.work = ExpectedWork(request);
  r.submitted_at = now;
  r.place = tenants_[r.tenant].class_queues[r.class_id].end();
  r.latest_start = request.deadline - RunTime(r);
  const Duration max_wait = settings_.classes[r.class_id].max_wait;
  if (max_wait > Duration::zero()) r.latest_start = std::min(r.latest_start, now + max_wait);
  return r;
}

RejectReason AdmissionQueue::BarredReason(TenantId tenant, ClassId class_id) const {
  const TenantBudget& budget = settings_.tenants[tenant];
  if (budget.cores <= 0) return RejectReason::kNoBudget;
  if (std::count(budget.barred_classes.begin(), budget.barred_classes.end(), class_id) > 0)
    return RejectReason::kClassBarred;
  return RejectReason::kNone;
}

std::optional<Reject> AdmissionQueue::RejectIfFullOrLate(const QueuedRequest& request, const Request& r,
                                                         const WaitEstimate& estimate, Time now) {
  const std::size_t waiting = tenants_[r.tenant].size();
  const std::size_t max_waiting = settings_.tenants[r.tenant].max_waiting;
  // The queue of a tenant is assumed to drain at the rate on which the estimate is based.
  if (max_waiting > 0 && waiting >= max_waiting) {
    const Duration retry_after = estimate.wait / static_cast<int>(1 + waiting / kDispatchesBeforeRetry);
    return MakeReject(request, RejectReason::kTenantQueueFull, retry_after);
  }
  if (waiting_count_ >= settings_.max_waiting)
    return MakeReject(request, RejectReason::kQueueFull, estimate.wait / kQueueFullWaitDivisor);
  if (now + estimate.upper_bound > r.latest_start && estimate.wait > Duration::zero())
    return MakeReject(request, RejectReason::kTooLate, now + estimate.upper_bound - r.latest_start);
  return std::nullopt;
}

void AdmissionQueue::Enqueue(const QueuedRequest& request, Request r, const WaitEstimate& estimate,
                             Time now) {
  TenantQueue& tenant = tenants_[r.tenant];
  const Lane lane = LaneOf(r.class_id);
  r.place = tenant.class_queues[r.class_id].Push(request.id, now, r.work);
  tenant.arrival_rates[r.class_id].Add(Seconds(r.work));
  tenant.waiting_work[lane] += r.work;
  ++tenant.waiting_count[lane];
  ++waiting_count_;
  r.reported_start = now + estimate.wait;
  Request& entry = requests_.emplace(request.id, r).first->second;
  ScheduleReview(request.id, entry, now, estimate.wait);
  next_step_ = now;
}

AdmissionQueue::SubmitResult AdmissionQueue::Submit(const QueuedRequest& request, Time now) {
  if (request.tenant >= tenants_.size() || request.class_id >= settings_.classes.size() ||
      requests_.contains(request.id))
    return {Reject{request.id, RejectReason::kNoBudget, settings_.max_retry_after}, {}, {}};
  ++tenants_[request.tenant].submitted;
  Request r = NewRequest(request, now);
  const RejectReason barred = BarredReason(r.tenant, r.class_id);
  if (barred != RejectReason::kNone) return {MakeReject(request, barred, settings_.max_retry_after), {}, {}};
  r.raw_wait = RawWait(r, now);
  const WaitEstimate estimate = CorrectedEstimate(r, r.raw_wait);
  if (const auto rejected = RejectIfFullOrLate(request, r, estimate, now)) return {rejected, {}, {}};
  // A request that is expected to run past its deadline is still admitted if it can start at once, since the
  // expected run time is only an estimate.
  r.latest_start = std::max(r.latest_start, std::min(request.deadline, now + kImmediateStartTolerance));
  Enqueue(request, r, estimate, now);
  return {std::nullopt, estimate, r.latest_start};
}

void AdmissionQueue::RemoveFromQueue(Request& r) {
  const Lane lane = LaneOf(r.class_id);
  TenantQueue& tenant = tenants_[r.tenant];
  tenant.class_queues[r.class_id].Remove(r.place);
  tenant.waiting_work[lane] -= r.work;
  --tenant.waiting_count[lane];
  --waiting_count_;
}

void AdmissionQueue::OnAttemptStarted(RequestId id, int attempt, int priority, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.dispatched) return;
  Request& r = it->second;
  LaneState& lane = lanes_[LaneOf(r.class_id)];
  if (!r.started) {
    r.started = true;
    last_priorities_[r.class_id] = priority;
    for (const RequestId other : lane.dispatched) {
      if (other == id) break;
      ++requests_.at(other).overtaken_by;
    }
    RemoveFromDispatched(id, r);
    lane.rate_meter.AddStarted(r.work);
    lane.start_rate.Add(1);
    lane.accuracy.AddSample(r.raw_wait, now - r.submitted_at);
  }
  ++r.running_attempts;
  running_.Begin({id, attempt, r.tenant, r.threads, settings_.classes[r.class_id].light, r.work, r.charged},
                 now);
  r.charged = Work::zero();
  next_step_ = std::min(next_step_, now);
}

void AdmissionQueue::OnAttemptEnded(RequestId id, int attempt, Work reported_work, bool may_have_run,
                                    Time now) {
  const auto ended = running_.End(id, attempt, reported_work, may_have_run, now);
  if (!ended) return;
  next_step_ = std::min(next_step_, now);
  const auto it = requests_.find(id);
  if (it == requests_.end()) tenants_[ended->tenant].reserved_threads -= ended->threads;
  if (it != requests_.end()) --it->second.running_attempts;
  if (it == requests_.end() || reported_work <= Work::zero()) return;
  const Request& r = it->second;
  const double error = std::log(Seconds(reported_work) / std::max(kMinWorkSeconds, Seconds(r.work)));
  double& bias = work_estimate_bias_[r.class_id];
  bias = std::clamp(bias + kWorkBiasWeight * std::clamp(error, -kMaxWorkError, kMaxWorkError), -kMaxWorkBias,
                    kMaxWorkBias);
}

void AdmissionQueue::OnRequestCompleted(RequestId id, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  if (!r.dispatched) RemoveFromQueue(r);
  if (r.dispatched && !r.started) RemoveFromDispatched(id, r);
  if (r.dispatched) {
    tenants_[r.tenant].reserved_threads += (r.running_attempts - 1) * r.threads;
    threads_by_lane_[LaneOf(r.class_id)] -= r.threads;
  }
  if (r.charged > Work::zero()) ledger_.Charge(r.tenant, -r.charged);  // it never started
  requests_.erase(it);
  next_step_ = std::min(next_step_, now);
}

void AdmissionQueue::Step(Time now, std::vector<Decision>& decisions) {
  if (!started_) last_update_ = now, started_ = true;
  if (now - last_update_ >= kUpdateInterval) RunPeriodicUpdate(now);
  for (std::string& text : pending_log_) decisions.emplace_back(LogEvent{std::move(text)});
  pending_log_.clear();
  ReviewDueRequests(now, decisions);
  for (const Lane lane : {kLight, kHeavy}) {
    UpdateBlockedState(lane, now);
    DispatchLane(lane, now, decisions);
  }
  const bool busy = waiting_count_ > 0 || running_.size() > 0 || !lanes_[0].dispatched.empty() ||
                    !lanes_[1].dispatched.empty();
  next_step_ = busy || !requests_.empty() ? last_update_ + kUpdateInterval : Time::max();
  if (lanes_[kHeavy].next_dispatch_at > now && waiting_count_ > 0)
    next_step_ = std::min(next_step_, lanes_[kHeavy].next_dispatch_at);
  if (!review_backlog_.empty()) next_step_ = std::min(next_step_, now + kBacklogInterval);
}

void AdmissionQueue::RunPeriodicUpdate(Time now) {
  const Duration window = now - last_update_;
  last_update_ = now;
  running_.ChargeWorkDone(now);
  const double cores = AvailableCores();
  for (LaneState& lane : lanes_) {
    lane.rate_meter.EndWindow(window, lane.had_waiting, fleet_cores_ > 0 ? cores : 0);
    lane.start_rate.EndWindow(Seconds(window), true);
    lane.had_waiting = true;  // until DispatchLane finds no waiting request
    lane.forecast_stale = true;
  }
  for (TenantQueue& tenant : tenants_) {
    for (RateEstimator& rate : tenant.arrival_rates) rate.EndWindow(Seconds(window), true);
  }
  for (TenantId t = 0; t < tenants_.size(); ++t) ledger_.SetCompeting(t, IsCompeting(t));
  const double advance_rate = std::max(0.0, ledger_.virtual_time() - last_virtual_time_) / Seconds(window);
  last_virtual_time_ = ledger_.virtual_time();
  virtual_time_rate_ += (1 - std::exp(-Seconds(window) / kVirtualTimeRateTimeConstantSeconds)) *
                        (std::min(advance_rate, kMaxVirtualTimeRate) - virtual_time_rate_);
}

std::size_t AdmissionQueue::memory_bytes() const {
  std::size_t bytes = requests_.bucket_count() * sizeof(void*);
  bytes += requests_.size() * (sizeof(std::pair<const RequestId, Request>) + 2 * sizeof(void*));
  bytes += review_timers_.size() * sizeof(RequestId) + review_backlog_.size() * sizeof(RequestId);
  for (const TenantQueue& tenant : tenants_) {
    for (const WorkIndex& queue : tenant.class_queues) bytes += queue.memory_bytes();
  }
  return bytes;
}

}  // namespace lemoncroft::admission_queue
