// The decision module. Its interface - settings, events, actions - is include/lemoncroft/gateway.h; what is
// kept of the design, what is added and when each addition acts is in docs/design.md.
// Reading order: tuned constants, state, then a request's life: taken, held, released, run, ended, answered.
#include "lemoncroft/gateway.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "decision/estimates/class_estimates.h"
#include "decision/limits/circuit_breaker.h"
#include "decision/limits/cold_budget.h"
#include "decision/limits/key_queues.h"
#include "decision/limits/placement.h"
#include "decision/limits/retry_budget.h"
#include "decision/limits/sent_load.h"
#include "decision/limits/token_bucket.h"
#include "decision/reports/reported_load.h"
#include "decision/subset/ranking_cache.h"
#include "decision/subset/subset.h"
#include "decision/subset/warm_tables.h"

namespace lemoncroft {
namespace {

using estimates::Blend;
using estimates::ClassEstimates;

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;

// ---- Tuned constants: unit, and why ----
// The multiprogramming level (design page; Schroeder et al., section 4.3).
constexpr double kSeedThreadsPerCore = 1.5;  // threads a core: the design's seed
constexpr double kLimitStepShare = 1.0 / 6;  // of the seed, at least a thread: small steps, no overshoot
constexpr double kChangeThreshold = 0.05;    // share: the design's loss threshold
constexpr Nanos kObservationPeriod = 2 * kSecond;  // with queries held; long enough for a mean
constexpr double kObservationPeriodJitter = 0.3;   // share: keeps gateways from stepping together on one dip
constexpr int kMaxPeriodResponses = 100;           // completions that end a period as well (paper, 4.3)
// The share of all gateways' level that is this one's, held in expectation: credit in thread seconds.
constexpr double kDemandTimeConstantSeconds = 8;  // seconds that own demand is averaged over
constexpr double kAssumedLoad = 0.85;  // of the fleet's cores: demand of all gateways before any is seen
constexpr double kSlowFleetLatencyRatio = 1.3;  // times the best latency, in the mean of recent answers
constexpr double kIdleThreadsPerCore =
    1;                                  // threads a core, the query's own counted: an engine seen to be idle
constexpr double kMaxCreditFactor = 2;  // times a mean heavy query's thread seconds, or seconds of the share
// Pressure: when the bound binds.
constexpr double kPressureLatencyRatio =
    2.5;  // times the best latency: well past noise, before thrash is deep
constexpr double kCrowdedThreadsPerCore =
    1.5;  // threads a core past which an engine takes no first heavy query
constexpr double kMaxHeavyMemoryShare = 0.85;  // of an engine's memory that heavy queries may take
constexpr double kUnestimatedGrantFactor =
    1.5;                                  // times the usual need: what an engine grants without an estimate
constexpr double kLightWorkShare = 0.25;  // of the heaviest class's mean work: counted apart
constexpr std::size_t kMinInformedEngines = 2;  // engines to choose from that a heavy query waits to know
constexpr Nanos kProbeInterval = 250 * kMs;  // one probe for each, with heavy queries held: more would herd
constexpr Nanos kProbeTimeout = 100 * kMs;   // for the result of one, before it is done without
constexpr Nanos kSilentProbeInterval =
    20 * kProbeInterval;  // likewise, of engines that have told nothing so far
// Learning: weight of the newest sample in a mean.
constexpr double kFastWeight = 0.1;   // an engine's latency: some ten answers
constexpr double kSlowWeight = 0.03;  // the mix of what runs: outlasts bursts
// Health.
constexpr double kErrorWeight = 0.15;            // of the newest outcome in the share that failed: two eject
constexpr double kBrokenConnectionWeight = 0.4;  // likewise for a lost connection, or one gone silent
constexpr double kLostResponseWeight =
    0.05;  // for an answer lost on the way, as happens at all engines alike
constexpr std::size_t kMaxEnginesInError =
    3;                                      // engines that find an error in a query: then it is the query's
constexpr Nanos kFullBackoff = 500 * kMs;   // an engine that said full rests: refusals are work for it
constexpr double kMaxEjectedShare = 0.5;    // share of the fleet that may be out for errors
constexpr double kMinRelativeSpeed = 0.08;  // least relative speed believed
constexpr double kHungWeight = 0.02;        // of the newest light attempt in the share that hang
constexpr double kHungShareNoise = 0.015;   // share above the fleet's that chance brings
constexpr double kHungCostFactor = 60;      // times the expected time: what a hung heavy attempt costs
// Cold engines.
constexpr double kUnreportedCostFactor = 2;      // a heavy query's weight in it where costs aren't told
constexpr double kSlowStartSafetyFactor = 0.75;  // of the allowed budget: slow cores, bad estimates
constexpr double kSlowStartDeviations =
    3;  // of chance arrivals from all gateways that the budget has room for
// Runaway attempts.
constexpr double kMinRunawayFactor = 2.5;  // times the expected duration, at the least
constexpr double kMaxRunawayFactor = 8;    // and at the most
constexpr double kRunawayFactorLight =
    4;  // for light classes, unless their times scatter more: little is lost
constexpr double kMinRunawayFactorKeyed =
    4;  // at the least for keyed ones: much is, and loads block each other
constexpr double kRunawayFactorProgress = 5;  // times the expected duration, as its notes project
constexpr double kRunawayDeviations = 2.5;    // deviations (of log work) that an honest attempt may stray
constexpr int kMaxRunawayCancels = 2;         // cancels of one request: then it is held to be heavy itself
constexpr double kHeavyProjectionShare =
    0.4;  // a second projection above this share of the first: heavy itself
// Choice of engine.
constexpr double kWarmWorkSaving = 0.5;       // of a query's work saved by a warm group (assumed)
constexpr std::size_t kPreferredEngines = 2;  // engines that keep a table group warm for all gateways
constexpr double kMinPreferredLoadFactor =
    1.25;                             // times the mean load, at the least, up to which a home is preferred
constexpr double kOverdueFactor = 2;  // times its expected time: an attempt hints at a sick engine
constexpr double kSubsetSlowStartShare = 0.8;  // of a cold engine's budget, to those whose subsets hold it
constexpr double kLoadEngineShare = 0.5;  // share of engines that take a table group's loads, not its readers
constexpr std::size_t kMinEnginesToSplit = 4;  // engines to split: two a side, since one leaves no choice
// Held queries.
constexpr int kMaxFailedPlacements = 4;       // held queries of a group tried in one decision
constexpr int kExplorationsPerObjective = 4;  // in the time of a class's aim, at the most
constexpr double kMinLateWeightShare = 0.15;  // late worth below this share isn't waited for
constexpr Nanos kTimerInterval = 20 * kMs;    // clock of the checks
constexpr Nanos kResponseMargin = 40 * kMs;   // before a try's deadline: two beats
// Tenants.
constexpr double kQuotaBurstSeconds = 2;  // seconds of quota that may come at once

double ToSeconds(Nanos t) { return static_cast<double>(t) / kSecond; }
Nanos FromSeconds(double s) { return static_cast<Nanos>(std::clamp(s, 0.0, 1e8) * kSecond); }

struct ObservationPeriod {
  double work = 0, latency = 0;  // sums over its answers
  int count = 0;
  bool full = false;
};

struct IncarnationState {  // about one life of an engine
  reports::ReportedLoad reported_load;
  double latency_ratio = 1;  // against the best of the class
  int responses = 0;
  double hung_share = 0;
  limits::CircuitBreaker breaker;
  double slow_start_credit = 0;     // thread seconds that may be sent while it is cold
  double slow_start_threshold = 1;  // of a query's charge that must be there
  Nanos slow_start_credited_at = 0;
  Nanos slow_start_threshold_drawn_at = 0;
  subset::WarmTables warm_tables;
  // The bound and its feedback.
  double concurrency_limit = 0;
  Nanos period_start = 0;
  Nanos period_length = kObservationPeriod;
  ObservationPeriod period;
  bool stepped_up = false;
  double last_throughput = 0;
  double last_latency = 0;
};

struct EngineState : IncarnationState {
  EngineEntry entry;
  bool listed = false;
  bool in_subset = true;  // in this gateway's subset
  double cores = 1;
  double memory = 0;  // MB; 0 = not told
  std::set<RequestId> in_flight;
  limits::SentLoad sent_load;
  std::size_t rank = 0;  // for the table group of the query being placed
};

enum class RequestPhase { kPending, kBehindKey, kInFlight, kDone };  // kInLine: waits for its key's turn

struct RequestState {
  Request spec;
  Nanos objective_at = 0;
  Nanos deadline = 0;
  double work = 0;  // expected, thread seconds
  double priority_weight = 1;
  bool late = false;
  bool exploratory = false;  // goes though the class's present pace rules its aim out
  RequestPhase phase = RequestPhase::kPending;
  Nanos next_check_at = 0;  // next check
  int attempts = 0;
  bool attempt_in_flight = false;  // attempt number sent-1 has no outcome yet
  bool attempt_cancelled = false;
  EngineId engine_id = 0;
  Nanos sent_at = 0;
  double threads = 1;
  limits::AttemptCharge charge;
  double reserved_credit = 0;       // thread seconds of credit taken for the attempt
  bool ordered = false;             // has a place in its key's line
  std::vector<EngineId> failed_on;  // engines that said error to it
  int runaway_cancels = 0;
  double projected_seconds = 0;  // duration at the pace last noted before a kill
  Nanos may_have_run_at = -1;    // when the first attempt that may have run was sent
  EngineEntry may_have_run_on;
};

}  // namespace

namespace decision {

class Scheduler {
 public:
  Scheduler(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_engine_(seed) {
    ApplySettings({});
  }

  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) {
    const bool first = now_ < 0;
    const double passed = first ? 0 : ToSeconds(std::max<Nanos>(0, now - now_));
    now_ = std::max(now_, now), first_step_at_ = first ? now : first_step_at_;
    actions_ = &actions;
    AdvanceCredit(passed);
    if (first && settings_.list_on_request) actions_->push_back(WatchList{true});
    for (const Event& event : events) std::visit([this](const auto& concrete) { On(concrete); }, event);
    RunChecks();
    CloseObservationPeriods();
    DispatchPending();
    if (!requests_.empty() && next_wake_at_ <= now_) {
      next_wake_at_ = now_ + kTimerInterval;
      actions_->push_back(WakeAt{next_wake_at_, 0});
    }
  }

  std::vector<EngineId> Avoided(Nanos now) const {
    std::vector<EngineId> out;
    for (const auto& [id, engine] : engines_)
      if (engine.listed && engine.breaker.IsOpen(now)) out.push_back(id);
    return out;
  }

 private:
  const ClassSettings& Class(const RequestState& request) const {
    return settings_.classes[request.spec.class_id];
  }
  const ClassEstimates& Estimates(const RequestState& request) const {
    return estimates_[request.spec.class_id];
  }
  double RandomUniform() { return static_cast<double>(random_engine_() >> 11) * 0x1.0p-53; }

  // ---- Settings ----

  void ApplySettings(const std::vector<int>& inherits_estimates_from) {
    ApplyFleetSize();
    promised_reports_ = reports::Promise::Of(settings_);
    tenants_.resize(settings_.tenants.size());
    last_attempt_at_.resize(std::max(last_attempt_at_.size(), settings_.classes.size()));
    loads_block_readers_ = false;
    const std::vector<ClassEstimates> before = std::exchange(estimates_, {});
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
      const ClassSettings& c = settings_.classes[i];
      loads_block_readers_ = loads_block_readers_ || c.blocked_by_loads;
      const std::size_t from = i < inherits_estimates_from.size() && inherits_estimates_from[i] >= 0
                                   ? static_cast<std::size_t>(inherits_estimates_from[i])
                                   : before.size();
      const ClassEstimates unknown(ToSeconds(c.latency_objective) / 3 * c.threads,
                                   settings_.reports_cost);  // an aim leaves some room
      estimates_.push_back(from < before.size() ? before[from] : unknown);
    }
  }

  // What has used up the attempts now allowed, and waits for another, has its answer.
  void On(const SettingsChanged& change) {
    if (!change.settings) return;
    settings_ = *change.settings;
    ApplySettings(change.inherits_estimates_from);
    RebuildKeyQueues(change.inherits_estimates_from);
    std::vector<RequestId> spent;
    for (const auto& [key, group] : pending_)
      for (const auto& [work, id] : group)
        if (requests_.at(id).attempts >= std::max(1, settings_.max_attempts)) spent.push_back(id);
    for (RequestId id : spent) GiveUp(requests_.at(id));
    for (const auto& [id, engine] : engines_)  // further attempts that may not have left yet
      for (RequestId run : engine.in_flight)
        if (RequestState& request = requests_.at(run); !RetryMayLeave(request)) CancelAttempt(request);
  }

  void On(const ProcessShare& share) { process_parts_ = std::max(1, share.parts); }

  void On(const FleetSize& fleet_size) {
    fleet_size_ = fleet_size;
    ApplyFleetSize();
    ChooseSubset();
  }

  void ApplyFleetSize() {
    if (fleet_size_) settings_.gateways = fleet_size_->gateways, settings_.self = fleet_size_->place;
    settings_.gateways = std::max(1, settings_.gateways);
  }

  void On(const Closing&) {
    std::set<RequestId> open;  // the map has no order of its own
    for (const auto& [id, request] : requests_)
      if (request.phase != RequestPhase::kDone) open.insert(id);
    for (RequestId id : open) GiveUp(requests_.at(id));
  }

  // ---- The engine list ----

  void On(const EngineList& list) {
    const bool failed = list.kind == ListKind::kFailed || !list.entries;
    if (failed && settings_.list_on_request) actions_->push_back(WatchList{true});
    if (failed) return;
    if (list.kind != ListKind::kChange) {
      for (auto& [id, engine] : engines_) engine.listed = false;  // not in a full list: gone
    }
    for (const EngineEntry& entry : *list.entries) ApplyEntry(entry);
    std::erase_if(engines_,
                  [](const auto& entry) { return !entry.second.listed && entry.second.in_flight.empty(); });
    ChooseSubset();
  }

  void ChooseSubset() {
    rankings_.Clear();
    std::vector<EngineId> ready;
    for (auto& [id, engine] : engines_) {
      engine.in_subset = false;
      if (engine.listed && engine.entry.readiness == Readiness::kReady) ready.push_back(id);
    }
    max_gateways_per_engine_ = subset::Sharers(ready.size(), settings_.gateways);
    const auto near =
        (fleet_size_ ? subset::ByPlace : subset::ByNumber)(ready, settings_.gateways, settings_.self);
    for (EngineId id : near) engines_.at(id).in_subset = true;
    subset_share_ = ready.empty() ? 1 : static_cast<double>(near.size()) / static_cast<double>(ready.size());
  }

  void ApplyEntry(const EngineEntry& entry) {
    auto [it, fresh] = engines_.try_emplace(entry.engine);
    EngineState& engine = it->second;
    const bool restarted = !fresh && entry.started_at != engine.entry.started_at;
    if (restarted) static_cast<IncarnationState&>(engine) = IncarnationState(), engine.sent_load.Restarted();
    engine.entry = entry;
    engine.listed = entry.readiness != Readiness::kGone;
    const KindSettings kind =
        entry.kind < settings_.kinds.size() ? settings_.kinds[entry.kind] : KindSettings();
    engine.cores = kind.cores > 0 ? kind.cores : 1;
    engine.memory = kind.memory_mb;
    if (fresh || restarted) {
      engine.concurrency_limit = SeedConcurrencyLimit(engine);
      // Another process, beside or before, may have sent it a whole window's worth just now: from nothing.
      engine.slow_start_credited_at =
          process_parts_ > 1 ? now_
                             : std::max({entry.started_at, now_ - settings_.overload_window, first_step_at_});
      engine.period_start = now_;
    }
  }

  double SeedConcurrencyLimit(const EngineState& engine) const {
    return std::max(1.0, kSeedThreadsPerCore * engine.cores / settings_.gateways);
  }

  // ---- A request is taken ----

  void On(const Request& spec) {
    if (requests_.contains(spec.id)) return;
    if (spec.class_id >= settings_.classes.size()) return actions_->push_back(Fail{spec.id});
    RequestState& request = requests_[spec.id];
    request.spec = spec;
    const ClassSettings& c = Class(request);
    request.threads = c.threads;
    request.work = std::max(1e-4, Estimates(request).Work(ToSeconds(spec.est_work)));
    request.objective_at = now_ + c.latency_objective +
                           FromSeconds(c.latency_objective_stretch * request.work / request.threads);
    request.deadline = now_ + spec.client_timeout;
    request.priority_weight = c.priority_weight * (OverQuota(spec) ? settings_.over_quota_weight_share : 1);
    // What can't be done in time is no demand, however much a client says that it wants.
    demand_ +=
        std::min(request.work, request.threads * ToSeconds(spec.client_timeout)) / kDemandTimeConstantSeconds;
    if (settings_.attempt_budget) retries_.Taken(now_);
    request.ordered = c.in_order && spec.key != 0;
    if (request.ordered) keys_.Join(spec.key, spec.id);
    Enqueue(request);
  }

  // Tenants: each has a token bucket of its quota times this gateway's part of the fleet's usual traffic.
  bool OverQuota(const Request& spec) {
    if (spec.tenant >= tenants_.size() || settings_.tenants[spec.tenant].quota_per_s <= 0) return false;
    const double part = fleet_size_ ? 1.0 / settings_.gateways : std::min(1.0, demand_share_ / kAssumedLoad);
    const double allowed = settings_.tenants[spec.tenant].quota_per_s * part;
    return !tenants_[spec.tenant].Take(now_, allowed, kQuotaBurstSeconds);
  }

  // ---- Held ----

  double CurrentWeight(const RequestState& request) const {
    return request.priority_weight * (request.late ? Class(request).late_weight_share : 1);
  }

  void AddPending(RequestState& request) {
    request.phase = RequestPhase::kPending;
    pending_[{-CurrentWeight(request), request.spec.class_id}].emplace(request.work, request.spec.id);
    Schedule(request,
             std::min(LatestStart(request), request.attempts > 0 ? RetryDeadline(request) : kNoLimit));
  }

  void RemovePending(RequestState& request) {
    auto it = pending_.find({-CurrentWeight(request), request.spec.class_id});
    if (it == pending_.end()) return;
    it->second.erase({request.work, request.spec.id});
    if (it->second.empty()) pending_.erase(it);
  }

  // The last moment to start a query and still meet its aim, or its deadline once it is late.
  Nanos LatestStart(const RequestState& request) const {
    const Nanos run =
        FromSeconds(request.exploratory ? Estimates(request).BestTime(request.work) / request.threads
                                        : ExpectedSeconds(request));
    if (!request.late) return std::min(request.objective_at, request.deadline - kResponseMargin) - run;
    return request.deadline - kResponseMargin - run;
  }

  void Schedule(RequestState& request, Nanos due) {
    request.next_check_at = std::max(due, now_);
    checks_.emplace(request.next_check_at, request.spec.id);
  }

  void RunChecks() {
    while (!checks_.empty() && checks_.top().first <= now_) {
      auto [due, id] = checks_.top();
      checks_.pop();
      auto it = requests_.find(id);
      if (it == requests_.end() || it->second.next_check_at != due) continue;
      RequestState& request = it->second;
      if (request.phase == RequestPhase::kInFlight)
        CheckRunaway(request);
      else if (request.phase != RequestPhase::kDone)
        OnStartMissed(request);
    }
  }

  // A held query's aim has come out of reach: it is worth its late share, or turned away at once.
  void OnStartMissed(RequestState& request) {
    objective_missed_ = true;
    const bool waits = !request.late && Class(request).late_weight_share >= kMinLateWeightShare;
    if (request.phase == RequestPhase::kPending) RemovePending(request);
    if (now_ >= RetryDeadline(request))
      return GiveUp(request);  // no further attempt may leave: nothing to wait for
    request.exploratory = !request.late && ExplorationDue(request);
    request.late = !request.exploratory;
    if ((!waits && !request.exploratory) || LatestStart(request) <= now_) return GiveUp(request);
    if (request.phase == RequestPhase::kPending) return AddPending(request);
    Schedule(request, LatestStart(request));
  }

  // A pace that nothing renews may be long past: as with a circuit breaker that is half open, one goes then.
  bool ExplorationDue(const RequestState& request) {
    if (request.exploratory || now_ - last_attempt_at_[request.spec.class_id] <
                                   Class(request).latency_objective / kExplorationsPerObjective)
      return false;
    last_attempt_at_[request.spec.class_id] = now_;
    return true;
  }

  // ---- Order per key ----

  // A class that has come to keep an order binds its open requests too: what comes next waits for them.
  void RebuildKeyQueues(const std::vector<int>& inherits_estimates_from) {
    std::set<RequestId> open;  // in the order in which they were taken
    for (auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < inherits_estimates_from.size() && request.spec.key != 0; ++i)
        request.ordered = request.ordered || (settings_.classes[i].in_order &&
                                              inherits_estimates_from[i] == request.spec.class_id);
      if (request.ordered) open.insert(id);
    }
    keys_.Clear();
    for (RequestId id : open) keys_.Join(requests_.at(id).spec.key, id);
    for (RequestId id : open) {
      RequestState& request = requests_.at(id);
      if (request.phase == RequestPhase::kPending) RemovePending(request);
      if (request.phase == RequestPhase::kPending || request.phase == RequestPhase::kBehindKey)
        Enqueue(request);
    }
  }

  void Enqueue(RequestState& request) {
    if (!request.ordered) return AddPending(request);
    request.phase = RequestPhase::kBehindKey;
    Schedule(request, LatestStart(request));
    AdvanceKey(request.spec.key);
  }

  void AdvanceKey(std::uint64_t key) {
    const std::optional<RequestId> first = keys_.First(key, now_);
    if (first && requests_.at(*first).phase == RequestPhase::kBehindKey) AddPending(requests_.at(*first));
  }

  void LeaveKey(const RequestState& request) {
    if (!request.ordered) return;
    keys_.Leave(request.spec.key, request.spec.id);
    AdvanceKey(request.spec.key);
  }

  // ---- The share ----

  // With many gateways the seed at an engine is less than a query. The bound then holds over time and the
  // whole fleet: a gateway earns thread seconds by its own demand and pays for what its attempts took, ahead
  // as expected. Harm: after a burst of its own it waits although engines have room.
  void AdvanceCredit(double seconds) {
    double cores = 0, near = 0;
    recent_work_ *= std::exp(-seconds / limits::SentLoad::kRecentSeconds);
    for (auto& [id, engine] : engines_) {
      engine.sent_load.Pass(seconds, engine.cores * RelativeSpeed(engine) / GatewaysPerEngine());
      cores += engine.listed ? engine.cores : 0, near += engine.in_subset ? engine.cores : 0;
    }
    heaviest_class_work_ = 0;
    for (const ClassEstimates& c : estimates_)
      heaviest_class_work_ = std::max(heaviest_class_work_, c.mean_work());
    best_heavy_weight_rate_ = 0;
    for (std::size_t i = 0; i < estimates_.size(); ++i)
      if (!IsLight(i)) best_heavy_weight_rate_ = std::max(best_heavy_weight_rate_, WeightRate(i));
    demand_ *= std::exp(-seconds / kDemandTimeConstantSeconds);
    if (!has_engines_) demand_ = kAssumedLoad * cores / settings_.gateways;
    // In an overload demands, clients' repeats among them, add up to more than the fleet; slow answers tell.
    const double load = demand_ / std::max(1.0, near);
    demand_share_ = std::min(1.0, load / std::max(1.0, fleet_latency_ratio_));
    preferred_load_factor_ =
        std::max(kMinPreferredLoadFactor, 1 / std::max(0.1, load * GatewaysPerEngine())) /
        std::max(1.0, near);
    const double share = kSeedThreadsPerCore * demand_,
                 most = kMaxCreditFactor * std::max(share, heaviest_class_work_);
    if (!has_engines_) credit_ = RandomUniform() * most;
    has_engines_ = has_engines_ || cores > 0;
    credit_ = std::clamp(credit_ + share * seconds, -most, most);
  }

  // Without credit a heavy query needs an engine seen to be idle, or, with no reports, a fleet at its best.
  bool MaySpendCredit(const RequestState& request, const EngineState& engine) const {
    if (credit_ > 0 ||
        (Class(request).holds_tables && WeightRate(request.spec.class_id) >= best_heavy_weight_rate_))
      return true;
    if (!promised_reports_.promised() || engine.reported_load.Silent())
      return fleet_latency_ratio_ < kSlowFleetLatencyRatio;
    if (!engine.reported_load.Fresh(now_)) return settings_.may_probe;  // it will be asked first
    return ThreadsInUse(engine) + request.threads <= kIdleThreadsPerCore * engine.cores;
  }

  // ---- Release: highest worth first, while an engine can take the query ----

  void DispatchPending() {
    for (const std::uint64_t key : keys_.Rested(now_)) AdvanceKey(key);
    if (pending_.empty()) return;
    if (AllManuallyEjected()) return GiveUpPending();
    std::vector<RequestId> sent;
    for (auto& [key, group] : pending_) {
      int left = kMaxFailedPlacements;
      for (auto it = group.begin(); it != group.end() && left > 0; ++it) {
        RequestState& request = requests_.at(it->second);
        if (!RetryBudgetAllows(request)) continue;  // what waits for the budget holds up no first attempt
        EngineState* engine = ChooseEngine(request);
        left -= engine == nullptr;
        if (engine == nullptr) continue;
        Dispatch(request, *engine);
        sent.push_back(request.spec.id);
      }
    }
    for (RequestId id : sent) RemovePending(requests_.at(id));
    if (!pending_.empty()) had_pending_ = true;
  }

  // Nobody knows when operators take an engine back: waiting would hold up the client for nothing.
  bool AllManuallyEjected() const {
    bool any_ejected = false;
    for (const auto& [id, engine] : engines_) {
      if (engine.listed && engine.entry.readiness == Readiness::kReady) return false;
      any_ejected = any_ejected || (engine.listed && engine.entry.readiness == Readiness::kExcluded);
    }
    return any_ejected;
  }

  void GiveUpPending() {
    while (!pending_.empty()) GiveUp(requests_.at(pending_.begin()->second.begin()->second));
  }

  // Budget of further attempts, and the window in which a keyed request's repeats are discarded.
  bool RetryBudgetAllows(const RequestState& request) {
    if (request.attempts == 0 || !settings_.attempt_budget) return true;
    return retries_.Allows(*settings_.attempt_budget, process_parts_, kTimerInterval, now_);
  }

  bool RetryMayLeave(const RequestState& request) const { return now_ <= RetryDeadline(request); }

  // Until when a further attempt may leave for an engine: a keyed one has to come within its window.
  Nanos RetryDeadline(const RequestState& request) const {
    if (request.may_have_run_at < 0 || Class(request).effect == Effect::kSafe) return kNoLimit;
    return Class(request).effect == Effect::kKeyed
               ? request.may_have_run_at + Class(request).repeat_window - kResponseMargin
               : -1;
  }

  bool MayRunOn(const RequestState& request, const EngineState& engine) const {
    if (!limits::PlacementAllows(Class(request), engine.entry)) return false;
    if (Class(request).effect != Effect::kKeyed || request.may_have_run_at < 0) return true;
    return limits::SharesRepeats(Class(request).group, request.may_have_run_on, engine.entry);
  }

  // An engine started lately gets a budget of work for every fall window, and this gateway its part of the
  // fleet's demand of it: seldom a whole query. So a send needs a random part of its charge, drawn anew in
  // each window. Nothing is saved up: an engine left alone for a while would be rushed by all gateways.
  bool SlowStartAllows(EngineState& engine, const RequestState& request) {
    if (!InSlowStart(engine)) return true;
    const double earned = SlowStartRate(engine) * SlowStartShare(engine) / process_parts_;
    engine.slow_start_credit =
        std::min(engine.slow_start_credit + earned * ToSeconds(now_ - engine.slow_start_credited_at),
                 earned * ToSeconds(settings_.overload_window));
    engine.slow_start_credited_at = now_;
    if (now_ > engine.slow_start_threshold_drawn_at + settings_.overload_window)
      engine.slow_start_threshold = RandomUniform(), engine.slow_start_threshold_drawn_at = now_;
    return engine.slow_start_credit >= engine.slow_start_threshold * SlowStartCharge(engine, request);
  }

  // Those whose subsets hold the engine share most of it, by their traffic or evenly, all others the rest.
  double SlowStartShare(const EngineState& engine) const {
    if (fleet_size_)
      return engine.in_subset ? kSubsetSlowStartShare / max_gateways_per_engine_
                              : (1 - kSubsetSlowStartShare) / settings_.gateways;
    if (subset_share_ >= 1) return demand_share_;
    return demand_share_ * (engine.in_subset ? kSubsetSlowStartShare
                                             : std::min(1.0, (1 - kSubsetSlowStartShare) * subset_share_ /
                                                                 (1 - subset_share_)));
  }

  bool InSlowStart(const EngineState& engine) const {
    if (settings_.overload_window <= 0 || settings_.overload_factor <= 0 || engine.entry.started_at <= 0)
      return false;
    return now_ - engine.entry.started_at <= settings_.slow_start_duration + settings_.overload_window;
  }

  double SlowStartRate(const EngineState& engine) const {
    return kSlowStartSafetyFactor * settings_.overload_factor *
           limits::ColdShare(settings_, now_ - engine.entry.started_at) * engine.cores;
  }

  // None counts as less than its class: the lightest leave first. A mean of costs never told is a guess.
  double SlowStartCharge(const EngineState& engine, const RequestState& request) {
    const double work = std::max(request.work, Estimates(request).mean_work()) *
                        (settings_.reports_cost || IsLight(request) ? 1 : kUnreportedCostFactor);
    return limits::ChanceCharge(work, SlowStartRate(engine) * ToSeconds(settings_.overload_window),
                                kSlowStartDeviations);
  }

  bool UnderPressure(const EngineState& engine, const RequestState& request) {
    return engine.latency_ratio > kPressureLatencyRatio ||
           ThreadsInUse(engine) + request.threads > kSeedThreadsPerCore * engine.cores;
  }

  // Heavy queries leave memory to the light ones, which would else stand in line behind them or spill.
  bool MemoryAllows(const EngineState& engine, const RequestState& request) {
    const auto granted = engine.reported_load.MemoryGranted(static_cast<double>(engine.in_flight.size()),
                                                            max_gateways_per_engine_);
    const double most = kUnestimatedGrantFactor * (IsLight(request) ? 1 : kMaxHeavyMemoryShare);
    if (granted && request.spec.est_memory_mb <= 0 && *granted > most) return false;
    const double others = engine.reported_load.Fresh(now_) ? OtherGatewaysQueries(engine) * mean_memory_ : 0;
    if (IsLight(request) || (engine.in_flight.empty() && others == 0)) return true;
    return engine.memory <= 0 || engine.sent_load.memory_mb() + others + MemoryNeed(request) <=
                                     kMaxHeavyMemoryShare * engine.memory;
  }

  double OtherGatewaysQueries(const EngineState& engine) const {
    return engine.reported_load.Others(static_cast<double>(engine.in_flight.size()),
                                       max_gateways_per_engine_);
  }

  // Threads at an engine, those of other gateways' queries as reported counted like our own mean query's.
  double ThreadsInUse(const EngineState& engine) const {
    return engine.sent_load.threads() +
           (engine.reported_load.Fresh(now_) ? OtherGatewaysQueries(engine) * mean_threads_ : 0);
  }

  // How much slower the engine answers than the fleet: so that a slow engine's bound doesn't stay high.
  double RelativeSpeed(const EngineState& engine) const {
    return engine.responses == 0 ? 1
                                 : std::clamp(fleet_latency_ratio_ / std::max(engine.latency_ratio, 1e-3),
                                              kMinRelativeSpeed, 1.0);
  }

  bool CanTake(const RequestState& request, EngineState& engine) {
    if (!engine.listed || engine.entry.readiness != Readiness::kReady || engine.breaker.IsOpen(now_))
      return false;
    if (!MayRunOn(request, engine) || RunsLoadOfTables(request, engine) || !SlowStartAllows(engine, request))
      return false;
    if (FailedOn(request, engine) && OtherEngineAvailable(request)) return false;
    if (engine.breaker.OnTrial() && !engine.in_flight.empty()) return false;
    if (!BypassesCredit(request) && !MaySpendCredit(request, engine)) return false;
    if (!MemoryAllows(engine, request)) return false;
    if (!UnderPressure(engine, request)) return true;
    // Running none of ours: free to go, but for a heavy query where others, as reported, have filled it.
    if (engine.in_flight.empty())
      return IsLight(request) || ThreadsInUse(engine) <= 0 ||
             ThreadsInUse(engine) + request.threads <= kCrowdedThreadsPerCore * engine.cores;
    return engine.sent_load.threads(IsLight(request)) + request.threads / 2 <=
           engine.concurrency_limit * RelativeSpeed(engine);
  }

  static bool FailedOn(const RequestState& request, const EngineState& engine) {
    return std::count(request.failed_on.begin(), request.failed_on.end(), engine.entry.engine) > 0;
  }

  // An engine that fails fast looks idle while the others are busy: it must not get all that it has failed
  // again.
  bool OtherEngineAvailable(const RequestState& request) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto& other) {
      const EngineState& engine = other.second;
      const bool ready =
          engine.listed && engine.entry.readiness == Readiness::kReady && !engine.breaker.IsOpen(now_);
      return ready && MayRunOn(request, engine) && !FailedOn(request, engine);
    });
  }

  // Light classes are counted apart, so that a few long queries don't shut out the many short ones.
  bool IsLight(const RequestState& request) const { return IsLight(request.spec.class_id); }
  bool IsLight(std::size_t class_id) const {
    return estimates_[class_id].mean_work() <= kLightWorkShare * heaviest_class_work_;
  }

  // Worth of a thread second.
  double WeightRate(std::size_t class_id) const {
    return settings_.classes[class_id].priority_weight / std::max(1e-6, estimates_[class_id].mean_work());
  }

  // Light queries go ahead of heavy ones without credit, unless a heavy class makes more of the engines'
  // time.
  bool BypassesCredit(const RequestState& request) const {
    return IsLight(request) && WeightRate(request.spec.class_id) >= best_heavy_weight_rate_;
  }

  // The lighter of two random eligible engines, joined by the home of the query's table group.
  EngineState* ChooseEngine(const RequestState& request) {
    if (!RetryMayLeave(request)) return nullptr;
    std::vector<EngineState*> candidates;
    for (const bool near : {true, false}) {  // beyond the subset only when none in it can take the query
      for (auto& [id, engine] : engines_)
        if (engine.in_subset == near && CanTake(request, engine)) candidates.push_back(&engine);
      if (!candidates.empty()) break;
    }
    if (candidates.empty()) return nullptr;
    RankForTables(request, candidates);
    if (request.attempts > 0 && candidates.size() > 1)  // elsewhere first
      std::erase_if(candidates, [&request](const EngineState* engine) {
        return engine->entry.engine == request.engine_id;
      });
    if (candidates.empty() || (!IsLight(request) && !KeepInformed(candidates))) return nullptr;
    std::swap(candidates[0], candidates[RandomIndex(candidates.size())]);
    if (candidates.size() > 1) std::swap(candidates[1], candidates[1 + RandomIndex(candidates.size() - 1)]);
    EngineState* best = nullptr;
    double weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (i >= 2 && (candidates[i]->rank >= kPreferredEngines ||
                     !PreferredEngineHasRoom(*candidates[i], RandomUniform() * request.work)))
        continue;
      const double w = ExpectedDelay(request, *candidates[i]);
      if (best == nullptr || w < weight) best = candidates[i], weight = w;
    }
    return best;
  }

  // A home is preferred up to what fills it, by this gateway's part of all: consistent hashing with bounded
  // loads (Mirrokni, Thorup, Zadimoghaddam 2018).
  double GatewaysPerEngine() const {
    return std::max(1.0, subset_share_ * settings_.gateways);
  }  // gateways that send to one engine
  bool PreferredEngineHasRoom(const EngineState& engine, double work) {
    return engine.sent_load.recent() + work <= preferred_load_factor_ * recent_work_ * engine.cores;
  }

  // Heavy queries go where a fresh report tells of the load; engines are probed where answers bring too few.
  // One that doesn't report, though the settings promise it, is taken as it is, and asked now and then. None
  // waits for the turn of the next probe: one engine a beat is too little where many heavy queries come.
  bool KeepInformed(std::vector<EngineState*>& candidates) {
    if (!settings_.may_probe || !promised_reports_.promised()) return true;
    const std::vector<EngineState*> all = candidates;
    std::vector<EngineState*> unknown, silent;
    for (EngineState* engine : candidates)
      if (!engine->reported_load.Fresh(now_))
        (engine->reported_load.Silent() ? silent : unknown).push_back(engine);
    std::erase_if(candidates, [&](const EngineState* engine) {
      return !engine->reported_load.Fresh(now_) && !engine->reported_load.Silent();
    });
    if (candidates.size() < kMinInformedEngines && !unknown.empty())
      SendProbe(unknown, next_probe_at_, kProbeInterval);
    if (!silent.empty() && !promised_reports_.in_answers)
      SendProbe(silent, next_silent_probe_at_, kSilentProbeInterval);
    const auto longer = [](const auto& group) { return group.second.size() > kMaxFailedPlacements; };
    const bool asked = now_ < next_probe_at_ - kProbeInterval + kProbeTimeout;
    const bool many = std::any_of(pending_.begin(), pending_.end(), longer);
    const bool spared =
        credit_ > 0 || fleet_latency_ratio_ < kSlowFleetLatencyRatio;  // as where no reports are promised
    const bool never = !silent.empty() && !any_engine_reported_;  // else the first found silent would get all
    if ((candidates.empty() && !asked && many && spared) || never) candidates = all;
    return !candidates.empty();
  }

  void SendProbe(const std::vector<EngineState*>& engines, Nanos& due, Nanos beat) {
    if (now_ < due) return;
    due = now_ + beat;
    actions_->push_back(Probe{engines[RandomIndex(engines.size())]->entry.engine});
  }

  void On(const Probed& probed) {
    auto it = engines_.find(probed.engine);
    if (it != engines_.end()) RecordReport(it->second, probed.load, true);
  }

  std::size_t RandomIndex(std::size_t n) {
    return std::min(n - 1, static_cast<std::size_t>(RandomUniform() * n));
  }

  // All gateways rank the engines alike for a table group, by rendezvous hashing (Thaler and Ravishankar
  // 1998). The first are its home, kept warm by readers; the last take its loads, unseen by other gateways.
  void RankForTables(const RequestState& request, std::vector<EngineState*>& candidates) {
    const std::size_t ranked =
        rankings_.Rank(engines_, subset::Mix(request.spec.tables),
                       [&](const EngineState& engine) { return MayRunOn(request, engine); });
    const bool load = Class(request).holds_tables;
    const std::size_t readers = ranked - static_cast<std::size_t>(kLoadEngineShare * ranked);
    if (ranked >= kMinEnginesToSplit && (load ? loads_block_readers_ : Class(request).blocked_by_loads))
      std::erase_if(candidates, [&](const EngineState* engine) { return load == (engine->rank < readers); });
    // Loads of one group stand still behind each other: each gateway begins with engines that are its alone.
    const auto others = [this](const EngineState* engine) {
      return (engine->rank + settings_.self) % settings_.gateways != 0;
    };
    if (load && !std::all_of(candidates.begin(), candidates.end(), others)) std::erase_if(candidates, others);
  }

  // A load that would stand still there behind one of ours, with its memory granted, is better held.
  bool RunsLoadOfTables(const RequestState& request, const EngineState& engine) const {
    return Class(request).holds_tables &&
           std::any_of(engine.in_flight.begin(), engine.in_flight.end(), [&](RequestId id) {
             const RequestState& other = requests_.at(id);
             return Class(other).holds_tables && other.spec.tables == request.spec.tables;
           });
  }

  double ExpectedDelay(const RequestState& request, EngineState& engine) {
    double running = 0, overdue = 0;
    for (RequestId id : engine.in_flight) {
      const RequestState& other = requests_.at(id);
      const double progress = ToSeconds(now_ - other.sent_at) / std::max(1e-3, ExpectedSeconds(other));
      running += other.work * std::max(0.3, 1 - progress);
      overdue += progress > kOverdueFactor;
    }
    running += engine.sent_load.backlog() +
               (engine.reported_load.Fresh(now_) ? OtherGatewaysQueries(engine) : mean_other_queries_) *
                   mean_remaining_work_;
    const bool warm = engine.warm_tables.Holds(request.spec.tables) ||
                      (engine.rank < kPreferredEngines && !Class(request).holds_tables);
    double own = request.work / request.threads * (warm ? 1 - kWarmWorkSaving : 1);
    // Overdue attempts tell of a sick engine before its answers do; one that hangs some answers others fast.
    const double hangs =
        IsLight(request)
            ? 0
            : kHungCostFactor * std::max(0.0, engine.hung_share - fleet_hung_share_ - kHungShareNoise);
    return (running / engine.cores + own) / RelativeSpeed(engine) * (1 + overdue + hangs);
  }

  double MemoryNeed(const RequestState& request) const {
    return Estimates(request).MemoryMb(request.spec.est_memory_mb);
  }

  void Dispatch(RequestState& request, EngineState& engine) {
    const double need = MemoryNeed(request);
    const double grant = settings_.honors_memory_grants && engine.memory > 0
                             ? std::min(need, settings_.max_grant_share * engine.memory)
                             : 0;
    const int priority = !settings_.honors_priorities ? 1 : request.late ? 0 : IsLight(request) ? 3 : 2;
    if (grant > 0 || priority != 1) actions_->push_back(ResourceGrant{request.spec.id, priority, grant});
    actions_->push_back(Send{request.spec.id, engine.entry.engine, 0, RetryDeadline(request)});
    if (request.attempts > 0 && settings_.attempt_budget) retries_.Retried(now_);
    ++request.attempts;
    request.attempt_in_flight = true;
    last_attempt_at_[request.spec.class_id] = now_;
    request.attempt_cancelled = false;
    request.engine_id = engine.entry.engine;
    request.sent_at = now_;
    request.charge = {IsLight(request), request.threads, need, request.work};
    request.reserved_credit = ExpectedSeconds(request) * request.threads;
    credit_ -= request.reserved_credit;
    engine.in_flight.insert(request.spec.id);
    engine.sent_load.Sent(request.charge), recent_work_ += request.work;
    if (InSlowStart(engine)) engine.slow_start_credit -= SlowStartCharge(engine, request);
    engine.warm_tables.Read(request.spec.tables);
    request.phase = RequestPhase::kInFlight;
    request.next_check_at = 0;
    CheckRunaway(request);
  }

  // ---- Running ----

  // How long an attempt should take at the fleet's present pace.
  double ExpectedSeconds(const RequestState& request) const {
    return Estimates(request).Time(request.work) / request.threads;
  }

  Nanos RunawayTimeout(const RequestState& request) {
    if (!settings_.may_cancel || !MayCancelAndRetry(request) ||
        (settings_.progress_every > 0 && !IsLight(request)))
      return 0;
    const double spread = std::exp(kRunawayDeviations * Estimates(request).deviation());
    const double most =
        IsLight(request) ? std::clamp(spread, kRunawayFactorLight, kMaxRunawayFactor) : kMaxRunawayFactor;
    const double times = std::clamp(1.5 * spread, kMinRunawayFactor, most);
    if (Class(request).effect != Effect::kKeyed) return FromSeconds(ExpectedSeconds(request) * times);
    const auto found = engines_.find(request.engine_id);  // a cold one has a pace of its own
    const bool known = Estimates(request).known() && found != engines_.end() && !InSlowStart(found->second);
    const double keyed = known ? std::max(times, kMinRunawayFactorKeyed) : HUGE_VAL;
    const Nanos last =
        LastSafeCancel(request) - request.sent_at;  // what is expected to last longer isn't called off there
    return FromSeconds(ExpectedSeconds(request)) > last
               ? 0
               : std::min(FromSeconds(ExpectedSeconds(request) * keyed), last);
  }

  // A keyed attempt may be called off only while its repeat is still discarded and its key's rest counted.
  Nanos LastSafeCancel(const RequestState& request) const {
    const Nanos from = request.may_have_run_at >= 0 ? request.may_have_run_at : request.sent_at;
    return from + Class(request).repeat_window - settings_.order_settle - 4 * kTimerInterval -
           kResponseMargin;
  }

  bool MayCancelAndRetry(const RequestState& request) const {
    if (Class(request).effect != Effect::kKeyed) return Class(request).effect == Effect::kSafe;
    return now_ <= LastSafeCancel(request) + 2 * kTimerInterval;
  }

  // An attempt that runs far past what its query should need is cancelled and tried elsewhere while that can
  // be in time; a query that has been so twice is heavy itself. Harm: in an overload it throws work away.
  void CheckRunaway(RequestState& request) {
    const Nanos after = RunawayTimeout(request);
    if (after > 0 && now_ < request.sent_at + after) return Schedule(request, request.sent_at + after);
    if (after > 0) CancelAndRetry(request);
  }

  bool CancelAndRetry(RequestState& request) {
    if (!settings_.may_cancel || !MayCancelAndRetry(request) ||
        request.runaway_cancels >= kMaxRunawayCancels || request.attempts >= settings_.max_attempts)
      return false;
    if (now_ + FromSeconds(ExpectedSeconds(request)) > request.deadline - kResponseMargin) return false;
    ++request.runaway_cancels;
    CancelAttempt(request);
    return true;
  }

  void CancelAttempt(RequestState& request) {
    if (settings_.may_cancel && !request.attempt_cancelled)
      actions_->push_back(Cancel{request.spec.id, request.attempts - 1});
    request.attempt_cancelled = true;
  }

  void On(const ProgressNotice& note) {
    auto it = requests_.find(note.id);
    if (it == requests_.end() || !it->second.attempt_in_flight || note.attempt != it->second.attempts - 1)
      return;
    RequestState& request = it->second;
    if (note.kind != NoticeKind::kProgress || request.phase != RequestPhase::kInFlight ||
        request.attempt_cancelled)
      return;
    const double elapsed = ToSeconds(now_ - request.sent_at);
    const double whole = elapsed / std::clamp(note.amount, 0.002, 1.0);
    const bool hopeless = now_ + FromSeconds((whole - elapsed) * 0.9) > request.deadline;
    const bool runaway = hopeless || whole > ExpectedSeconds(request) * kRunawayFactorProgress;
    const bool again =
        request.runaway_cancels > 0 && whole > kHeavyProjectionShare * request.projected_seconds;
    if (runaway && !again && CancelAndRetry(request))
      request.projected_seconds = whole;
    else if (hopeless && elapsed > 0.4)
      GiveUp(request);
  }

  // ---- An attempt has ended ----

  void On(const AttemptEnded& end) {
    auto it = requests_.find(end.id);
    if (it == requests_.end() || !it->second.attempt_in_flight || end.attempt != it->second.attempts - 1)
      return;
    RequestState& request = it->second;
    request.attempt_in_flight = false;
    const Outcome outcome = end.outcome;
    const bool ran =
        outcome != Outcome::kFull && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
    if (auto found = engines_.find(request.engine_id); found != engines_.end()) {
      RecordOutcome(request, found->second, end);
      if (ran && request.may_have_run_at < 0) request.may_have_run_on = found->second.entry;
    }
    if (ran && request.may_have_run_at < 0) request.may_have_run_at = request.sent_at;
    const bool unknown = ran && outcome != Outcome::kOk && outcome != Outcome::kError;
    if (unknown && request.ordered) keys_.RestUntil(request.spec.key, now_ + settings_.order_settle);
    if (end.finished || request.phase == RequestPhase::kDone) return Finish(request);
    // Another attempt, or the final answer at once.
    const bool in_time =
        now_ < request.deadline - kResponseMargin - FromSeconds(request.work / request.threads);
    const bool hopeless =
        request.attempts >= settings_.max_attempts || request.failed_on.size() >= kMaxEnginesInError;
    if (!in_time || hopeless || !RetryMayLeave(request)) return GiveUp(request);
    request.late = request.late || now_ > request.objective_at;
    Enqueue(request);
  }

  void RecordOutcome(RequestState& request, EngineState& engine, const AttemptEnded& end) {
    engine.in_flight.erase(request.spec.id);
    // The mix that is found running: each query counts for as long as it ran.
    const double ran = ToSeconds(now_ - request.sent_at);
    credit_ += request.reserved_credit - ran * request.threads;
    const double weight = std::min(0.3, kSlowWeight * ran);
    Blend(mean_remaining_work_, request.work / 2, weight);
    Blend(mean_threads_, request.threads, weight);
    Blend(mean_memory_, request.charge.memory_mb, weight);
    const Outcome outcome = end.outcome;
    engine.sent_load.Ended(request.charge, outcome == Outcome::kCancelled || outcome == Outcome::kTimeout ||
                                               outcome == Outcome::kLost);
    RecordReport(engine, end.load, promised_reports_.in_answers && outcome == Outcome::kOk);
    if (outcome == Outcome::kOk) RecordSuccess(request, engine, end), BlameFailedEngines(request);
    if (outcome == Outcome::kFull) engine.period.full = true, engine.breaker.RestUntil(now_ + kFullBackoff);
    if (outcome == Outcome::kError) request.failed_on.push_back(request.engine_id);
    if (outcome == Outcome::kLost) RecordFailure(engine, kLostResponseWeight);
    if (outcome == Outcome::kTimeout && now_ < request.deadline - kResponseMargin)
      RecordFailure(engine, kBrokenConnectionWeight);
    const bool hung =
        outcome == Outcome::kCancelled && request.runaway_cancels > 0 && request.phase != RequestPhase::kDone;
    if (hung)
      Blend(engine.latency_ratio, std::min(20.0, 3 * engine.latency_ratio), kFastWeight),
          RecordFailure(engine, kErrorWeight);
    if (request.charge.light && (hung || outcome == Outcome::kOk))
      Blend(engine.hung_share, hung, kHungWeight), Blend(fleet_hung_share_, hung, kHungWeight / 4);
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset)
      RecordFailure(engine, kBrokenConnectionWeight);
  }

  void RecordReport(EngineState& engine, const LoadReport& load, bool due) {
    if (engine.reported_load.Take(promised_reports_, load, static_cast<double>(engine.in_flight.size()),
                                  now_))
      Blend(mean_other_queries_, engine.reported_load.others(), kFastWeight), any_engine_reported_ = true;
    else if (due)
      engine.reported_load.Missed();
  }

  void RecordSuccess(RequestState& request, EngineState& engine, const AttemptEnded& end) {
    engine.breaker.Succeeded(kErrorWeight);
    const double reported_work = ToSeconds(end.work);
    const double ratio =
        estimates_[request.spec.class_id].Learn({.estimated_work = ToSeconds(request.spec.est_work),
                                                 .told_work = reported_work,
                                                 .time = ToSeconds(end.waited) * request.threads,
                                                 .estimated_memory_mb = request.spec.est_memory_mb,
                                                 .told_memory_mb = end.memory_mb,
                                                 .trial = request.exploratory});
    Blend(engine.latency_ratio, std::min(ratio, 20.0), std::max(kFastWeight, 1.0 / (++engine.responses + 3)));
    Blend(fleet_latency_ratio_, std::min(ratio, 20.0), kFastWeight);
    engine.period.work += reported_work > 0 ? reported_work : request.work;
    engine.period.latency += ratio;
    ++engine.period.count;
  }

  // An error is the engine's only where another serves the query: what no engine can use must eject none.
  void BlameFailedEngines(const RequestState& request) {
    for (auto& [id, engine] : engines_)
      if (id != request.engine_id && FailedOn(request, engine)) RecordFailure(engine, kErrorWeight);
  }

  // Failures, fast ones above all, must not pass for low load: an engine that fails a share of its attempts
  // is ejected for a backoff, and again by its next failure until good answers have brought the share down.
  void RecordFailure(EngineState& engine, double weight) {
    if (!engine.breaker.Failed(weight, now_)) return;
    double out = 1, all = 0;
    for (const auto& [id, other] : engines_) {
      all += other.listed;
      out += other.listed && other.breaker.IsOpen(now_);
    }
    if (out > kMaxEjectedShare * all) return;  // the trouble is not this engine's own
    engine.breaker.Open(now_, 0.8 + 0.4 * RandomUniform());
    actions_->push_back(LogLine{"engine " + std::to_string(engine.entry.engine) + " ejected: attempts fail"});
  }

  // ---- Feedback on the bound (Schroeder et al., section 4.3; DESIGN-lemoncroft.md) ----

  void CloseObservationPeriods() {
    for (auto& [id, engine] : engines_) {
      const Nanos length = now_ - engine.period_start;
      const bool due =
          (had_pending_ && length >= engine.period_length) || engine.period.count >= kMaxPeriodResponses;
      if (!due || length <= 0) continue;
      StepConcurrencyLimit(engine, ToSeconds(length));
      engine.period_start = now_;
      engine.period_length =
          static_cast<Nanos>(kObservationPeriod * (1 + kObservationPeriodJitter * (2 * RandomUniform() - 1)));
      engine.period = ObservationPeriod();
    }
    if (now_ - period_flags_reset_at_ >= kObservationPeriod)
      had_pending_ = objective_missed_ = false, period_flags_reset_at_ = now_;
  }

  void StepConcurrencyLimit(EngineState& engine, double seconds) {
    const double seed = SeedConcurrencyLimit(engine), step = std::max(1.0, seed * kLimitStepShare);
    const double throughput = engine.period.work / seconds;
    const double latency =
        engine.period.count > 0 ? engine.period.latency / engine.period.count : engine.last_latency;
    const bool gained = throughput >= engine.last_throughput * (1 + kChangeThreshold);
    const bool slower = engine.last_latency > 0 && latency > engine.last_latency * (1 + kChangeThreshold);
    const double floor = !objective_missed_ && !engine.period.full ? seed : 1.0;
    if (engine.stepped_up &&
        (!gained || engine.period.full)) {  // the step up did not pay: taken back, whatever waits
      engine.concurrency_limit = std::max(1.0, engine.concurrency_limit - step);
      engine.stepped_up = false;
    } else if (had_pending_ && !engine.period.full) {
      engine.concurrency_limit += step;
      engine.stepped_up = true;
    } else if (!had_pending_ || !(objective_missed_ || slower)) {
      engine.concurrency_limit = std::max(floor, engine.concurrency_limit - step);
    }
    engine.last_throughput = throughput;
    engine.last_latency = latency;
  }

  // ---- The final answer ----

  // Given up: refused where that is a safe thing to say, else failed; what still runs is called off.
  void GiveUp(RequestState& request) {
    RemovePending(request);
    const bool maybe_ran = request.may_have_run_at >= 0 || request.attempt_in_flight;
    if (Class(request).effect == Effect::kSafe || !maybe_ran)
      actions_->push_back(
          RejectRequest{request.spec.id, settings_.may_send_retry_after ? settings_.max_retry_after : 0});
    else
      actions_->push_back(Fail{request.spec.id});
    Finish(request);
  }

  // State ends with its request; an attempt still out is called off and keeps it until its outcome comes.
  void Finish(RequestState& request) {
    request.phase = RequestPhase::kDone;
    if (request.attempt_in_flight) return CancelAttempt(request);
    const RequestState gone = request;
    requests_.erase(gone.spec.id);
    LeaveKey(gone);
  }

  void On(const DeadlineReached& event) {
    auto it = requests_.find(event.id);
    if (it != requests_.end() && it->second.phase != RequestPhase::kDone) GiveUp(it->second);
  }

  void On(const ClientGone& gone) {
    auto it = requests_.find(gone.id);
    if (it == requests_.end() || it->second.phase == RequestPhase::kDone) return;
    RequestState& request = it->second;
    RemovePending(request);
    Finish(request);
  }

  void On(const StreamStarted& start) {
    auto it = requests_.find(start.id);
    if (it != requests_.end())
      it->second.next_check_at = 0;  // the attempt is the client's now: no more checks
  }
  void On(const auto&) {}  // nothing to learn: a message, a timer

  Settings settings_;
  std::mt19937_64 random_engine_;
  std::vector<Action>* actions_ = nullptr;
  std::map<EngineId, EngineState> engines_;
  subset::RankingCache<EngineState> rankings_;
  std::unordered_map<RequestId, RequestState> requests_;  // looked up only, never walked
  // Held queries by worth, highest first, and class; within these the lightest first, then the oldest.
  using Group = std::pair<double, std::uint16_t>;
  std::map<Group, std::set<std::pair<double, RequestId>>> pending_;
  limits::KeyQueues keys_;
  using Check = std::pair<Nanos, RequestId>;
  std::priority_queue<Check, std::vector<Check>, std::greater<>> checks_;
  std::vector<ClassEstimates> estimates_;
  std::vector<limits::TokenBucket> tenants_;
  std::vector<Nanos> last_attempt_at_;  // when an attempt of the class last left
  limits::RetryBudget retries_;
  double fleet_latency_ratio_ = 1, fleet_hung_share_ = 0, mean_other_queries_ = 0, mean_remaining_work_ = 0.1,
         mean_threads_ = 1, mean_memory_ = 0;
  bool had_pending_ = false, objective_missed_ = false, loads_block_readers_ = false;
  double demand_ = 0, credit_ = 0, demand_share_ = 0, heaviest_class_work_ = 0;
  double subset_share_ = 1;  // share of the engines in the subset
  double recent_work_ = 0,
         preferred_load_factor_ = 0;  // thread seconds sent lately; most of it to a home, a core
  double best_heavy_weight_rate_ =
      0;  // worth of a thread second in the best of the classes that aren't light
  bool has_engines_ = false, any_engine_reported_ = false;  // an engine has told its load at least once
  int process_parts_ = 1;                // parts that the budgets of this gateway are divided by
  std::optional<FleetSize> fleet_size_;  // none: what the settings tell
  int max_gateways_per_engine_ = 1;      // gateways that have one engine in their subsets, at the most
  reports::Promise promised_reports_;
  Nanos now_ = -1, next_probe_at_ = -kSecond, next_silent_probe_at_ = -kSecond, period_flags_reset_at_ = 0,
        next_wake_at_ = -1,
        first_step_at_ = -1;  // born_: the first step
};

}  // namespace decision

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : scheduler_(std::make_unique<decision::Scheduler>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

std::vector<EngineId> Gateway::Avoided(Nanos now) const { return scheduler_->Avoided(now); }

void Gateway::Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) {
  scheduler_->Step(now, events, actions);
}

}  // namespace lemoncroft
