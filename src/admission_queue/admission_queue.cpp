#include "admission_queue/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lemoncroft::admission_queue {

using namespace std::chrono_literals;

namespace {

constexpr Span kUpdateInterval = 50ms;          // of charges, rates and forecasts
constexpr Span kMaxForecastAge = 20ms;          // a forecast is rebuilt when older ...
constexpr std::size_t kMinForecastGrowth = 32;  // ... or when more requests than this have joined
constexpr Span kMinReviewInterval = 100ms;      // of one waiting request
constexpr Span kBacklogInterval = 5ms;          // between steps while reviews are due at once
constexpr std::size_t kMaxReviewsPerStep = 2048;
// An estimate is reported again when the start moves by this much of the wait, and at least by so much.
constexpr double kMinEstimateChangeRatio = 0.4;
constexpr Span kMinEstimateChange = 750ms;
constexpr Span kMinRetryAfter = 50ms;
constexpr Span kImmediateStartTolerance = 100ms;  // allowed for a start without waiting
// Requests dispatched and not started, heavy and light: enough that the module never runs out of them, few
// enough that the queue determines the order.
constexpr std::array<std::size_t, 2> kMinDispatchWindow = {3, 16};
constexpr std::size_t kMaxDispatchWindow = 512;
constexpr double kDispatchWindowSeconds = 0.06;  // of the lane's recent starts
// A request overtaken this often blocks its lane until it starts. It is given up after kMaxBlockedTime, since
// the module evidently can't place it.
constexpr std::uint8_t kMaxOvertakes = 6;
constexpr Span kMaxBlockedTime = 1s;
// Of the wanted number of heavy threads: below the first no pacing, above the second no dispatch.
constexpr double kUnpacedLoad = 0.8, kMaxLoad = 1.3;
constexpr double kPacingGain = 1.5;          // of the pace, per relative deviation from the wanted threads
constexpr double kOverrunPersistence = 0.3;  // fraction of overrunning threads taken as unavailable
constexpr Span kMaxPacingCredit = 100ms;     // of dispatch time that was missed
constexpr double kArrivalRateWindowSeconds = 5;
constexpr double kVirtualTimeRateWindowSeconds = 4;
constexpr double kEstimateBiasWeight = 0.03;  // of the newest response
constexpr double kMaxEstimateError = 1.4;     // of the logarithm: limits the effect of an outlier
constexpr double kMaxEstimateRatio = 200;     // to the default work of the class
constexpr double kPartialRequest = 0.5;       // of a request's work
constexpr double kMinScaleChange = 0.01;      // of the budgets, to be logged

}  // namespace

const char* Description(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNone:
      return "none";
    case RejectReason::kNoBudget:
      return "the tenant has no budget";
    case RejectReason::kClassBarred:
      return "the tenant may not use the class";
    case RejectReason::kTenantQueueFull:
      return "the tenant has too many requests waiting";
    case RejectReason::kQueueFull:
      return "too many requests are waiting";
    case RejectReason::kTooLate:
      return "it could not start in time";
  }
  return "?";
}

AdmissionQueue::AdmissionQueue(Settings settings) : settings_(std::move(settings)), running_(ledger_) {
  estimate_bias_.assign(settings_.classes.size(), 0);
  Configure(settings_, Time{});
}

void AdmissionQueue::Configure(Settings settings, Time now) {
  // An index now used by another class must not inherit its estimate bias.
  for (std::size_t i = 0; i < std::min(estimate_bias_.size(), settings.classes.size()); ++i) {
    if (settings_.classes[i].name != settings.classes[i].name) estimate_bias_[i] = 0;
  }
  settings_ = std::move(settings);
  estimate_bias_.resize(settings_.classes.size());
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
    tenant.arrival_rates.resize(settings_.classes.size(), RateEstimator(kArrivalRateWindowSeconds));
  }
  settings_.tenants.resize(tenants_.size());
  SetFleetCores(fleet_cores_, now);
}

void AdmissionQueue::SetFleetCores(double cores, Time now) {
  fleet_cores_ = std::max(0.0, cores);
  ApplyBudgets();
  for (LaneState& lane : lanes_) lane.forecast_stale = true;
  // Review all waiting requests: their estimates change, and some can no longer start in time.
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
    std::snprintf(text, sizeof text, "budgets whole again: the fleet has %.0f cores", fleet_cores_);
  }
  pending_log_.emplace_back(text);
}

Work AdmissionQueue::ExpectedWork(const QueuedRequest& request) const {
  const ClassPolicy& c = settings_.classes[request.class_id];
  const Work default_work = std::max<Work>(1us, c.default_work);
  if (request.estimated_work <= Work::zero()) return default_work;
  const double corrected = Seconds(request.estimated_work) * std::exp(estimate_bias_[request.class_id]);
  return std::clamp<Work>(FromSeconds(corrected), 1us,
                          FromSeconds(Seconds(default_work) * kMaxEstimateRatio));
}

Span AdmissionQueue::RunTime(const Request& r) const {
  return running_.RunTime(r.work, settings_.classes[r.class_id].threads, last_priorities_[r.class_id]);
}

Reject AdmissionQueue::MakeReject(const QueuedRequest& request, RejectReason reason, Span retry_after) {
  ++tenants_[request.tenant].rejected;
  return {request.id, reason, BoundedRetryAfter(retry_after)};
}

Span AdmissionQueue::BoundedRetryAfter(Span retry_after) const {
  retry_after = std::max(kMinRetryAfter, retry_after);
  return settings_.max_retry_after > Span::zero() ? std::min(retry_after, settings_.max_retry_after)
                                                  : retry_after;
}

WaitEstimate AdmissionQueue::EstimateForNewcomer(TenantId tenant, ClassId class_id, Time now) {
  Request r;
  r.tenant = tenant;
  r.class_id = class_id;
  r.work = std::max<Work>(1us, settings_.classes[class_id].default_work);
  r.submitted_at = r.latest_start = now;
  r.place = tenants_[tenant].class_queues[class_id].end();
  return CorrectedEstimate(r, now);
}

Span AdmissionQueue::RetryAfter(TenantId tenant, ClassId class_id, Time now) {
  if (tenant >= tenants_.size() || class_id >= settings_.classes.size()) return settings_.max_retry_after;
  return BoundedRetryAfter(EstimateForNewcomer(tenant, class_id, now).upper_bound);
}

AdmissionQueue::SubmitResult AdmissionQueue::Submit(const QueuedRequest& request, Time now) {
  if (request.tenant >= tenants_.size() || request.class_id >= settings_.classes.size() ||
      requests_.contains(request.id))
    return {Reject{request.id, RejectReason::kNoBudget, settings_.max_retry_after}, {}, {}};
  TenantQueue& tenant = tenants_[request.tenant];
  const TenantBudget& budget = settings_.tenants[request.tenant];
  ++tenant.submitted;
  Request r;
  r.tenant = request.tenant;
  r.class_id = request.class_id;
  r.wants_updates = request.wants_updates;
  r.work = ExpectedWork(request);
  r.submitted_at = now;
  r.place = tenant.class_queues[r.class_id].end();
  r.latest_start = request.deadline - RunTime(r);
  const Span max_wait = settings_.classes[r.class_id].max_wait;
  if (max_wait > Span::zero()) r.latest_start = std::min(r.latest_start, now + max_wait);
  if (budget.cores <= 0)
    return {MakeReject(request, RejectReason::kNoBudget, settings_.max_retry_after), {}, {}};
  if (std::count(budget.barred_classes.begin(), budget.barred_classes.end(), request.class_id) > 0)
    return {MakeReject(request, RejectReason::kClassBarred, settings_.max_retry_after), {}, {}};
  r.raw_wait = RawWait(r, now);
  const WaitEstimate estimate = CorrectedEstimate(r, r.raw_wait);
  // Places in a full queue become free at the rate that the estimate assumes.
  if (budget.max_waiting > 0 && tenant.size() >= budget.max_waiting)
    return {MakeReject(request, RejectReason::kTenantQueueFull,
                       estimate.wait / static_cast<int>(1 + tenant.size() / 8)),
            {},
            {}};
  if (waiting_count_ >= settings_.max_waiting)
    return {MakeReject(request, RejectReason::kQueueFull, estimate.wait / 8), {}, {}};
  if (now + estimate.upper_bound > r.latest_start && estimate.wait > Span::zero())
    return {MakeReject(request, RejectReason::kTooLate, now + estimate.upper_bound - r.latest_start), {}, {}};
  // A request expected to run past its deadline is still tried if it can start at once: the expected run time
  // is only an estimate.
  r.latest_start = std::max(r.latest_start, std::min(request.deadline, now + kImmediateStartTolerance));
  const Lane lane = LaneOf(r.class_id);
  r.place = tenant.class_queues[r.class_id].Push(request.id, now, r.work);
  tenant.arrival_rates[r.class_id].Add(Seconds(r.work));
  tenant.waiting_work[lane] += r.work;
  ++tenant.waiting_count[lane];
  ++waiting_count_;
  r.announced_start = now + estimate.wait;
  Request& entry = requests_.emplace(request.id, r).first->second;
  ScheduleReview(request.id, entry, now, estimate.wait);
  next_step_ = now;
  return {std::nullopt, estimate, r.latest_start};
}

double AdmissionQueue::AvailableCores() const {
  const double own = fleet_cores_ * settings_.budget_share;
  const double held = running_.overrun_threads() / std::max(1.0, settings_.heavy_threads_per_core * own);
  return own * std::max(0.3, 1 - kOverrunPersistence * held);
}

Work AdmissionQueue::WorkAhead(const Request& r) const {
  const TenantQueue& tenant = tenants_[r.tenant];
  const Lane lane = LaneOf(r.class_id);
  Work ahead{};
  for (ClassId k = 0; k < tenant.class_queues.size(); ++k) {
    if (LaneOf(k) != lane || tenant.class_queues[k].empty()) continue;
    ahead += k == r.class_id ? tenant.class_queues[k].WorkBefore(r.place)
                             : tenant.class_queues[k].WorkSubmittedBefore(
                                   r.submitted_at - AgeingCredit(r.class_id) + AgeingCredit(k));
  }
  return ahead;
}

// The start tag that the tenant has once it competes.
double AdmissionQueue::EffectiveTag(TenantId t, Lane lane) const {
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
    flows[t].start_tag = EffectiveTag(t, lane);
    flows[t].waiting_work = Seconds(tenants_[t].waiting_work[lane]);
    for (ClassId k = 0; k < tenants_[t].arrival_rates.size(); ++k) {
      if (LaneOf(k) == lane) flows[t].arrival_rate += tenants_[t].arrival_rates[k].per_second();
    }
  }
  const double pace = state.pacer.Now(AvailableCores());
  const double gap =
      lane == kHeavy && state.next_dispatch_at > now ? Seconds(state.next_dispatch_at - now) : 0;
  state.forecast.Build(flows, pace, std::max(gap, Seconds(state.dispatched_work) / pace));
  state.forecast_at = now;
  state.forecast_waiting = waiting_count_;
  state.forecast_stale = false;
}

Span AdmissionQueue::RawWait(const Request& r, Time now) {
  const Lane lane = LaneOf(r.class_id);
  LaneState& state = lanes_[lane];
  if (fleet_cores_ <= 0) return r.latest_start - r.submitted_at + 1s;
  const double pace = state.pacer.Now(AvailableCores());
  if (r.dispatched) return FromSeconds(Seconds(state.dispatched_work) / 2 / pace);
  const TenantQueue& tenant = tenants_[r.tenant];
  const bool open =
      !state.blocked && state.dispatched.size() < DispatchWindow(lane) && HasCapacity(lane, now);
  const bool free = HasThreads(r.tenant, r.class_id) && ledger_.WithinMaxLead(r.tenant);
  if (tenant.waiting_count[lane] == 0 && open && free && !state.had_waiting) return Span::zero();
  RefreshForecast(lane, now);
  const double work = Seconds(WorkAhead(r));
  const FairShareLedger::Account& account = ledger_.at(r.tenant);
  const double cores = std::max(1e-9, account.cores);
  const double start_tag = EffectiveTag(r.tenant, lane);
  double wait = state.forecast.TimeUntil(start_tag + work / cores);
  // Later requests with a greater ageing credit overtake, while the difference in credit exceeds the age.
  double overtaking = 0;
  for (int round = 0; round < 3; ++round) {
    overtaking = 0;
    for (ClassId k = 0; k < tenant.arrival_rates.size(); ++k) {
      if (LaneOf(k) != lane || AgeingCredit(k) <= AgeingCredit(r.class_id)) continue;
      const double left = Seconds(AgeingCredit(k) - AgeingCredit(r.class_id) - (now - r.submitted_at));
      overtaking += tenant.arrival_rates[k].per_second() * std::clamp(left, 0.0, wait);
    }
    if (overtaking <= 0) break;
    wait = state.forecast.TimeUntil(start_tag + (work + overtaking) / cores);
  }
  // Other tenants are served in whole requests, and so are half a request past the common level on average.
  const double target = start_tag + (work + overtaking) / cores;
  double past_level = 0;
  for (TenantId t = 0; t < tenants_.size(); ++t) {
    if (t != r.tenant && tenants_[t].waiting_count[lane] > 0 && ledger_.at(t).start_tag < target)
      past_level += kPartialRequest * Seconds(tenants_[t].waiting_work[lane]) /
                    static_cast<double>(tenants_[t].waiting_count[lane]);
  }
  wait += past_level / pace;
  // Two limits of the tenant itself: its lead over the others, and its thread cap.
  if (account.competing || ledger_.virtual_time() > 0) {
    const double past = target - ledger_.virtual_time() - ledger_.MaxLead(r.tenant);
    if (past > 0 && !ledger_.WithinMaxLead(r.tenant))
      wait = std::max(wait, past / std::max(0.1, virtual_time_rate_));
  }
  if (account.max_threads > 0 && !HasThreads(r.tenant, r.class_id)) {
    const double each = running_.stretch(last_priorities_[r.class_id]) / account.max_threads;
    wait = std::max(wait, Seconds(running_.TimeUntilFirstEnd(r.tenant, now)) + (work + overtaking) * each);
  }
  return FromSeconds(wait);
}

WaitEstimate AdmissionQueue::CorrectedEstimate(const Request& r, Span raw_wait) const {
  const EstimateAccuracy& accuracy = lanes_[LaneOf(r.class_id)].accuracy;
  if (raw_wait == Span::zero()) return {};
  const Span wait = accuracy.Corrected(raw_wait);
  return {wait, accuracy.UpperBound(wait)};
}

std::optional<WaitEstimate> AdmissionQueue::EstimateWait(RequestId id, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.started) return std::nullopt;
  return CorrectedEstimate(it->second, now);
}

bool AdmissionQueue::IsCompeting(TenantId t) const {
  const TenantQueue& tenant = tenants_[t];
  if (!ledger_.MaySend(t)) return false;
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
    const Time key = tenant.class_queues[k].front().submitted_at - AgeingCredit(k);
    if (key < least) least = key, first = k;
  }
  return first;
}

// A request holds its threads from dispatch to completion, also between two attempts, so that a retry finds
// them free. Attempts that outlive it hold theirs until they end.
bool AdmissionQueue::HasThreads(TenantId t, ClassId class_id) const {
  if (tenants_[t].threads == 0) return true;  // a request wider than the cap may run alone
  return ledger_.WithinThreadCap(t, tenants_[t].threads + settings_.classes[class_id].threads);
}

std::optional<TenantId> AdmissionQueue::NextTenant(Lane lane) const {
  std::optional<TenantId> next;
  for (TenantId t = 0; t < tenants_.size(); ++t) {
    if (tenants_[t].waiting_count[lane] == 0 || !ledger_.MaySend(t) || !ledger_.WithinMaxLead(t)) continue;
    if (!HasThreads(t, NextClass(tenants_[t], lane))) continue;
    if (!next || ledger_.at(t).start_tag < ledger_.at(*next).start_tag) next = t;
  }
  return next;
}

// Heavy requests run concurrently up to a number of threads per core; beyond it an engine only divides the
// same capacity further. Near that number dispatches are spaced by DispatchInterval: dispatched at each
// completion, requests would leave in bursts that can't be predicted.
bool AdmissionQueue::HasCapacity(Lane lane, Time now) const {
  const double wanted = settings_.heavy_threads_per_core * fleet_cores_ * settings_.budget_share;
  // Light requests seldom come near the limit, but a flood of them must not slow down everything that runs.
  if (lane == kLight) return threads_by_lane_[kLight] < wanted;
  if (threads_by_lane_[kHeavy] < kUnpacedLoad * wanted) return true;
  return threads_by_lane_[kHeavy] < kMaxLoad * wanted && now >= lanes_[lane].next_dispatch_at;
}

Span AdmissionQueue::DispatchInterval(Lane lane, Work work) const {
  const double wanted =
      std::max(1.0, settings_.heavy_threads_per_core * fleet_cores_ * settings_.budget_share);
  const double off = std::clamp((wanted - threads_by_lane_[kHeavy]) / wanted, -0.5, 0.5);
  return FromSeconds(Seconds(work) / (lanes_[lane].pacer.Now(AvailableCores()) * (1 + kPacingGain * off)));
}

std::size_t AdmissionQueue::DispatchWindow(Lane lane) const {
  const auto wanted = static_cast<std::size_t>(lanes_[lane].start_rate.per_second() * kDispatchWindowSeconds);
  return std::clamp(wanted, kMinDispatchWindow[lane], kMaxDispatchWindow);
}

void AdmissionQueue::DispatchLane(Lane lane, Time now, std::vector<Decision>& decisions) {
  LaneState& state = lanes_[lane];
  while (fleet_cores_ > 0 && !state.blocked && state.dispatched.size() < DispatchWindow(lane) &&
         HasCapacity(lane, now)) {
    for (TenantId t = 0; t < tenants_.size(); ++t) ledger_.SetCompeting(t, IsCompeting(t));
    const std::optional<TenantId> next = NextTenant(lane);
    if (!next) break;
    TenantQueue& tenant = tenants_[*next];
    const ClassId class_id = NextClass(tenant, lane);
    const RequestId id = tenant.class_queues[class_id].front().id;
    Request& r = requests_.at(id);
    RemoveFromQueue(r);
    r.dispatched = true;
    r.charged = r.work;
    ledger_.Charge(r.tenant, r.work);
    ++tenant.dispatched;
    tenant.threads += settings_.classes[class_id].threads;
    state.dispatched.push_back(id);
    threads_by_lane_[lane] += settings_.classes[class_id].threads;
    if (lane == kHeavy)
      state.next_dispatch_at =
          std::max(state.next_dispatch_at, now - kMaxPacingCredit) + DispatchInterval(lane, r.work);
    decisions.emplace_back(Dispatch{id});
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
    Request& r = requests_.at(*stuck);  // no longer counted, so that others continue
    RemoveFromDispatched(*stuck, r);
    state.blocked = false;
  }
}

void AdmissionQueue::RemoveFromQueue(Request& r) {
  const Lane lane = LaneOf(r.class_id);
  TenantQueue& tenant = tenants_[r.tenant];
  tenant.class_queues[r.class_id].Remove(r.place);
  tenant.waiting_work[lane] -= r.work;
  --tenant.waiting_count[lane];
  --waiting_count_;
}

void AdmissionQueue::RemoveFromDispatched(RequestId id, Request& r) {
  LaneState& state = lanes_[LaneOf(r.class_id)];
  if (std::erase(state.dispatched, id) > 0) state.dispatched_work -= r.work;
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
    lane.pacer.Started(r.work);
    lane.start_rate.Add(1);
    lane.accuracy.Learn(r.raw_wait, now - r.submitted_at);
  }
  ++r.running_attempts;
  running_.Begin({id, attempt, r.tenant, settings_.classes[r.class_id].threads,
                  settings_.classes[r.class_id].light, r.work, r.charged},
                 now);
  r.charged = Work::zero();
  next_step_ = std::min(next_step_, now);
}

void AdmissionQueue::OnAttemptEnded(RequestId id, int attempt, Work reported_work, bool executed, Time now) {
  const auto ended = running_.End(id, attempt, reported_work, executed, now);
  if (!ended) return;
  next_step_ = std::min(next_step_, now);
  const auto it = requests_.find(id);
  if (it == requests_.end()) tenants_[ended->tenant].threads -= ended->threads;
  if (it != requests_.end()) --it->second.running_attempts;
  if (it == requests_.end() || reported_work <= Work::zero()) return;
  const Request& r = it->second;
  const double off = std::log(Seconds(reported_work) / std::max(1e-6, Seconds(r.work)));
  double& mean = estimate_bias_[r.class_id];
  mean = std::clamp(mean + kEstimateBiasWeight * std::clamp(off, -kMaxEstimateError, kMaxEstimateError), -2.0,
                    2.0);
}

void AdmissionQueue::OnRequestCompleted(RequestId id, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  if (!r.dispatched) RemoveFromQueue(r);
  if (r.dispatched && !r.started) RemoveFromDispatched(id, r);
  if (r.dispatched)
    tenants_[r.tenant].threads += (r.running_attempts - 1) * settings_.classes[r.class_id].threads;
  if (r.dispatched) threads_by_lane_[LaneOf(r.class_id)] -= settings_.classes[r.class_id].threads;
  if (r.charged > Work::zero()) ledger_.Charge(r.tenant, -r.charged);  // dispatched, never started
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
  const Span window = now - last_update_;
  last_update_ = now;
  running_.ChargeOverruns(now);
  const double cores = AvailableCores();
  for (LaneState& lane : lanes_) {
    lane.pacer.Close(window, lane.had_waiting, fleet_cores_ > 0 ? cores : 0);
    lane.start_rate.Close(Seconds(window), true);
    lane.had_waiting = true;  // until DispatchLane finds that none waits
    lane.forecast_stale = true;
  }
  for (TenantQueue& tenant : tenants_) {
    for (RateEstimator& rate : tenant.arrival_rates) rate.Close(Seconds(window), true);
  }
  for (TenantId t = 0; t < tenants_.size(); ++t) ledger_.SetCompeting(t, IsCompeting(t));
  const double moved = std::max(0.0, ledger_.virtual_time() - last_virtual_time_) / Seconds(window);
  last_virtual_time_ = ledger_.virtual_time();
  virtual_time_rate_ += (1 - std::exp(-Seconds(window) / kVirtualTimeRateWindowSeconds)) *
                        (std::min(moved, 20.0) - virtual_time_rate_);
}

void AdmissionQueue::ReviewDueRequests(Time now, std::vector<Decision>& decisions) {
  std::size_t left = kMaxReviewsPerStep;
  for (; !review_backlog_.empty() && left > 0; --left) {
    const RequestId id = review_backlog_.back();  // the last are the most likely to be late
    review_backlog_.pop_back();
    if (const auto it = requests_.find(id); it != requests_.end())
      ReviewRequest(id, it->second, now, decisions, false);
  }
  for (RequestId id = 0; left > 0 && review_timers_.PopDue(now, id); --left) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.dispatched) continue;
    if (it->second.next_review > now + TimerWheel::kSlot)
      review_timers_.Add(it->second.next_review, id);  // beyond the wheel's span, or rescheduled since
    else
      ReviewRequest(id, it->second, now, decisions, true);
  }
}

void AdmissionQueue::ReviewRequest(RequestId id, Request& r, Time now, std::vector<Decision>& decisions,
                                   bool reschedule) {
  if (r.dispatched) return;
  const QueuedRequest request{id, r.tenant, r.class_id, r.work, r.latest_start, r.wants_updates};
  const TenantBudget& budget = settings_.tenants[r.tenant];
  const bool no_budget = budget.cores <= 0;
  const bool barred_class =
      std::count(budget.barred_classes.begin(), budget.barred_classes.end(), r.class_id) > 0;
  const WaitEstimate estimate = CorrectedEstimate(r, now);
  const bool late = now + TimerWheel::kSlot >= r.latest_start ||
                    now + lanes_[LaneOf(r.class_id)].accuracy.LowerBound(estimate.wait) > r.latest_start;
  if (no_budget || barred_class || late) {
    const RejectReason reason = no_budget      ? RejectReason::kNoBudget
                                : barred_class ? RejectReason::kClassBarred
                                               : RejectReason::kTooLate;
    RemoveFromQueue(r);
    Request resubmitted = r;  // as if submitted again, behind all of its class
    resubmitted.place = tenants_[r.tenant].class_queues[r.class_id].end();
    resubmitted.submitted_at = now;
    const Span slack = r.latest_start - r.submitted_at;
    const Span retry_after = reason == RejectReason::kTooLate
                                 ? CorrectedEstimate(resubmitted, now).upper_bound - slack
                                 : settings_.max_retry_after;
    decisions.emplace_back(MakeReject(request, reason, retry_after));
    requests_.erase(id);
    return;
  }
  const Time start = now + estimate.wait;
  const Span off = start > r.announced_start ? start - r.announced_start : r.announced_start - start;
  if (off > std::max(kMinEstimateChange, FromSeconds(kMinEstimateChangeRatio * Seconds(estimate.wait)))) {
    r.announced_start = start;
    if (r.wants_updates) decisions.emplace_back(EstimateUpdate{id, estimate});
  }
  if (reschedule) ScheduleReview(id, r, now, estimate.wait);
}

// A request that wants updates is reviewed more often as its start comes near. Any other is reviewed after
// its expected start, or when half of its slack is gone: it can't be late earlier. Changes of the fleet or
// the budgets put all requests into the backlog instead.
void AdmissionQueue::ScheduleReview(RequestId id, Request& r, Time now, Span wait) {
  const Span slack = r.latest_start - now - wait;
  const Span until = r.wants_updates ? wait / 3 : std::max(wait + wait / 4, slack / 2);
  r.next_review = std::min(now + std::max(kMinReviewInterval, until), std::max(now, r.latest_start));
  review_timers_.Add(r.next_review, id);
}

AdmissionQueue::State AdmissionQueue::Describe(Time now) {
  State state;
  state.fleet_cores = fleet_cores_;
  state.scale = budget_scale_;
  state.waiting = waiting_count_;
  state.running = running_.size();
  state.overrun_threads = running_.overrun_threads();
  for (const Lane lane : {kHeavy, kLight}) {
    state.pace[lane] = lanes_[lane].pacer.Now(AvailableCores());
    state.estimate_error[lane] = lanes_[lane].accuracy.mean_error();
    state.dispatched += lanes_[lane].dispatched.size();
  }
  for (TenantId t = 0; t < tenants_.size(); ++t) {
    const TenantQueue& tenant = tenants_[t];
    const FairShareLedger::Account& account = ledger_.at(t);
    TenantState summary;
    summary.name = settings_.tenants[t].name;
    summary.cores = account.cores;
    summary.charged_seconds = Seconds(account.charged);
    summary.start_tag = account.start_tag;
    summary.threads = account.threads;
    summary.waiting = tenant.size();
    summary.waiting_work = tenant.waiting_work[kHeavy] + tenant.waiting_work[kLight];
    for (ClassId k = 0; k < tenant.class_queues.size() && account.cores > 0; ++k) {
      summary.longest_wait = std::max(summary.longest_wait, EstimateForNewcomer(t, k, now).wait);
    }
    summary.submitted = tenant.submitted;
    summary.dispatched = tenant.dispatched;
    summary.rejected = tenant.rejected;
    state.tenants.push_back(std::move(summary));
  }
  return state;
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
