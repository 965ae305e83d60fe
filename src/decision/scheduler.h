// The scheduler behind lemoncroft::Gateway. It decides which request goes to which engine, when, and with
// which memory and priority; when an attempt is cancelled; and when a request is ended without a response
// from an engine.
//
// While an engine is under pressure (UnderPressure), the number of threads at it is limited
// (limits::ConcurrencyLimit).
// Requests beyond the limit stay pending here, ordered by priority weight. docs/design.md describes the
// design and its sources.
//
// A request passes through Handle(Request), Enqueue, DispatchPending, ChooseEngine, Dispatch and
// Handle(AttemptEnded). Then Finish or RejectOrFail ends it, or Enqueue makes it pending again for a retry.
//
// The scheduler reads no clock, does no I/O and is used by one thread. The same settings, seed and steps give
// the same actions: iteration is always in a defined order, and random numbers are drawn in that order.
// Events with unknown ids are ignored.
//
// The implementation is in scheduler.cpp (steps, settings, endpoint list), scheduler_requests.cpp (arrival,
// ordering keys, end of a request), scheduler_deadlines.cpp (latency objectives, deadlines, timers),
// scheduler_admission.cpp (which engines may take a request now), scheduler_selection.cpp (choice among these
// engines), scheduler_dispatch.cpp (sending of pending requests, retry rules), scheduler_attempts.cpp
// (runaway attempts, progress, outcomes) and scheduler_learning.cpp (estimates, load reports, outlier
// detection, concurrency limits).
#ifndef LEMONCROFT_DECISION_SCHEDULER_H_
#define LEMONCROFT_DECISION_SCHEDULER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "decision/constants.h"
#include "decision/engine_state.h"
#include "decision/estimates/class_estimates.h"
#include "decision/estimates/running_mix.h"
#include "decision/limits/capacity_credit.h"
#include "decision/limits/ordering_key_queues.h"
#include "decision/limits/retry_budget.h"
#include "decision/limits/token_bucket.h"
#include "decision/pending_requests.h"
#include "decision/reports/reported_load.h"
#include "decision/request_state.h"
#include "decision/request_timers.h"
#include "decision/subset/ranking_cache.h"
#include "decision/time_units.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft::decision {

class Scheduler {
 public:
  Scheduler(Settings settings, std::uint64_t seed);

  // See Gateway::Step.
  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions);
  // See Gateway::EjectedEngines.
  std::vector<EngineId> EjectedEngines(Nanos now) const;

 private:
  // ---- Events ----
  void Handle(const SettingsChanged& change);
  void Handle(const ProcessCount& count);
  void Handle(const RequestReleased& released);
  void Handle(const FleetSize& fleet_size);
  void Handle(const Shutdown&);
  void Handle(const EngineList& list);
  void Handle(const Request& request);
  void Handle(const AttemptEnded& end);
  void Handle(const StreamStarted& start);
  void Handle(const RequestCancelled& cancelled);
  void Handle(const DeadlineReached& reached);
  void Handle(const ProgressNotice& notice);
  void Handle(const ProbeEnded& probe);
  void Handle(const PeerMessage&) {}
  void Handle(const TimerFired&) {}

  // ---- Settings and endpoint list ----
  void ApplySettings(const std::vector<int>& former_class);
  void InheritEstimates(const std::vector<int>& former_class);
  void ApplyFleetSize();
  void ApplyEntry(const EngineEntry& entry);
  void ChooseSubset();
  double ConcurrencyLimitSeed(const EngineState& engine) const;
  // Returns the mean number of gateways that send to one engine.
  double GatewaysPerEngine() const;

  // ---- Time ----
  // Updates all quantities that decay or accrue over time, `seconds` after the last step.
  void AdvanceTime(double seconds);
  limits::FleetCapacity AdvanceEngines(double seconds);
  // Updates the mean work of the heaviest class and the best weight rate of the heavy classes.
  void UpdateHeaviestClass();

  // ---- Requests ----
  bool IsOverQuota(const Request& request);
  // Makes the request pending, or queues it behind earlier requests with its ordering key.
  void Enqueue(RequestState& request);
  void AddPending(RequestState& request);
  void RemovePending(const RequestState& request);
  double CurrentPriorityWeight(const RequestState& request) const;
  void RebuildOrderingKeyQueues(const std::vector<int>& former_class);
  // Makes the first request with the ordering key pending, unless the key is paused.
  void AdvanceOrderingKey(std::uint64_t key);
  void RemoveFromOrderingKey(const RequestState& request);
  // Ends the request without a response from an engine. It is rejected if no attempt can have had an effect
  // or repeats do no harm; otherwise it fails. An attempt in flight is cancelled if the settings permit it.
  void RejectOrFail(RequestState& request);
  // Removes the request's state, or retains it until the outcome of an attempt in flight.
  void Finish(RequestState& request);
  void RejectOrFailAllPending();
  // Returns the request if its attempt number `attempt` is in flight; otherwise null.
  RequestState* FindAttempt(RequestId id, int attempt);

  // ---- Objectives and deadlines ----
  void RunTimers();
  void ScheduleCheck(RequestState& request, Nanos due);
  // Returns the latest time at which the request can be sent and still meet its latency objective or, once it
  // is late, its deadline.
  Nanos LatestStart(const RequestState& request) const;
  void OnLatestStartPassed(RequestState& request);
  // Returns true if the request may be sent as an exploratory request, although the recent latency of its
  // class rules out its objective. At most one request of a class may within 1/kExplorationsPerObjective of
  // its latency objective, and none within that time after an attempt of the class.
  bool TakeExploration(const RequestState& request);

  // ---- Admission: the conditions under which an engine may take a request now ----
  bool CanTake(const RequestState& request, EngineState& engine);
  bool Available(const EngineState& engine) const;
  bool MayRunOn(const RequestState& request, const EngineState& engine) const;
  bool RunsLoadOfTableGroup(const RequestState& request, const EngineState& engine) const;
  static bool FailedOn(const RequestState& request, const EngineState& engine);
  bool OtherEngineAvailable(const RequestState& request) const;
  bool BypassesCredit(const RequestState& request) const;
  bool CreditAllows(const RequestState& request, const EngineState& engine) const;
  bool MemoryAllows(const RequestState& request, const EngineState& engine) const;
  // Returns true if the concurrency limit applies to the engine for this request.
  bool UnderPressure(const RequestState& request, const EngineState& engine) const;
  bool ConcurrencyAllows(const RequestState& request, const EngineState& engine) const;
  bool InSlowStart(const EngineState& engine) const;
  bool SlowStartAllows(const RequestState& request, EngineState& engine);
  double SlowStartShare(const EngineState& engine) const;
  double SlowStartRate(const EngineState& engine) const;
  // Returns the request's charge to a slow-start budget that accrues at `rate`.
  double SlowStartCharge(const RequestState& request, double rate) const;

  // ---- Choice among the engines that can take a request ----
  EngineState* ChooseEngine(const RequestState& request);
  std::vector<EngineState*> Candidates(const RequestState& request);
  void KeepEnginesForTables(const RequestState& request, std::vector<EngineState*>& candidates);
  bool KeepEnginesWithKnownLoad(std::vector<EngineState*>& candidates);
  void SendProbe(const std::vector<EngineState*>& engines, Nanos& next_at, Nanos interval);
  EngineState* ShortestDelay(const RequestState& request, std::vector<EngineState*>& candidates);
  bool PreferredEngineHasRoom(const EngineState& engine, double work) const;
  // Returns the expected time to a response, in seconds, with penalties for engines that may fail.
  double ExpectedDelay(const RequestState& request, const EngineState& engine) const;
  struct InFlightLoad {
    double remaining_work = 0;  // thread seconds
    int overdue = 0;            // number of attempts far past their expected duration
  };
  InFlightLoad LoadInFlight(const EngineState& engine) const;

  // ---- Dispatch ----
  void DispatchPending();
  // Sends pending requests of one group and appends them to `sent`.
  void DispatchGroup(const PendingRequests::Group& group, std::vector<RequestId>& sent);
  bool NoEngineServesAndOneIsManuallyEjected() const;
  bool RetryBudgetAllows(const RequestState& request);
  // Returns the latest time at which a retry may be sent without risk of a double effect.
  Nanos RetryDeadline(const RequestState& request) const;
  bool MayRetryNow(const RequestState& request) const { return now_ <= RetryDeadline(request); }
  void Dispatch(RequestState& request, EngineState& engine);
  void GrantResources(const RequestState& request, const EngineState& engine, double memory_mb);
  int EnginePriority(const RequestState& request) const;

  // ---- Attempts in flight ----
  void CheckRunaway(RequestState& request);
  // Returns the time after its send at which an attempt counts as a runaway; 0 = never.
  Nanos RunawayTimeout(const RequestState& request) const;
  Nanos KeyedRunawayTimeout(const RequestState& request, double factor) const;
  double RunawayFactor(const RequestState& request) const;
  // Returns the latest time for which the cancel of an attempt with an idempotency key is scheduled, so that
  // its retry is still recognised as a repeat. MayCancelAndRetry accepts a check that runs somewhat later.
  Nanos LastSafeCancel(const RequestState& request) const;
  bool MayCancelAndRetry(const RequestState& request) const;
  // Returns true if the attempt was cancelled.
  bool CancelAndRetry(RequestState& request);
  void CancelAttempt(RequestState& request);
  void RetryOrEnd(RequestState& request);

  // ---- Learning and outlier detection ----
  void RecordOutcome(RequestState& request, EngineState& engine, const AttemptEnded& end);
  void RecordUsage(const RequestState& request);
  void RecordHealth(RequestState& request, EngineState& engine, const AttemptEnded& end);
  enum class ReportExpectation { kOptional, kDue };
  void RecordReport(EngineState& engine, const LoadReport& report, ReportExpectation expectation);
  void RecordSuccess(const RequestState& request, EngineState& engine, const AttemptEnded& end);
  void RecordHung(EngineState& engine, bool hung);
  void RecordErrorsOnOtherEngines(const RequestState& request);
  // Records a failed attempt, and ejects the engine if too many of its attempts have failed.
  void RecordFailure(EngineState& engine, double weight);
  void AdjustConcurrencyLimits();

  // ---- Properties of classes, requests and engines ----
  const ClassSettings& Class(const RequestState& request) const {
    return settings_.classes[request.spec.class_id];
  }
  const estimates::ClassEstimates& Estimates(const RequestState& request) const {
    return estimates_[request.spec.class_id];
  }
  // Returns true if the class needs little work relative to the heaviest class. Light and heavy requests are
  // counted separately, so that a few long requests don't block many short ones.
  bool IsLight(std::size_t class_id) const;
  bool IsLight(const RequestState& request) const { return IsLight(request.spec.class_id); }
  // Returns the priority weight that the class earns per thread second.
  double WeightRate(std::size_t class_id) const;
  // Returns the expected duration of an attempt at the recent slowdown of its class.
  double ExpectedSeconds(const RequestState& request) const {
    return Estimates(request).ExpectedTime(request.work) / request.threads;
  }
  double MemoryNeed(const RequestState& request) const {
    return Estimates(request).ExpectedMemoryMb(request.spec.estimated_memory_mb);
  }
  // Returns the speed of the engine's responses relative to the fleet's, at most 1.
  double RelativeSpeed(const EngineState& engine) const;
  // Estimates the requests of other gateways at the engine from its last load report.
  double OtherGatewaysRequests(const EngineState& engine) const {
    return engine.reported_load.OtherRequestsNow(static_cast<double>(engine.in_flight.size()),
                                                 max_gateways_per_engine_);
  }
  // Returns the threads in use at the engine, including those of other gateways if its load report is fresh.
  double ThreadsInUse(const EngineState& engine) const {
    const double others =
        engine.reported_load.IsFresh(now_) ? OtherGatewaysRequests(engine) * running_mix_.threads() : 0;
    return engine.sent_load.threads() + others;
  }

  double RandomUniform() { return static_cast<double>(random_engine_() >> 11) * 0x1.0p-53; }
  std::size_t RandomIndex(std::size_t size);

  // Configuration.
  Settings settings_;
  reports::ReportLayout report_layout_;
  std::optional<FleetSize> fleet_size_;  // of gateways; none: as in the settings
  int process_count_ = 1;                // divisor of budgets
  bool loads_block_readers_ = false;     // true if a class waits for loads of its table group

  // The current step.
  Nanos now_ = -1;
  Nanos first_step_at_ = -1;
  std::vector<Action>* actions_ = nullptr;
  std::mt19937_64 random_engine_;

  // Engines.
  std::map<EngineId, EngineState> engines_;
  subset::RankingCache<EngineState> rankings_;
  double subset_share_ = 1;  // share of the serving engines that are in the subset
  // Most gateways that have the same engine in their subsets. Holds for subsets by membership rank; an
  // estimate for subsets by hash.
  int max_gateways_per_engine_ = 1;
  bool any_engine_reported_ = false;
  double mean_other_requests_ = 0;  // mean number of requests of other gateways at an engine
  double fleet_latency_ratio_ = 1;  // recent mean over all engines
  double fleet_hung_share_ = 0;     // of the light attempts at all engines

  // Requests.
  std::unordered_map<RequestId, RequestState> requests_;  // iterated only into ordered sets
  PendingRequests pending_;
  limits::OrderingKeyQueues ordering_key_queues_;
  RequestTimers timers_;
  std::vector<Nanos> last_attempt_at_;  // of the last attempt or TakeExploration, by class
  limits::RetryBudget retries_;
  std::vector<limits::TokenBucket> quotas_;  // by tenant

  // Estimates and load.
  std::vector<estimates::ClassEstimates> estimates_;  // by class
  estimates::RunningMix running_mix_;
  limits::CapacityCredit credit_;
  double heaviest_class_work_ = 0;     // mean work, in thread seconds
  double best_heavy_weight_rate_ = 0;  // among the classes that aren't light
  double recent_work_ = 0;             // work sent recently, in thread seconds
  // Share of the recent work that a preferred engine may get, per core.
  double preferred_work_share_per_core_ = 0;

  // Over all engines, in the current interval of ConcurrencyLimit::kPeriod.
  limits::UnmetDemand unmet_demand_;
  Nanos unmet_demand_reset_at_ = 0;

  Nanos next_probe_at_ = -kSecond;
  Nanos next_silent_probe_at_ = -kSecond;
  Nanos next_wake_at_ = -1;
};

// Inline because every decision calls them for many engines.

inline bool Scheduler::Available(const EngineState& engine) const {
  return engine.Serving() && !engine.breaker.IsOpen(now_);
}

inline bool Scheduler::InSlowStart(const EngineState& engine) const {
  const Nanos started_at = engine.entry.started_at;
  if (settings_.overload_window <= 0 || settings_.overload_factor <= 0 || started_at <= 0) return false;
  return now_ - started_at <= settings_.slow_start_duration + settings_.overload_window;
}

inline double Scheduler::SlowStartRate(const EngineState& engine) const {
  const double capacity_share = limits::SlowStartCapacityShare(settings_, now_ - engine.entry.started_at);
  return kSlowStartSafetyFactor * settings_.overload_factor * capacity_share * engine.cores;
}

inline bool Scheduler::IsLight(std::size_t class_id) const {
  return estimates_[class_id].mean_work() <= kLightWorkShare * heaviest_class_work_;
}

inline double Scheduler::WeightRate(std::size_t class_id) const {
  return settings_.classes[class_id].priority_weight / std::max(1e-6, estimates_[class_id].mean_work());
}

inline double Scheduler::RelativeSpeed(const EngineState& engine) const {
  if (engine.responses == 0) return 1;
  return std::clamp(fleet_latency_ratio_ / std::max(engine.latency_ratio, 1e-3), kMinRelativeSpeed, 1.0);
}

inline std::size_t Scheduler::RandomIndex(std::size_t size) {
  return std::min(size - 1, static_cast<std::size_t>(RandomUniform() * size));
}

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_SCHEDULER_H_
