// Queues requests until the decision module has capacity for them: admits or rejects them, estimates their
// waits, and dispatches them by tenant budget and aged priority.
//
// Order: Within a tenant and a lane (light or heavy classes), requests are dispatched in the order of their
// submission time minus an ageing credit, which grows with the logarithm of the priority weight of their
// class. All requests age at the same rate, so the order of two waiting requests never changes (Jackson 1960;
// Kleinrock's time-dependent priorities with equal slopes), and a request is overtaken only by requests that
// are submitted at most the greatest ageing credit after it. Among tenants, the one with the least start tag
// is served first (fair_share_ledger.h).
//
// Bounds: A request is dispatched or rejected by its latest start: its deadline minus its expected run time,
// or its submission time plus the max_wait of its class if that is earlier. The latest start of an admitted
// request is raised to 100 ms after its submission, or to its deadline if that is earlier. See
// docs/admission_queue.md.
//
// Not thread-safe: must be used by a single thread. An admitted request waits until a Dispatch, a Reject or
// OnRequestCompleted, and stays open until a Reject or OnRequestCompleted.
#ifndef LEMONCROFT_ADMISSION_QUEUE_ADMISSION_QUEUE_H_
#define LEMONCROFT_ADMISSION_QUEUE_ADMISSION_QUEUE_H_

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission_queue/dispatch_pacer.h"
#include "admission_queue/estimate_accuracy.h"
#include "admission_queue/fair_share_ledger.h"
#include "admission_queue/running_attempts.h"
#include "admission_queue/timer_wheel.h"
#include "admission_queue/types.h"
#include "admission_queue/wait_forecast.h"
#include "admission_queue/work_index.h"

namespace lemoncroft::admission_queue {

class AdmissionQueue {
 public:
  explicit AdmissionQueue(Settings settings);

  // Replaces the settings; requests may be waiting and running. Tenants and classes must keep their indexes.
  // A tenant past the end of the new list loses its budget, and its waiting requests are rejected by later
  // calls of Step.
  void Configure(Settings settings, Time now);
  // Sets the total number of cores of all ready engines, the fleet.
  void SetFleetCores(double cores, Time now);

  // The outcome of Submit.
  struct SubmitResult {
    std::optional<Reject> rejected;
    WaitEstimate estimate;
    Time latest_start{};  // the request is dispatched or rejected by this time
  };
  // Queues a request or rejects it. After a rejection, the id of the request is unknown to the queue. The id
  // must not be in use by an open request; a request with such an id is rejected with kNoBudget, like one of
  // an unknown tenant or class, and the open request remains.
  SubmitResult Submit(const QueuedRequest& request, Time now);

  // Reports that an attempt of a dispatched request has started. `priority` is the value sent to the engine,
  // 0 to 3. This call and the following ones ignore unknown ids.
  void OnAttemptStarted(RequestId id, int attempt, int priority, Time now);
  // Reports that an attempt has ended. `reported_work` comes from the engine's response and is zero if
  // unknown. `may_have_run` is true if any part of the attempt may have run.
  void OnAttemptEnded(RequestId id, int attempt, Work reported_work, bool may_have_run, Time now);
  // Reports that a request has received its final response or that its client has cancelled it. The ends of
  // attempts that are still running are reported afterwards.
  void OnRequestCompleted(RequestId id, Time now);

  // Makes the decisions that are due and appends them to `decisions`. Must be called after any call above and
  // at NextStepTime().
  void Step(Time now, std::vector<Decision>& decisions);
  Time NextStepTime() const { return next_step_; }

  // Returns the current estimate of a request, or nothing once its first attempt has started.
  std::optional<WaitEstimate> EstimateWait(RequestId id, Time now);
  // Returns the delay after which a rejected request should retry: the upper bound of the estimated wait of a
  // new request of its tenant and class, but at least 50 ms and at most max_retry_after, if that is set.
  // Returns max_retry_after for an unknown tenant or class.
  Duration RetryAfter(TenantId tenant, ClassId class_id, Time now);

  struct TenantState {
    std::string name;
    double cores = 0;            // this proxy's share of the budget
    double charged_seconds = 0;  // core-seconds, in total
    double start_tag = 0;        // seconds
    int running_threads = 0;
    std::size_t waiting = 0;
    Work waiting_work{};
    Duration longest_wait{};  // greatest estimate for a new request of any class
    std::uint64_t submitted = 0, dispatched = 0, rejected = 0;  // in total
  };
  struct State {
    std::vector<TenantState> tenants;
    double fleet_cores = 0, scale = 1;       // scale: factor applied to all budgets, at most 1
    std::array<double, 2> dispatch_rate{};   // core-seconds per second, heavy and light
    std::array<double, 2> estimate_error{};  // mean error of the logarithm of the wait, heavy and light
    std::size_t waiting = 0, dispatched_not_started = 0, running = 0;
    int overrun_threads = 0;
  };
  // Returns a summary for the state file.
  State Describe(Time now);
  std::size_t waiting() const { return waiting_count_; }
  std::size_t open_requests() const { return requests_.size(); }
  std::size_t memory_bytes() const;  // of the queued requests, approximate

 private:
  enum Lane : std::size_t { kHeavy = 0, kLight = 1, kLanes = 2 };

  struct Request {
    TenantId tenant = 0;
    ClassId class_id = 0;
    bool dispatched = false, started = false, wants_updates = false;
    std::int16_t running_attempts = 0;
    int threads = 0;                // reserved since its dispatch, whatever the settings say later
    std::uint8_t overtaken_by = 0;  // number of requests that were dispatched later but started earlier
    WorkIndex::Place place = 0;
    Work work{}, charged{};
    Time submitted_at{}, dispatched_at{}, latest_start{};
    Duration raw_wait{};    // the estimate at submission, before correction
    Time reported_start{};  // according to the last estimate that was reported
    Time next_review{};
  };
  struct TenantQueue {
    std::vector<WorkIndex> class_queues;       // by class
    std::vector<RateEstimator> arrival_rates;  // core-seconds per second, by class
    std::array<Work, kLanes> waiting_work{};
    std::array<std::size_t, kLanes> waiting_count{};
    int reserved_threads = 0;  // by dispatched requests and by attempts that outlive their request
    std::uint64_t submitted = 0, dispatched = 0, rejected = 0;
    std::size_t size() const { return waiting_count[0] + waiting_count[1]; }
  };
  struct LaneState {
    DispatchRateMeter rate_meter;
    EstimateAccuracy accuracy;
    RateEstimator start_rate{2.0};
    std::vector<RequestId> dispatched;  // dispatched but not started, oldest first
    Work dispatched_work{};
    Time next_dispatch_at{};  // earliest next dispatch while the lane is paced
    // A blocked lane dispatches nothing until a request that many others have overtaken starts.
    bool blocked = false;
    Time blocked_since{};
    bool had_waiting = false;  // requests have waited throughout the current update interval
    WaitForecast forecast;
    Time forecast_at{};
    std::size_t forecast_waiting = 0;  // number of requests that waited at `forecast_at`
    bool forecast_stale = true;
  };

  Lane LaneOf(ClassId class_id) const { return settings_.classes[class_id].light ? kLight : kHeavy; }
  Duration AgeingCredit(ClassId class_id) const { return ageing_credits_[class_id]; }
  Work ExpectedWork(const QueuedRequest& request) const;
  Duration RunTime(const Request& r) const;
  WaitEstimate EstimateForNewRequest(TenantId tenant, ClassId class_id, Time now);
  Duration BoundedRetryAfter(Duration retry_after) const;
  Request NewRequest(const QueuedRequest& request, Time now) const;
  RejectReason BarredReason(TenantId tenant, ClassId class_id) const;
  std::optional<Reject> RejectIfFullOrLate(const QueuedRequest& request, const Request& r,
                                           const WaitEstimate& estimate, Time now);
  void Enqueue(const QueuedRequest& request, Request r, const WaitEstimate& estimate, Time now);
  Reject MakeReject(const QueuedRequest& request, RejectReason reason, Duration retry_after);
  void ApplyBudgets();
  // Moves the requests of classes that have changed lanes to their new lanes.
  void AssignLanes();
  void AssignWaitingToLanes(TenantQueue& tenant) const;
  void AssignDispatchedToLanes();

  // Wait estimation (wait_estimation.cpp).
  Duration RawWait(const Request& r, Time now);
  bool CanStartAtOnce(const Request& r, Time now) const;
  double OvertakingWork(const Request& r, double wait, Time now) const;
  double PartialRequestWork(const Request& r, double target) const;
  double WaitWithTenantLimits(const Request& r, double wait, double target, double work_ahead,
                              Time now) const;
  Work WorkAhead(const Request& r) const;
  double EffectiveStartTag(TenantId tenant, Lane lane) const;
  void RefreshForecast(Lane lane, Time now);
  WaitEstimate CorrectedEstimate(const Request& r, Duration raw_wait) const;
  WaitEstimate CorrectedEstimate(const Request& r, Time now) { return CorrectedEstimate(r, RawWait(r, now)); }
  double AvailableCores() const;

  // Dispatch (dispatch.cpp).
  void DispatchLane(Lane lane, Time now, std::vector<Decision>& decisions);
  // Dispatches the first request of a tenant in a lane.
  Dispatch DispatchNext(TenantId tenant, Lane lane, Time now);
  std::optional<TenantId> NextTenant(Lane lane) const;
  ClassId NextClass(const TenantQueue& tenant, Lane lane) const;
  bool IsCompeting(TenantId tenant) const;
  bool HasThreads(TenantId tenant, ClassId class_id) const;
  std::size_t DispatchWindow(Lane lane) const;
  bool HasCapacity(Lane lane, Time now) const;
  Duration DispatchInterval(Lane lane, Work work) const;
  void UpdateBlockedState(Lane lane, Time now);
  void RemoveFromQueue(Request& r);
  void RemoveFromDispatched(RequestId id, Request& r);

  // Periodic work (reviews.cpp).
  void RunPeriodicUpdate(Time now);
  void ReviewDueRequests(Time now, std::vector<Decision>& decisions);
  void ReviewRequest(RequestId id, Request& r, Time now, std::vector<Decision>& decisions, bool reschedule);
  RejectReason ReviewResult(const Request& r, const WaitEstimate& estimate, Time now) const;
  Reject RejectWaiting(RequestId id, Request& r, RejectReason reason, Time now);
  void ScheduleReview(RequestId id, Request& r, Time now, Duration wait);

  Settings settings_;
  std::vector<Duration> ageing_credits_;  // by class
  FairShareLedger ledger_;
  RunningAttempts running_;
  std::vector<TenantQueue> tenants_;
  std::array<LaneState, kLanes> lanes_;
  std::unordered_map<RequestId, Request> requests_;
  TimerWheel review_timers_;
  std::deque<RequestId> review_backlog_;  // to be reviewed at once after a change of the fleet or the budgets
  std::vector<std::string> pending_log_;  // texts of the log events that the next Step appends
  double fleet_cores_ = 0, budget_scale_ = 1;
  double virtual_time_rate_ = 0;            // moving average, seconds per second
  double last_virtual_time_ = 0;            // at the last update
  std::vector<int> last_priorities_;        // priority of the latest first attempt, by class
  std::vector<double> work_estimate_bias_;  // logarithm of reported over estimated work, by class
  std::size_t waiting_count_ = 0;
  std::array<int, kLanes> threads_by_lane_{};  // reserved by dispatched requests that are not complete
  Time last_update_{}, next_step_{};
  bool started_ = false;  // Step has been called
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_ADMISSION_QUEUE_H_
