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
constexpr double kSeedFactor = 1.5;     // threads a core: the design's seed
constexpr double kStepShare = 1.0 / 6;  // of the seed, at least a thread: small steps, no overshoot
constexpr double kThreshold = 0.05;     // share: the design's loss threshold
constexpr Nanos kPeriod = 2 * kSecond;  // with queries held; long enough for a mean
constexpr double kPeriodJitter = 0.3;   // share: keeps gateways from stepping together on one dip
constexpr int kPeriodCount = 100;       // completions that end a period as well (paper, 4.3)
// The share of all gateways' level that is this one's, held in expectation: credit in thread seconds.
constexpr double kDemandMemory = 8;    // seconds that own demand is averaged over
constexpr double kUsualLoad = 0.85;    // of the fleet's cores: demand of all gateways before any is seen
constexpr double kFleetPressed = 1.3;  // times the best latency, in the mean of recent answers
constexpr double kIdleLevel = 1;       // threads a core, the query's own counted: an engine seen to be idle
constexpr double kMaxCredit = 2;       // times a mean heavy query's thread seconds, or seconds of the share
// Pressure: when the bound binds.
constexpr double kPressureLatency = 2.5;  // times the best latency: well past noise, before thrash is deep
constexpr double kCrowded = 1.5;          // threads a core past which an engine takes no first heavy query
constexpr double kMemoryFill = 0.85;      // of an engine's memory that heavy queries may take
constexpr double kOwnGrant = 1.5;         // times the usual need: what an engine grants without an estimate
constexpr double kLight = 0.25;           // of the heaviest class's mean work: counted apart
constexpr std::size_t kProbed = 2;        // engines to choose from that a heavy query waits to know
constexpr Nanos kProbeBeat = 250 * kMs;   // one probe for each, with heavy queries held: more would herd
constexpr Nanos kProbeWait = 100 * kMs;   // for the result of one, before it is done without
constexpr Nanos kSilentBeat = 20 * kProbeBeat;  // likewise, of engines that have told nothing so far
// Learning: weight of the newest sample in a mean.
constexpr double kFast = 0.1;   // an engine's latency: some ten answers
constexpr double kSlow = 0.03;  // the mix of what runs: outlasts bursts
// Health.
constexpr double kErrorWeight = 0.15;  // of the newest outcome in the share that failed: two eject
constexpr double kBrokenWeight = 0.4;  // likewise for a lost connection, or one gone silent
constexpr double kLostWeight = 0.05;   // for an answer lost on the way, as happens at all engines alike
constexpr std::size_t kMaxEnginesInError =
    3;                                    // engines that find an error in a query: then it is the query's
constexpr Nanos kFullFor = 500 * kMs;     // an engine that said full rests: refusals are work for it
constexpr double kMaxEjectedShare = 0.5;  // share of the fleet that may be out for errors
constexpr double kSlowest = 0.08;         // least relative speed believed
constexpr double kHungWeight = 0.02;      // of the newest light attempt in the share that hang
constexpr double kHungNoise = 0.015;      // share above the fleet's that chance brings
constexpr double kHungCost = 60;          // times the expected time: what a hung heavy attempt costs
// Cold engines.
constexpr double kUntold = 2;          // a heavy query's weight in it where costs aren't told
constexpr double kColdSafety = 0.75;   // of the allowed budget: slow cores, bad estimates
constexpr double kColdDeviations = 3;  // of chance arrivals from all gateways that the budget has room for
// Runaway attempts.
constexpr double kMinRunawayFactor = 2.5;  // times the expected duration, at the least
constexpr double kMaxRunawayFactor = 8;    // and at the most
constexpr double kRunawayLight = 4;     // for light classes, unless their times scatter more: little is lost
constexpr double kRunawayKeyed = 4;     // at the least for keyed ones: much is, and loads block each other
constexpr double kRunawayNoted = 5;     // times the expected duration, as its notes project
constexpr double kRunawaySpread = 2.5;  // deviations (of log work) that an honest attempt may stray
constexpr int kKills = 2;               // cancels of one request: then it is held to be heavy itself
constexpr double kSameAgain = 0.4;      // a second projection above this share of the first: heavy itself
// Choice of engine.
constexpr double kWarmGain = 0.5;   // of a query's work saved by a warm group (assumed)
constexpr std::size_t kHomes = 2;   // engines that keep a table group warm for all gateways
constexpr double kHomeLoad = 1.25;  // times the mean load, at the least, up to which a home is preferred
constexpr double kOverdue = 2;      // times its expected time: an attempt hints at a sick engine
constexpr double kNearPart = 0.8;   // of a cold engine's budget, to those whose subsets hold it
constexpr double kLoadSide = 0.5;   // share of engines that take a table group's loads, not its readers
constexpr std::size_t kMinEnginesToSplit = 4;  // engines to split: two a side, since one leaves no choice
// Held queries.
constexpr int kTries = 4;                  // held queries of a group tried in one decision
constexpr int kTrials = 4;                 // in the time of a class's aim, at the most
constexpr double kMinLateShare = 0.15;     // late worth below this share isn't waited for
constexpr Nanos kBeat = 20 * kMs;          // clock of the checks
constexpr Nanos kAnswerMargin = 40 * kMs;  // before a try's deadline: two beats
// Tenants.
constexpr double kQuotaDepth = 2;  // seconds of quota that may come at once

double Seconds(Nanos t) { return static_cast<double>(t) / kSecond; }
Nanos ToNanos(double s) { return static_cast<Nanos>(std::clamp(s, 0.0, 1e8) * kSecond); }

struct Period {
  double work = 0, latency = 0;  // sums over its answers
  int count = 0;
  bool full = false;
};

struct Learned {  // about one life of an engine
  reports::ReportedLoad load;
  double latency = 1;  // against the best of the class
  int samples = 0;
  double hung = 0;
  limits::CircuitBreaker breaker;
  double cold_credit = 0;  // thread seconds that may be sent while it is cold
  double cold_part = 1;    // of a query's charge that must be there
  Nanos cold_at = 0, cold_drawn = 0;
  subset::WarmTables warm;
  // The bound and its feedback.
  double bound = 0;
  Nanos period_start = 0;
  Nanos period_length = kPeriod;
  Period period;
  bool stepped_up = false;
  double last_throughput = 0;
  double last_latency = 0;
};

struct Engine : Learned {
  EngineEntry entry;
  bool listed = false;
  bool near = true;  // in this gateway's subset
  double cores = 1;
  double memory = 0;  // MB; 0 = not told
  std::set<RequestId> runs;
  limits::SentLoad sent;
  std::size_t rank = 0;  // for the table group of the query being placed
};

enum class Where { kHeld, kInLine, kOut, kDone };  // kInLine: waits for its key's turn

struct Query {
  Request in;
  Nanos aim_at = 0;
  Nanos deadline = 0;
  double work = 0;  // expected, thread seconds
  double priority_weight = 1;
  bool late = false;
  bool trial = false;  // goes though the class's present pace rules its aim out
  Where where = Where::kHeld;
  Nanos due = 0;  // next check
  int sent = 0;
  bool out = false;  // attempt number sent-1 has no outcome yet
  bool cancelled = false;
  EngineId engine = 0;
  Nanos sent_at = 0;
  double threads = 1;
  limits::AttemptCharge charge;
  double charged = 0;           // thread seconds of credit taken for the attempt
  bool ordered = false;         // has a place in its key's line
  std::vector<EngineId> erred;  // engines that said error to it
  int kills = 0;
  double projected = 0;     // duration at the pace last noted before a kill
  Nanos maybe_ran_at = -1;  // when the first attempt that may have run was sent
  EngineEntry maybe_engine;
};

}  // namespace

class Gateway::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : set_(std::move(settings)), random_(seed) { TakeSettings({}); }

  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) {
    const bool first = now_ < 0;
    const double passed = first ? 0 : Seconds(std::max<Nanos>(0, now - now_));
    now_ = std::max(now_, now), born_ = first ? now : born_;
    out_ = &actions;
    Earn(passed);
    if (first && set_.list_on_request) out_->push_back(WatchList{true});
    for (const Event& event : events) std::visit([this](const auto& e) { On(e); }, event);
    RunChecks();
    ClosePeriods();
    Release();
    if (!queries_.empty() && wake_at_ <= now_) {
      wake_at_ = now_ + kBeat;
      out_->push_back(WakeAt{wake_at_, 0});
    }
  }

  std::vector<EngineId> Avoided(Nanos now) const {
    std::vector<EngineId> out;
    for (const auto& [id, e] : engines_)
      if (e.listed && e.breaker.IsOpen(now)) out.push_back(id);
    return out;
  }

 private:
  const ClassSettings& Class(const Query& q) const { return set_.classes[q.in.class_id]; }
  const ClassEstimates& Estimates(const Query& q) const { return estimates_[q.in.class_id]; }
  double Random() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  // ---- Settings ----

  void TakeSettings(const std::vector<int>& inherits_estimates_from) {
    TakeSiblings();
    promise_ = reports::Promise::Of(set_);
    tenants_.resize(set_.tenants.size());
    tried_at_.resize(std::max(tried_at_.size(), set_.classes.size()));
    loads_block_ = false;
    const std::vector<ClassEstimates> before = std::exchange(estimates_, {});
    for (std::size_t i = 0; i < set_.classes.size(); ++i) {
      const ClassSettings& c = set_.classes[i];
      loads_block_ = loads_block_ || c.blocked_by_loads;
      const std::size_t from = i < inherits_estimates_from.size() && inherits_estimates_from[i] >= 0
                                   ? static_cast<std::size_t>(inherits_estimates_from[i])
                                   : before.size();
      const ClassEstimates unknown(Seconds(c.latency_objective) / 3 * c.threads,
                                   set_.reports_cost);  // an aim leaves some room
      estimates_.push_back(from < before.size() ? before[from] : unknown);
    }
  }

  // What has used up the attempts now allowed, and waits for another, has its answer.
  void On(const SettingsChanged& retuned) {
    if (!retuned.settings) return;
    set_ = *retuned.settings;
    TakeSettings(retuned.inherits_estimates_from);
    OrderOpen(retuned.inherits_estimates_from);
    std::vector<RequestId> spent;
    for (const auto& [key, group] : held_)
      for (const auto& [work, id] : group)
        if (queries_.at(id).sent >= std::max(1, set_.max_attempts)) spent.push_back(id);
    for (RequestId id : spent) Answer(queries_.at(id));
    for (const auto& [id, e] : engines_)  // further attempts that may not have left yet
      for (RequestId run : e.runs)
        if (Query& q = queries_.at(run); !RepeatSafe(q)) CallOff(q);
  }

  void On(const ProcessShare& beside) { beside_ = std::max(1, beside.parts); }

  void On(const FleetSize& siblings) {
    siblings_ = siblings;
    TakeSiblings();
    ChooseSubset();
  }

  void TakeSiblings() {
    if (siblings_) set_.gateways = siblings_->gateways, set_.self = siblings_->place;
    set_.gateways = std::max(1, set_.gateways);
  }

  void On(const Closing&) {
    std::set<RequestId> open;  // the map has no order of its own
    for (const auto& [id, q] : queries_)
      if (q.where != Where::kDone) open.insert(id);
    for (RequestId id : open) Answer(queries_.at(id));
  }

  // ---- The engine list ----

  void On(const EngineList& list) {
    const bool failed = list.kind == ListKind::kFailed || !list.entries;
    if (failed && set_.list_on_request) out_->push_back(WatchList{true});
    if (failed) return;
    if (list.kind != ListKind::kChange) {
      for (auto& [id, engine] : engines_) engine.listed = false;  // not in a full list: gone
    }
    for (const EngineEntry& entry : *list.entries) Apply(entry);
    std::erase_if(engines_, [](const auto& e) { return !e.second.listed && e.second.runs.empty(); });
    ChooseSubset();
  }

  void ChooseSubset() {
    rankings_.Clear();
    std::vector<EngineId> ready;
    for (auto& [id, e] : engines_) {
      e.near = false;
      if (e.listed && e.entry.readiness == Readiness::kReady) ready.push_back(id);
    }
    sharers_ = subset::Sharers(ready.size(), set_.gateways);
    const auto near = (siblings_ ? subset::ByPlace : subset::ByNumber)(ready, set_.gateways, set_.self);
    for (EngineId id : near) engines_.at(id).near = true;
    near_ = ready.empty() ? 1 : static_cast<double>(near.size()) / static_cast<double>(ready.size());
  }

  void Apply(const EngineEntry& entry) {
    auto [it, fresh] = engines_.try_emplace(entry.engine);
    Engine& e = it->second;
    const bool restarted = !fresh && entry.started_at != e.entry.started_at;
    if (restarted) static_cast<Learned&>(e) = Learned(), e.sent.Restarted();
    e.entry = entry;
    e.listed = entry.readiness != Readiness::kGone;
    const KindSettings kind = entry.kind < set_.kinds.size() ? set_.kinds[entry.kind] : KindSettings();
    e.cores = kind.cores > 0 ? kind.cores : 1;
    e.memory = kind.memory_mb;
    if (fresh || restarted) {
      e.bound = SeedBound(e);
      // Another process, beside or before, may have sent it a whole window's worth just now: from nothing.
      e.cold_at = beside_ > 1 ? now_ : std::max({entry.started_at, now_ - set_.overload_window, born_});
      e.period_start = now_;
    }
  }

  double SeedBound(const Engine& e) const { return std::max(1.0, kSeedFactor * e.cores / set_.gateways); }

  // ---- A request is taken ----

  void On(const Request& request) {
    if (queries_.contains(request.id)) return;
    if (request.class_id >= set_.classes.size()) return out_->push_back(Fail{request.id});
    Query& q = queries_[request.id];
    q.in = request;
    const ClassSettings& c = Class(q);
    q.threads = c.threads;
    q.work = std::max(1e-4, Estimates(q).Work(Seconds(request.est_work)));
    q.aim_at = now_ + c.latency_objective + ToNanos(c.latency_objective_stretch * q.work / q.threads);
    q.deadline = now_ + request.client_timeout;
    q.priority_weight = c.priority_weight * (OverShare(request) ? set_.over_quota_weight_share : 1);
    // What can't be done in time is no demand, however much a client says that it wants.
    demand_ += std::min(q.work, q.threads * Seconds(request.client_timeout)) / kDemandMemory;
    if (set_.attempt_budget) retries_.Taken(now_);
    q.ordered = c.in_order && request.key != 0;
    if (q.ordered) keys_.Join(request.key, request.id);
    Enter(q);
  }

  // Tenants: each has a token bucket of its quota times this gateway's part of the fleet's usual traffic.
  bool OverShare(const Request& request) {
    if (request.tenant >= tenants_.size() || set_.tenants[request.tenant].quota_per_s <= 0) return false;
    const double part = siblings_ ? 1.0 / set_.gateways : std::min(1.0, part_ / kUsualLoad);
    const double allowed = set_.tenants[request.tenant].quota_per_s * part;
    return !tenants_[request.tenant].Take(now_, allowed, kQuotaDepth);
  }

  // ---- Held ----

  double WorthNow(const Query& q) const {
    return q.priority_weight * (q.late ? Class(q).late_weight_share : 1);
  }

  void Hold(Query& q) {
    q.where = Where::kHeld;
    held_[{-WorthNow(q), q.in.class_id}].emplace(q.work, q.in.id);
    Schedule(q, std::min(GiveUpAt(q), q.sent > 0 ? RepeatUntil(q) : kNoLimit));
  }

  void Unhold(Query& q) {
    auto it = held_.find({-WorthNow(q), q.in.class_id});
    if (it == held_.end()) return;
    it->second.erase({q.work, q.in.id});
    if (it->second.empty()) held_.erase(it);
  }

  // The last moment to start a query and still meet its aim, or its deadline once it is late.
  Nanos GiveUpAt(const Query& q) const {
    const Nanos run = ToNanos(q.trial ? Estimates(q).BestTime(q.work) / q.threads : ExpectedSeconds(q));
    if (!q.late) return std::min(q.aim_at, q.deadline - kAnswerMargin) - run;
    return q.deadline - kAnswerMargin - run;
  }

  void Schedule(Query& q, Nanos due) {
    q.due = std::max(due, now_);
    checks_.emplace(q.due, q.in.id);
  }

  void RunChecks() {
    while (!checks_.empty() && checks_.top().first <= now_) {
      auto [due, id] = checks_.top();
      checks_.pop();
      auto it = queries_.find(id);
      if (it == queries_.end() || it->second.due != due) continue;
      Query& q = it->second;
      if (q.where == Where::kOut)
        CheckRunning(q);
      else if (q.where != Where::kDone)
        Overdue(q);
    }
  }

  // A held query's aim has come out of reach: it is worth its late share, or turned away at once.
  void Overdue(Query& q) {
    aim_missed_ = true;
    const bool waits = !q.late && Class(q).late_weight_share >= kMinLateShare;
    if (q.where == Where::kHeld) Unhold(q);
    if (now_ >= RepeatUntil(q)) return Answer(q);  // no further attempt may leave: nothing to wait for
    q.trial = !q.late && TrialDue(q);
    q.late = !q.trial;
    if ((!waits && !q.trial) || GiveUpAt(q) <= now_) return Answer(q);
    if (q.where == Where::kHeld) return Hold(q);
    Schedule(q, GiveUpAt(q));
  }

  // A pace that nothing renews may be long past: as with a circuit breaker that is half open, one goes then.
  bool TrialDue(const Query& q) {
    if (q.trial || now_ - tried_at_[q.in.class_id] < Class(q).latency_objective / kTrials) return false;
    tried_at_[q.in.class_id] = now_;
    return true;
  }

  // ---- Order per key ----

  // A class that has come to keep an order binds its open requests too: what comes next waits for them.
  void OrderOpen(const std::vector<int>& inherits_estimates_from) {
    std::set<RequestId> open;  // in the order in which they were taken
    for (auto& [id, q] : queries_) {
      for (std::size_t i = 0; i < inherits_estimates_from.size() && q.in.key != 0; ++i)
        q.ordered = q.ordered || (set_.classes[i].in_order && inherits_estimates_from[i] == q.in.class_id);
      if (q.ordered) open.insert(id);
    }
    keys_.Clear();
    for (RequestId id : open) keys_.Join(queries_.at(id).in.key, id);
    for (RequestId id : open) {
      Query& q = queries_.at(id);
      if (q.where == Where::kHeld) Unhold(q);
      if (q.where == Where::kHeld || q.where == Where::kInLine) Enter(q);
    }
  }

  void Enter(Query& q) {
    if (!q.ordered) return Hold(q);
    q.where = Where::kInLine;
    Schedule(q, GiveUpAt(q));
    AdvanceKey(q.in.key);
  }

  void AdvanceKey(std::uint64_t key) {
    const std::optional<RequestId> first = keys_.First(key, now_);
    if (first && queries_.at(*first).where == Where::kInLine) Hold(queries_.at(*first));
  }

  void LeaveKey(const Query& q) {
    if (!q.ordered) return;
    keys_.Leave(q.in.key, q.in.id);
    AdvanceKey(q.in.key);
  }

  // ---- The share ----

  // With many gateways the seed at an engine is less than a query. The bound then holds over time and the
  // whole fleet: a gateway earns thread seconds by its own demand and pays for what its attempts took, ahead
  // as expected. Harm: after a burst of its own it waits although engines have room.
  void Earn(double seconds) {
    double cores = 0, near = 0;
    recent_ *= std::exp(-seconds / limits::SentLoad::kRecentSeconds);
    for (auto& [id, e] : engines_) {
      e.sent.Pass(seconds, e.cores * Speed(e) / Sharing());
      cores += e.listed ? e.cores : 0, near += e.near ? e.cores : 0;
    }
    heaviest_ = 0;
    for (const ClassEstimates& c : estimates_) heaviest_ = std::max(heaviest_, c.mean_work());
    heavy_earning_ = 0;
    for (std::size_t i = 0; i < estimates_.size(); ++i)
      if (!Light(i)) heavy_earning_ = std::max(heavy_earning_, Earning(i));
    demand_ *= std::exp(-seconds / kDemandMemory);
    if (!earning_) demand_ = kUsualLoad * cores / set_.gateways;
    // In an overload demands, clients' repeats among them, add up to more than the fleet; slow answers tell.
    const double load = demand_ / std::max(1.0, near);
    part_ = std::min(1.0, load / std::max(1.0, fleet_latency_));
    home_load_ = std::max(kHomeLoad, 1 / std::max(0.1, load * Sharing())) / std::max(1.0, near);
    const double share = kSeedFactor * demand_, most = kMaxCredit * std::max(share, heaviest_);
    if (!earning_) credit_ = Random() * most;
    earning_ = earning_ || cores > 0;
    credit_ = std::clamp(credit_ + share * seconds, -most, most);
  }

  // Without credit a heavy query needs an engine seen to be idle, or, with no reports, a fleet at its best.
  bool MayAfford(const Query& q, const Engine& e) const {
    if (credit_ > 0 || (Class(q).holds_tables && Earning(q.in.class_id) >= heavy_earning_)) return true;
    if (!promise_.promised() || e.load.Silent()) return fleet_latency_ < kFleetPressed;
    if (!e.load.Fresh(now_)) return set_.may_probe;  // it will be asked first
    return Level(e) + q.threads <= kIdleLevel * e.cores;
  }

  // ---- Release: highest worth first, while an engine can take the query ----

  void Release() {
    for (const std::uint64_t key : keys_.Rested(now_)) AdvanceKey(key);
    if (held_.empty()) return;
    if (AllOutByHand()) return AnswerHeld();
    std::vector<RequestId> sent;
    for (auto& [key, group] : held_) {
      int left = kTries;
      for (auto it = group.begin(); it != group.end() && left > 0; ++it) {
        Query& q = queries_.at(it->second);
        if (!MaySendAgain(q)) continue;  // what waits for the budget holds up no first attempt
        Engine* e = Choose(q);
        left -= e == nullptr;
        if (e == nullptr) continue;
        Dispatch(q, *e);
        sent.push_back(q.in.id);
      }
    }
    for (RequestId id : sent) Unhold(queries_.at(id));
    if (!held_.empty()) held_seen_ = true;
  }

  // Nobody knows when operators take an engine back: waiting would hold up the client for nothing.
  bool AllOutByHand() const {
    bool by_hand = false;
    for (const auto& [id, e] : engines_) {
      if (e.listed && e.entry.readiness == Readiness::kReady) return false;
      by_hand = by_hand || (e.listed && e.entry.readiness == Readiness::kExcluded);
    }
    return by_hand;
  }

  void AnswerHeld() {
    while (!held_.empty()) Answer(queries_.at(held_.begin()->second.begin()->second));
  }

  // Budget of further attempts, and the window in which a keyed request's repeats are discarded.
  bool MaySendAgain(const Query& q) {
    if (q.sent == 0 || !set_.attempt_budget) return true;
    return retries_.Allows(*set_.attempt_budget, beside_, kBeat, now_);
  }

  bool RepeatSafe(const Query& q) const { return now_ <= RepeatUntil(q); }

  // Until when a further attempt may leave for an engine: a keyed one has to come within its window.
  Nanos RepeatUntil(const Query& q) const {
    if (q.maybe_ran_at < 0 || Class(q).effect == Effect::kSafe) return kNoLimit;
    return Class(q).effect == Effect::kKeyed ? q.maybe_ran_at + Class(q).repeat_window - kAnswerMargin : -1;
  }

  bool Allowed(const Query& q, const Engine& e) const {
    if (!limits::PlacementAllows(Class(q), e.entry)) return false;
    if (Class(q).effect != Effect::kKeyed || q.maybe_ran_at < 0) return true;
    return limits::SharesRepeats(Class(q).group, q.maybe_engine, e.entry);
  }

  // An engine started lately gets a budget of work for every fall window, and this gateway its part of the
  // fleet's demand of it: seldom a whole query. So a send needs a random part of its charge, drawn anew in
  // each window. Nothing is saved up: an engine left alone for a while would be rushed by all gateways.
  bool ColdRoom(Engine& e, const Query& q) {
    if (!Cold(e)) return true;
    const double earned = ColdRate(e) * ColdPart(e) / beside_;
    e.cold_credit =
        std::min(e.cold_credit + earned * Seconds(now_ - e.cold_at), earned * Seconds(set_.overload_window));
    e.cold_at = now_;
    if (now_ > e.cold_drawn + set_.overload_window) e.cold_part = Random(), e.cold_drawn = now_;
    return e.cold_credit >= e.cold_part * ColdCharge(e, q);
  }

  // Those whose subsets hold the engine share most of it, by their traffic or evenly, all others the rest.
  double ColdPart(const Engine& e) const {
    if (siblings_) return e.near ? kNearPart / sharers_ : (1 - kNearPart) / set_.gateways;
    if (near_ >= 1) return part_;
    return part_ * (e.near ? kNearPart : std::min(1.0, (1 - kNearPart) * near_ / (1 - near_)));
  }

  bool Cold(const Engine& e) const {
    if (set_.overload_window <= 0 || set_.overload_factor <= 0 || e.entry.started_at <= 0) return false;
    return now_ - e.entry.started_at <= set_.slow_start_duration + set_.overload_window;
  }

  double ColdRate(const Engine& e) const {
    return kColdSafety * set_.overload_factor * limits::ColdShare(set_, now_ - e.entry.started_at) * e.cores;
  }

  // None counts as less than its class: the lightest leave first. A mean of costs never told is a guess.
  double ColdCharge(const Engine& e, const Query& q) {
    const double work =
        std::max(q.work, Estimates(q).mean_work()) * (set_.reports_cost || Light(q) ? 1 : kUntold);
    return limits::ChanceCharge(work, ColdRate(e) * Seconds(set_.overload_window), kColdDeviations);
  }

  bool Pressed(const Engine& e, const Query& q) {
    return e.latency > kPressureLatency || Level(e) + q.threads > kSeedFactor * e.cores;
  }

  // Heavy queries leave memory to the light ones, which would else stand in line behind them or spill.
  bool MemoryRoom(const Engine& e, const Query& q) {
    const auto granted = e.load.MemoryGranted(static_cast<double>(e.runs.size()), sharers_);
    const double most = kOwnGrant * (Light(q) ? 1 : kMemoryFill);
    if (granted && q.in.est_memory_mb <= 0 && *granted > most) return false;
    const double others = e.load.Fresh(now_) ? Others(e) * mean_memory_ : 0;
    if (Light(q) || (e.runs.empty() && others == 0)) return true;
    return e.memory <= 0 || e.sent.memory_mb() + others + Need(q) <= kMemoryFill * e.memory;
  }

  double Others(const Engine& e) const { return e.load.Others(static_cast<double>(e.runs.size()), sharers_); }

  // Threads at an engine, those of other gateways' queries as reported counted like our own mean query's.
  double Level(const Engine& e) const {
    return e.sent.threads() + (e.load.Fresh(now_) ? Others(e) * mean_threads_ : 0);
  }

  // How much slower the engine answers than the fleet: so that a slow engine's bound doesn't stay high.
  double Speed(const Engine& e) const {
    return e.samples == 0 ? 1 : std::clamp(fleet_latency_ / std::max(e.latency, 1e-3), kSlowest, 1.0);
  }

  bool Takes(const Query& q, Engine& e) {
    if (!e.listed || e.entry.readiness != Readiness::kReady || e.breaker.IsOpen(now_)) return false;
    if (!Allowed(q, e) || LoadsGroup(q, e) || !ColdRoom(e, q)) return false;
    if (Erred(q, e) && AnotherIsLeft(q)) return false;
    if (e.breaker.OnTrial() && !e.runs.empty()) return false;
    if (!GoesFirst(q) && !MayAfford(q, e)) return false;
    if (!MemoryRoom(e, q)) return false;
    if (!Pressed(e, q)) return true;
    // Running none of ours: free to go, but for a heavy query where others, as reported, have filled it.
    if (e.runs.empty()) return Light(q) || Level(e) <= 0 || Level(e) + q.threads <= kCrowded * e.cores;
    return e.sent.threads(Light(q)) + q.threads / 2 <= e.bound * Speed(e);
  }

  static bool Erred(const Query& q, const Engine& e) {
    return std::count(q.erred.begin(), q.erred.end(), e.entry.engine) > 0;
  }

  // An engine that fails fast looks idle while the others are busy: it must not get all that it has failed
  // again.
  bool AnotherIsLeft(const Query& q) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto& other) {
      const Engine& e = other.second;
      const bool ready = e.listed && e.entry.readiness == Readiness::kReady && !e.breaker.IsOpen(now_);
      return ready && Allowed(q, e) && !Erred(q, e);
    });
  }

  // Light classes are counted apart, so that a few long queries don't shut out the many short ones.
  bool Light(const Query& q) const { return Light(q.in.class_id); }
  bool Light(std::size_t class_id) const { return estimates_[class_id].mean_work() <= kLight * heaviest_; }

  // Worth of a thread second.
  double Earning(std::size_t class_id) const {
    return set_.classes[class_id].priority_weight / std::max(1e-6, estimates_[class_id].mean_work());
  }

  // Light queries go ahead of heavy ones without credit, unless a heavy class makes more of the engines'
  // time.
  bool GoesFirst(const Query& q) const { return Light(q) && Earning(q.in.class_id) >= heavy_earning_; }

  // The lighter of two random eligible engines, joined by the home of the query's table group.
  Engine* Choose(const Query& q) {
    if (!RepeatSafe(q)) return nullptr;
    std::vector<Engine*> able;
    for (const bool near : {true, false}) {  // beyond the subset only when none in it can take the query
      for (auto& [id, e] : engines_)
        if (e.near == near && Takes(q, e)) able.push_back(&e);
      if (!able.empty()) break;
    }
    if (able.empty()) return nullptr;
    RankFor(q, able);
    if (q.sent > 0 && able.size() > 1)  // elsewhere first
      std::erase_if(able, [&q](const Engine* e) { return e->entry.engine == q.engine; });
    if (able.empty() || (!Light(q) && !Inform(able))) return nullptr;
    std::swap(able[0], able[Pick(able.size())]);
    if (able.size() > 1) std::swap(able[1], able[1 + Pick(able.size() - 1)]);
    Engine* best = nullptr;
    double weight = 0;
    for (std::size_t i = 0; i < able.size(); ++i) {
      if (i >= 2 && (able[i]->rank >= kHomes || !HomeRoom(*able[i], Random() * q.work))) continue;
      const double w = Weight(q, *able[i]);
      if (best == nullptr || w < weight) best = able[i], weight = w;
    }
    return best;
  }

  // A home is preferred up to what fills it, by this gateway's part of all: consistent hashing with bounded
  // loads (Mirrokni, Thorup, Zadimoghaddam 2018).
  double Sharing() const { return std::max(1.0, near_ * set_.gateways); }  // gateways that send to one engine
  bool HomeRoom(const Engine& e, double work) {
    return e.sent.recent() + work <= home_load_ * recent_ * e.cores;
  }

  // Heavy queries go where a fresh report tells of the load; engines are probed where answers bring too few.
  // One that doesn't report, though the settings promise it, is taken as it is, and asked now and then. None
  // waits for the turn of the next probe: one engine a beat is too little where many heavy queries come.
  bool Inform(std::vector<Engine*>& able) {
    if (!set_.may_probe || !promise_.promised()) return true;
    const std::vector<Engine*> all = able;
    std::vector<Engine*> unknown, silent;
    for (Engine* e : able)
      if (!e->load.Fresh(now_)) (e->load.Silent() ? silent : unknown).push_back(e);
    std::erase_if(able, [&](const Engine* e) { return !e->load.Fresh(now_) && !e->load.Silent(); });
    if (able.size() < kProbed && !unknown.empty()) Ask(unknown, probe_at_, kProbeBeat);
    if (!silent.empty() && !promise_.in_answers) Ask(silent, silent_at_, kSilentBeat);
    const auto longer = [](const auto& group) { return group.second.size() > kTries; };
    const bool asked = now_ < probe_at_ - kProbeBeat + kProbeWait;
    const bool many = std::any_of(held_.begin(), held_.end(), longer);
    const bool spared = credit_ > 0 || fleet_latency_ < kFleetPressed;  // as where no reports are promised
    const bool never = !silent.empty() && !reported_;  // else the first found silent would get all
    if ((able.empty() && !asked && many && spared) || never) able = all;
    return !able.empty();
  }

  void Ask(const std::vector<Engine*>& engines, Nanos& due, Nanos beat) {
    if (now_ < due) return;
    due = now_ + beat;
    out_->push_back(Probe{engines[Pick(engines.size())]->entry.engine});
  }

  void On(const Probed& probed) {
    auto it = engines_.find(probed.engine);
    if (it != engines_.end()) TakeReport(it->second, probed.load, true);
  }

  std::size_t Pick(std::size_t n) { return std::min(n - 1, static_cast<std::size_t>(Random() * n)); }

  // All gateways rank the engines alike for a table group, by rendezvous hashing (Thaler and Ravishankar
  // 1998). The first are its home, kept warm by readers; the last take its loads, unseen by other gateways.
  void RankFor(const Query& q, std::vector<Engine*>& able) {
    const std::size_t ranked =
        rankings_.Rank(engines_, subset::Mix(q.in.tables), [&](const Engine& e) { return Allowed(q, e); });
    const bool load = Class(q).holds_tables;
    const std::size_t readers = ranked - static_cast<std::size_t>(kLoadSide * ranked);
    if (ranked >= kMinEnginesToSplit && (load ? loads_block_ : Class(q).blocked_by_loads))
      std::erase_if(able, [&](const Engine* e) { return load == (e->rank < readers); });
    // Loads of one group stand still behind each other: each gateway begins with engines that are its alone.
    const auto others = [this](const Engine* e) { return (e->rank + set_.self) % set_.gateways != 0; };
    if (load && !std::all_of(able.begin(), able.end(), others)) std::erase_if(able, others);
  }

  // A load that would stand still there behind one of ours, with its memory granted, is better held.
  bool LoadsGroup(const Query& q, const Engine& e) const {
    return Class(q).holds_tables && std::any_of(e.runs.begin(), e.runs.end(), [&](RequestId id) {
             const Query& r = queries_.at(id);
             return Class(r).holds_tables && r.in.tables == q.in.tables;
           });
  }

  double Weight(const Query& q, Engine& e) {
    double running = 0, overdue = 0;
    for (RequestId id : e.runs) {
      const Query& r = queries_.at(id);
      const double progress = Seconds(now_ - r.sent_at) / std::max(1e-3, ExpectedSeconds(r));
      running += r.work * std::max(0.3, 1 - progress);
      overdue += progress > kOverdue;
    }
    running += e.sent.backlog() + (e.load.Fresh(now_) ? Others(e) : others_mean_) * mean_run_;
    const bool warm = e.warm.Holds(q.in.tables) || (e.rank < kHomes && !Class(q).holds_tables);
    double own = q.work / q.threads * (warm ? 1 - kWarmGain : 1);
    // Overdue attempts tell of a sick engine before its answers do; one that hangs some answers others fast.
    const double hangs = Light(q) ? 0 : kHungCost * std::max(0.0, e.hung - fleet_hung_ - kHungNoise);
    return (running / e.cores + own) / Speed(e) * (1 + overdue + hangs);
  }

  double Need(const Query& q) const { return Estimates(q).MemoryMb(q.in.est_memory_mb); }

  void Dispatch(Query& q, Engine& e) {
    const double need = Need(q);
    const double grant =
        set_.honors_memory_grants && e.memory > 0 ? std::min(need, set_.max_grant_share * e.memory) : 0;
    const int priority = !set_.honors_priorities ? 1 : q.late ? 0 : Light(q) ? 3 : 2;
    if (grant > 0 || priority != 1) out_->push_back(ResourceGrant{q.in.id, priority, grant});
    out_->push_back(Send{q.in.id, e.entry.engine, 0, RepeatUntil(q)});
    if (q.sent > 0 && set_.attempt_budget) retries_.Retried(now_);
    ++q.sent;
    q.out = true;
    tried_at_[q.in.class_id] = now_;
    q.cancelled = false;
    q.engine = e.entry.engine;
    q.sent_at = now_;
    q.charge = {Light(q), q.threads, need, q.work};
    q.charged = ExpectedSeconds(q) * q.threads;
    credit_ -= q.charged;
    e.runs.insert(q.in.id);
    e.sent.Sent(q.charge), recent_ += q.work;
    if (Cold(e)) e.cold_credit -= ColdCharge(e, q);
    e.warm.Read(q.in.tables);
    q.where = Where::kOut;
    q.due = 0;
    CheckRunning(q);
  }

  // ---- Running ----

  // How long an attempt should take at the fleet's present pace.
  double ExpectedSeconds(const Query& q) const { return Estimates(q).Time(q.work) / q.threads; }

  Nanos RunawayAfter(const Query& q) {
    if (!set_.may_cancel || !MayRepeat(q) || (set_.progress_every > 0 && !Light(q))) return 0;
    const double spread = std::exp(kRunawaySpread * Estimates(q).deviation());
    const double most = Light(q) ? std::clamp(spread, kRunawayLight, kMaxRunawayFactor) : kMaxRunawayFactor;
    const double times = std::clamp(1.5 * spread, kMinRunawayFactor, most);
    if (Class(q).effect != Effect::kKeyed) return ToNanos(ExpectedSeconds(q) * times);
    const auto e = engines_.find(q.engine);  // a cold one has a pace of its own
    const bool known = Estimates(q).known() && e != engines_.end() && !Cold(e->second);
    const double keyed = known ? std::max(times, kRunawayKeyed) : HUGE_VAL;
    const Nanos last = LastRepeat(q) - q.sent_at;  // what is expected to last longer isn't called off there
    return ToNanos(ExpectedSeconds(q)) > last ? 0 : std::min(ToNanos(ExpectedSeconds(q) * keyed), last);
  }

  // A keyed attempt may be called off only while its repeat is still discarded and its key's rest counted.
  Nanos LastRepeat(const Query& q) const {
    const Nanos from = q.maybe_ran_at >= 0 ? q.maybe_ran_at : q.sent_at;
    return from + Class(q).repeat_window - set_.order_settle - 4 * kBeat - kAnswerMargin;
  }

  bool MayRepeat(const Query& q) const {
    if (Class(q).effect != Effect::kKeyed) return Class(q).effect == Effect::kSafe;
    return now_ <= LastRepeat(q) + 2 * kBeat;
  }

  // An attempt that runs far past what its query should need is cancelled and tried elsewhere while that can
  // be in time; a query that has been so twice is heavy itself. Harm: in an overload it throws work away.
  void CheckRunning(Query& q) {
    const Nanos after = RunawayAfter(q);
    if (after > 0 && now_ < q.sent_at + after) return Schedule(q, q.sent_at + after);
    if (after > 0) Restart(q);
  }

  bool Restart(Query& q) {
    if (!set_.may_cancel || !MayRepeat(q) || q.kills >= kKills || q.sent >= set_.max_attempts) return false;
    if (now_ + ToNanos(ExpectedSeconds(q)) > q.deadline - kAnswerMargin) return false;
    ++q.kills;
    CallOff(q);
    return true;
  }

  void CallOff(Query& q) {
    if (set_.may_cancel && !q.cancelled) out_->push_back(Cancel{q.in.id, q.sent - 1});
    q.cancelled = true;
  }

  void On(const ProgressNotice& note) {
    auto it = queries_.find(note.id);
    if (it == queries_.end() || !it->second.out || note.attempt != it->second.sent - 1) return;
    Query& q = it->second;
    if (note.kind != NoticeKind::kProgress || q.where != Where::kOut || q.cancelled) return;
    const double elapsed = Seconds(now_ - q.sent_at);
    const double whole = elapsed / std::clamp(note.amount, 0.002, 1.0);
    const bool hopeless = now_ + ToNanos((whole - elapsed) * 0.9) > q.deadline;
    const bool runaway = hopeless || whole > ExpectedSeconds(q) * kRunawayNoted;
    const bool again = q.kills > 0 && whole > kSameAgain * q.projected;
    if (runaway && !again && Restart(q))
      q.projected = whole;
    else if (hopeless && elapsed > 0.4)
      Answer(q);
  }

  // ---- An attempt has ended ----

  void On(const AttemptEnded& end) {
    auto it = queries_.find(end.id);
    if (it == queries_.end() || !it->second.out || end.attempt != it->second.sent - 1) return;
    Query& q = it->second;
    q.out = false;
    const Outcome how = end.outcome;
    const bool ran = how != Outcome::kFull && how != Outcome::kConnectFailed && how != Outcome::kNotSent;
    if (auto e = engines_.find(q.engine); e != engines_.end()) {
      Settle(q, e->second, end);
      if (ran && q.maybe_ran_at < 0) q.maybe_engine = e->second.entry;
    }
    if (ran && q.maybe_ran_at < 0) q.maybe_ran_at = q.sent_at;
    const bool unknown = ran && how != Outcome::kOk && how != Outcome::kError;
    if (unknown && q.ordered) keys_.RestUntil(q.in.key, now_ + set_.order_settle);
    if (end.finished || q.where == Where::kDone) return Forget(q);
    // Another attempt, or the final answer at once.
    const bool in_time = now_ < q.deadline - kAnswerMargin - ToNanos(q.work / q.threads);
    const bool hopeless = q.sent >= set_.max_attempts || q.erred.size() >= kMaxEnginesInError;
    if (!in_time || hopeless || !RepeatSafe(q)) return Answer(q);
    q.late = q.late || now_ > q.aim_at;
    Enter(q);
  }

  void Settle(Query& q, Engine& e, const AttemptEnded& end) {
    e.runs.erase(q.in.id);
    // The mix that is found running: each query counts for as long as it ran.
    const double ran = Seconds(now_ - q.sent_at);
    credit_ += q.charged - ran * q.threads;
    const double weight = std::min(0.3, kSlow * ran);
    Blend(mean_run_, q.work / 2, weight);
    Blend(mean_threads_, q.threads, weight);
    Blend(mean_memory_, q.charge.memory_mb, weight);
    const Outcome how = end.outcome;
    e.sent.Ended(q.charge, how == Outcome::kCancelled || how == Outcome::kTimeout || how == Outcome::kLost);
    TakeReport(e, end.load, promise_.in_answers && how == Outcome::kOk);
    if (how == Outcome::kOk) Served(q, e, end), Blame(q);
    if (how == Outcome::kFull) e.period.full = true, e.breaker.RestUntil(now_ + kFullFor);
    if (how == Outcome::kError) q.erred.push_back(q.engine);
    if (how == Outcome::kLost) Failed(e, kLostWeight);
    if (how == Outcome::kTimeout && now_ < q.deadline - kAnswerMargin) Failed(e, kBrokenWeight);
    const bool hung = how == Outcome::kCancelled && q.kills > 0 && q.where != Where::kDone;
    if (hung) Blend(e.latency, std::min(20.0, 3 * e.latency), kFast), Failed(e, kErrorWeight);
    if (q.charge.light && (hung || how == Outcome::kOk))
      Blend(e.hung, hung, kHungWeight), Blend(fleet_hung_, hung, kHungWeight / 4);
    if (how == Outcome::kConnectFailed || how == Outcome::kReset) Failed(e, kBrokenWeight);
  }

  void TakeReport(Engine& e, const LoadReport& load, bool due) {
    if (e.load.Take(promise_, load, static_cast<double>(e.runs.size()), now_))
      Blend(others_mean_, e.load.others(), kFast), reported_ = true;
    else if (due)
      e.load.Missed();
  }

  void Served(Query& q, Engine& e, const AttemptEnded& end) {
    e.breaker.Succeeded(kErrorWeight);
    const double told = Seconds(end.work);
    const double ratio = estimates_[q.in.class_id].Learn({.estimated_work = Seconds(q.in.est_work),
                                                          .told_work = told,
                                                          .time = Seconds(end.waited) * q.threads,
                                                          .estimated_memory_mb = q.in.est_memory_mb,
                                                          .told_memory_mb = end.memory_mb,
                                                          .trial = q.trial});
    Blend(e.latency, std::min(ratio, 20.0), std::max(kFast, 1.0 / (++e.samples + 3)));
    Blend(fleet_latency_, std::min(ratio, 20.0), kFast);
    e.period.work += told > 0 ? told : q.work;
    e.period.latency += ratio;
    ++e.period.count;
  }

  // An error is the engine's only where another serves the query: what no engine can use must eject none.
  void Blame(const Query& q) {
    for (auto& [id, e] : engines_)
      if (id != q.engine && Erred(q, e)) Failed(e, kErrorWeight);
  }

  // Failures, fast ones above all, must not pass for low load: an engine that fails a share of its attempts
  // is ejected for a backoff, and again by its next failure until good answers have brought the share down.
  void Failed(Engine& e, double weight) {
    if (!e.breaker.Failed(weight, now_)) return;
    double out = 1, all = 0;
    for (const auto& [id, other] : engines_) {
      all += other.listed;
      out += other.listed && other.breaker.IsOpen(now_);
    }
    if (out > kMaxEjectedShare * all) return;  // the trouble is not this engine's own
    e.breaker.Open(now_, 0.8 + 0.4 * Random());
    out_->push_back(LogLine{"engine " + std::to_string(e.entry.engine) + " ejected: attempts fail"});
  }

  // ---- Feedback on the bound (Schroeder et al., section 4.3; DESIGN-lemoncroft.md) ----

  void ClosePeriods() {
    for (auto& [id, e] : engines_) {
      const Nanos length = now_ - e.period_start;
      const bool due = (held_seen_ && length >= e.period_length) || e.period.count >= kPeriodCount;
      if (!due || length <= 0) continue;
      StepBound(e, Seconds(length));
      e.period_start = now_;
      e.period_length = static_cast<Nanos>(kPeriod * (1 + kPeriodJitter * (2 * Random() - 1)));
      e.period = Period();
    }
    if (now_ - flags_at_ >= kPeriod) held_seen_ = aim_missed_ = false, flags_at_ = now_;
  }

  void StepBound(Engine& e, double seconds) {
    const double seed = SeedBound(e), step = std::max(1.0, seed * kStepShare);
    const double throughput = e.period.work / seconds;
    const double latency = e.period.count > 0 ? e.period.latency / e.period.count : e.last_latency;
    const bool gained = throughput >= e.last_throughput * (1 + kThreshold);
    const bool slower = e.last_latency > 0 && latency > e.last_latency * (1 + kThreshold);
    const double floor = !aim_missed_ && !e.period.full ? seed : 1.0;
    if (e.stepped_up && (!gained || e.period.full)) {  // the step up did not pay: taken back, whatever waits
      e.bound = std::max(1.0, e.bound - step);
      e.stepped_up = false;
    } else if (held_seen_ && !e.period.full) {
      e.bound += step;
      e.stepped_up = true;
    } else if (!held_seen_ || !(aim_missed_ || slower)) {
      e.bound = std::max(floor, e.bound - step);
    }
    e.last_throughput = throughput;
    e.last_latency = latency;
  }

  // ---- The final answer ----

  // Given up: refused where that is a safe thing to say, else failed; what still runs is called off.
  void Answer(Query& q) {
    Unhold(q);
    const bool maybe_ran = q.maybe_ran_at >= 0 || q.out;
    if (Class(q).effect == Effect::kSafe || !maybe_ran)
      out_->push_back(RejectRequest{q.in.id, set_.may_send_retry_after ? set_.max_retry_after : 0});
    else
      out_->push_back(Fail{q.in.id});
    Forget(q);
  }

  // State ends with its request; an attempt still out is called off and keeps it until its outcome comes.
  void Forget(Query& q) {
    q.where = Where::kDone;
    if (q.out) return CallOff(q);
    const Query gone = q;
    queries_.erase(gone.in.id);
    LeaveKey(gone);
  }

  void On(const DeadlineReached& reached) {
    auto it = queries_.find(reached.id);
    if (it != queries_.end() && it->second.where != Where::kDone) Answer(it->second);
  }

  void On(const ClientGone& gone) {
    auto it = queries_.find(gone.id);
    if (it == queries_.end() || it->second.where == Where::kDone) return;
    Query& q = it->second;
    Unhold(q);
    Forget(q);
  }

  void On(const StreamStarted& start) {
    auto it = queries_.find(start.id);
    if (it != queries_.end()) it->second.due = 0;  // the attempt is the client's now: no more checks
  }
  void On(const auto&) {}  // nothing to learn: a message, a timer

  Settings set_;
  std::mt19937_64 random_;
  std::vector<Action>* out_ = nullptr;
  std::map<EngineId, Engine> engines_;
  subset::RankingCache<Engine> rankings_;
  std::unordered_map<RequestId, Query> queries_;  // looked up only, never walked
  // Held queries by worth, highest first, and class; within these the lightest first, then the oldest.
  using Group = std::pair<double, std::uint16_t>;
  std::map<Group, std::set<std::pair<double, RequestId>>> held_;
  limits::KeyQueues keys_;
  using Check = std::pair<Nanos, RequestId>;
  std::priority_queue<Check, std::vector<Check>, std::greater<>> checks_;
  std::vector<ClassEstimates> estimates_;
  std::vector<limits::TokenBucket> tenants_;
  std::vector<Nanos> tried_at_;  // when an attempt of the class last left
  limits::RetryBudget retries_;
  double fleet_latency_ = 1, fleet_hung_ = 0, others_mean_ = 0, mean_run_ = 0.1, mean_threads_ = 1,
         mean_memory_ = 0;
  bool held_seen_ = false, aim_missed_ = false, loads_block_ = false;
  double demand_ = 0, credit_ = 0, part_ = 0, heaviest_ = 0;
  double near_ = 1;                    // share of the engines in the subset
  double recent_ = 0, home_load_ = 0;  // thread seconds sent lately; most of it to a home, a core
  double heavy_earning_ = 0;  // worth of a thread second in the best of the classes that aren't light
  bool earning_ = false, reported_ = false;  // an engine has told its load at least once
  int beside_ = 1;                           // parts that the budgets of this gateway are divided by
  std::optional<FleetSize> siblings_;        // none: what the settings tell
  int sharers_ = 1;                          // gateways that have one engine in their subsets, at the most
  reports::Promise promise_;
  Nanos now_ = -1, probe_at_ = -kSecond, silent_at_ = -kSecond, flags_at_ = 0, wake_at_ = -1,
        born_ = -1;  // born_: the first step
};

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

std::vector<EngineId> Gateway::Avoided(Nanos now) const { return impl_->Avoided(now); }

void Gateway::Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->Step(now, events, actions);
}

}  // namespace lemoncroft
