// The waiting line: takes requests, tells how long they will wait, hands them over, refuses what is too late.
//
// Order. Within a team and a lane (light or heavy classes) requests leave by key: the time they were taken
// less a head start that grows with the logarithm of their class's worth. All age alike, so the order of two
// that wait never changes (Jackson 1960; Kleinrock's time-dependent priorities with equal slopes), and what
// comes later than the greatest head start goes behind. Among teams the least tag goes first (ledger.h).
//
// Bounds. A request is handed over or refused by its latest start: when its client gives up less the time it
// should run. See docs/waiting.md.
//
// Used by one thread. Every request taken leaves by exactly one of: Sent (first attempt), Refuse, Done.
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

  // New settings, with requests waiting and running: teams keep their numbers, one that is gone has no
  // budget (what waits of it is refused at the next Step), classes keep theirs while requests of them
  // are known.
  void Configure(Settings settings, Time now);
  // Cores of the engines that may be sent to, all proxies' taken together.
  void SetFleetCores(double cores, Time now);

  // Takes a request, or refuses it: then it is not known afterwards. The ids of open requests are unique.
  struct SubmitResult {
    std::optional<Reject> rejected;
    WaitEstimate estimate;
    Time dispatch_deadline{};  // it leaves the line by then, come what may
  };
  SubmitResult Submit(const QueuedRequest& request, Time now);

  // What happened to a request that was handed over. Unknown ids are ignored.
  void OnAttemptStarted(RequestId id, int attempt, int priority,
                        Time now);  // priority: 0 to 3, as the engine is told
  void OnAttemptEnded(RequestId id, int attempt, Work reported_work, bool executed, Time now);
  // It has its final answer, or its client has gone: it waits no more. Its attempts still end by Ended.
  void OnRequestCompleted(RequestId id, Time now);

  // Decides; appends to `out`. Called after any of the above and at Due().
  void Step(Time now, std::vector<Decision>& decisions);
  Time NextStepTime() const { return next_step_; }

  std::optional<WaitEstimate> EstimateWait(RequestId id, Time now);
  // When one like it that is turned away now had better come back: when a newcomer would most likely start
  // at once, were no others to come.
  Span RetryAfter(TenantId tenant, ClassId class_id, Time now);

  struct TenantState {
    std::string name;
    double cores = 0, charged_seconds = 0, start_tag = 0;  // this proxy's part; core-seconds; seconds
    int threads = 0;
    std::size_t waiting = 0;
    Work waiting_work{};  // that waits
    Span longest_wait{};  // estimate for a newcomer of its last class
    std::uint64_t submitted = 0, dispatched = 0, rejected = 0;
  };
  struct State {
    std::vector<TenantState> tenants;
    double fleet_cores = 0, scale = 1;
    std::array<double, 2> pace{};            // core-seconds a second, heavy and light
    std::array<double, 2> estimate_error{};  // mean error of estimates, of the logarithm
    std::size_t waiting = 0, dispatched = 0, running = 0;
    int overrun_threads = 0;
  };
  State Describe(Time now);
  std::size_t waiting() const { return waiting_count_; }
  std::size_t open_requests() const { return requests_.size(); }
  std::size_t memory_bytes() const;  // held for what waits

 private:
  enum Lane : std::size_t { kHeavy = 0, kLight = 1, kLanes = 2 };

  struct Request {
    TenantId tenant = 0;
    ClassId class_id = 0;
    bool dispatched = false, started = false, wants_updates = false;
    std::int16_t running_attempts = 0;  // attempts that run
    std::uint8_t overtaken_by = 0;      // by how many that were handed over later
    WorkIndex::Place place = 0;
    Work work{}, charged{};
    Time submitted_at{}, latest_start{};
    Span raw_wait{};         // the estimate when it was taken, before its correction
    Time announced_start{};  // the start told last
    Time next_review{};      // when it is looked at next
  };
  struct TenantQueue {
    std::vector<WorkIndex> class_queues;       // by class
    std::vector<RateEstimator> arrival_rates;  // core-seconds a second, by class
    std::array<Work, kLanes> waiting_work{};
    std::array<std::size_t, kLanes> waiting_count{};
    int threads = 0;  // held by requests handed over, and by attempts that outlive theirs
    std::uint64_t submitted = 0, dispatched = 0, rejected = 0;
    std::size_t size() const { return waiting_count[0] + waiting_count[1]; }
  };
  struct LaneState {
    DispatchPacer pacer;
    EstimateAccuracy accuracy;
    RateEstimator start_rate{2.0};
    std::vector<RequestId> dispatched;  // not sent yet, oldest first
    Work dispatched_work{};
    Time next_dispatch_at{};  // of a paced lane: nothing leaves before
    Time blocked_since{};     // nothing is handed over until one that many have passed is sent
    bool blocked = false, had_waiting = false;
    WaitForecast forecast;
    Time forecast_at{};
    std::size_t forecast_waiting = 0;  // so many waited
    bool forecast_stale = true;
  };

  Lane LaneOf(ClassId class_id) const { return settings_.classes[class_id].light ? kLight : kHeavy; }
  Span AgeingCredit(ClassId class_id) const { return ageing_credits_[class_id]; }
  Work ExpectedWork(const QueuedRequest& request) const;
  Span RunTime(const Request& r) const;
  WaitEstimate EstimateForNewcomer(TenantId tenant, ClassId class_id, Time now);
  Span BoundedRetryAfter(Span retry_after) const;
  Reject MakeReject(const QueuedRequest& request, RejectReason reason, Span retry_after);
  void ApplyBudgets();  // of this proxy's part, scaled to the fleet

  // Estimates.
  Span RawWait(const Request& r, Time now);
  Work WorkAhead(const Request& r) const;
  double EffectiveTag(TenantId tenant, Lane lane) const;
  void RefreshForecast(Lane lane, Time now);
  WaitEstimate CorrectedEstimate(const Request& r, Span raw_wait) const;
  WaitEstimate CorrectedEstimate(const Request& r, Time now) { return CorrectedEstimate(r, RawWait(r, now)); }
  double AvailableCores() const;

  // Handing over.
  void DispatchLane(Lane lane, Time now, std::vector<Decision>& decisions);
  std::optional<TenantId> NextTenant(Lane lane) const;
  ClassId NextClass(const TenantQueue& tenant, Lane lane) const;
  bool IsCompeting(TenantId tenant) const;
  bool HasThreads(TenantId tenant, ClassId class_id) const;
  std::size_t DispatchWindow(Lane lane) const;
  bool HasCapacity(Lane lane, Time now) const;
  Span DispatchInterval(Lane lane, Work work) const;
  void UpdateBlockedState(Lane lane, Time now);
  void RemoveFromQueue(Request& r);
  void RemoveFromDispatched(RequestId id, Request& r);

  void RunPeriodicUpdate(Time now);
  void ReviewDueRequests(Time now, std::vector<Decision>& decisions);
  void ReviewRequest(RequestId id, Request& r, Time now, std::vector<Decision>& decisions, bool plan);
  void ScheduleReview(RequestId id, Request& r, Time now, Span wait);

  Settings settings_;
  std::vector<Span> ageing_credits_;  // by class
  FairShareLedger ledger_;
  RunningAttempts running_;
  std::vector<TenantQueue> tenants_;
  std::array<LaneState, kLanes> lanes_;
  std::unordered_map<RequestId, Request> requests_;
  TimerWheel review_timers_;
  std::deque<RequestId>
      review_backlog_;  // to be looked at as soon as may be: the fleet or the budgets have changed
  std::vector<std::string> pending_log_;
  double fleet_cores_ = 0, budget_scale_ = 1;
  double virtual_time_rate_ = 0, last_virtual_time_ = 0;  // how fast the line's tag moves, and where it was
  std::vector<int> last_priorities_;                      // of first attempts lately, by class
  std::vector<double> estimate_bias_;                     // log of told work over its estimate, by class
  std::size_t waiting_count_ = 0;
  std::array<int, kLanes> threads_by_lane_{};  // of requests handed over and without a final answer
  Time last_update_{}, next_step_{};
  bool started_ = false;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_ADMISSION_QUEUE_H_
