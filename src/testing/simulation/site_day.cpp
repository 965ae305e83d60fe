#include "testing/simulation/site_day.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

#include "decision/subset/subset.h"
#include "testing/simulation/query_engine.h"
#include "testing/simulation/site_invariant_checker.h"

namespace lemoncroft::simulation {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;
constexpr Nanos kStart = 1000 * kSecond;  // start of the day on the deciders' clock
constexpr Nanos kWarmEngineStart = 0;     // start time of the engines that are warm from the beginning
constexpr Nanos kAttemptDeadlineMargin = 30 * kMs;  // an attempt ends this long before the client's deadline
constexpr Nanos kIdleCheckInterval = 100 * kMs;
constexpr Nanos kMaxListDelay = 500 * kMs;  // until a change of the endpoint list reaches every gateway
constexpr Nanos kDrainAt = 10 * kSecond;    // one engine begins to drain
constexpr Nanos kRemoveAt = 15 * kSecond;   // the engine is removed
constexpr Nanos kRestartAt = 17 * kSecond;  // the engine starts again, cold
constexpr Nanos kReportsStopAt = 10 * kSecond;
constexpr double kWorkDeviation = 0.7;                 // standard deviation of the logarithm of the work
constexpr double kMemoryDeviation = 0.4;               // likewise, of the memory
constexpr double kGoodEstimateDeviation = 0.1;         // likewise, of good estimates
constexpr double kRoughWorkEstimateDeviation = 0.6;    // likewise, of rough estimates of the work
constexpr double kRoughMemoryEstimateDeviation = 0.3;  // likewise, of rough estimates of the memory
constexpr double kGrantMargin = 1.25;                  // ratio of an engine's own grant to the estimate
constexpr double kDefaultGrantFactor = 1.5;  // ratio of the grant to the class's mean, without an estimate
constexpr double kAbandonedShare = 0.005;    // share of requests whose client cancels early
constexpr std::uint32_t kMinTableGroups = 16;
constexpr double kLoadsPerTableGroup = 0.2;  // mean number of concurrent loads of a table group
constexpr double kDiscardedWork = 0.001;     // core-seconds of a repeated attempt that an engine discards
constexpr double kProgressNoise = 0.2;       // maximum relative error of a progress notice

// A fault of an attempt. FaultShare gives its share of all attempts.
enum class Fault { kNone, kError, kReset, kConnectFailed, kSilent, kLost };
struct FaultShare {
  Fault fault;
  double share;
};
constexpr FaultShare kFaults[] = {{Fault::kError, 0.004},
                                  {Fault::kReset, 0.002},
                                  {Fault::kConnectFailed, 0.002},
                                  {Fault::kSilent, 0.001},
                                  {Fault::kLost, 0.001}};
constexpr Nanos kErrorAfter = 20 * kMs;
constexpr Nanos kResetAfter = 50 * kMs;
constexpr Nanos kConnectFailedAfter = 5 * kMs;

Nanos ToNanos(double seconds) { return static_cast<Nanos>(seconds * 1e9); }
double Seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

double Uniform(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

// Returns the fault of an attempt. It is the same for every decider.
Fault FaultOf(RequestId id, int attempt) {
  double pick = Uniform(subset::Mix(subset::Mix(id) + static_cast<std::uint64_t>(attempt)));
  for (const FaultShare& f : kFaults) {
    if (pick < f.share) return f.fault;
    pick -= f.share;
  }
  return Fault::kNone;
}

class SiteDay {
 public:
  SiteDay(const Site& site, Nanos length, std::uint64_t seed, const DeciderFactory& decider)
      : site_(site), length_(length), random_(seed), checker_(site) {
    result_.classes.resize(site.settings.classes.size());
    ChooseTableGroups();
    for (std::size_t i = 0; i < site.engines.size(); ++i)
      engines_.push_back(std::make_unique<QueryEngine>(site.traits[i], kWarmEngineStart));
    for (int i = 0; i < site.settings.gateway_count; ++i) AddGateway(i, seed, decider);
    if (site.restarted_engine) PlanRestart();
  }

  DayResult Run() {
    const Nanos longest_timeout = LongestClientTimeout();
    for (now_ = kStart; now_ < kStart + length_ || checker_.open_count() > 0; now_ += site_.settings.tick) {
      if (now_ > kStart + length_ + longest_timeout + kSecond) break;
      AdvanceEngines();
      RunTimeline();
      if (now_ < kStart + length_) SubmitArrivals();
      StepGateways();
      if ((now_ - kStart) % kIdleCheckInterval == 0) CheckIdle();
    }
    result_.violation_count = checker_.violation_count();
    result_.violations = checker_.violations();
    return result_;
  }

 private:
  struct SimulatedGateway {
    std::unique_ptr<Decider> decider;
    std::vector<Event> events;
  };
  struct Attempt {
    EngineId engine = 0;
    Nanos sent_at = 0;
    bool in_flight = true;
    Fault fault = Fault::kNone;
    Outcome outcome = Outcome::kOk;
  };
  struct ActiveRequest {
    Request request;
    int gateway = 0;
    Nanos submitted_at = 0;
    Nanos deadline = 0;
    double work = 0;
    double memory_mb = 0;
    ResourceGrant grant;
    std::vector<Attempt> attempts;
    bool finished = false;  // it has a response, or its client has left
  };

  // ---- Setup ----

  void ChooseTableGroups() {
    double loads = 0;  // mean number of concurrent loads
    for (std::size_t i = 0; i < site_.traffic.size(); ++i) {
      const ClassTraffic& t = site_.traffic[i];
      const ClassSettings& c = site_.settings.classes[i];
      if (c.holds_tables) loads += site_.request_rate * t.share * t.work / c.threads;
    }
    table_groups_ = std::max(kMinTableGroups, static_cast<std::uint32_t>(loads / kLoadsPerTableGroup));
  }

  void AddGateway(int index, std::uint64_t seed, const DeciderFactory& decider) {
    Settings settings = site_.settings;
    settings.gateway_index = index;
    settings.zone = site_.engines[static_cast<std::size_t>(index) % site_.engines.size()].zone;
    SimulatedGateway gateway;
    gateway.decider = decider(settings, seed + 1 + static_cast<std::uint64_t>(index));
    gateways_.push_back(std::move(gateway));
    SendEndpointList(index, ListKind::kFull, site_.engines);
  }

  void SendEndpointList(int gateway, ListKind kind, const std::vector<EngineEntry>& entries) {
    const auto list = std::make_shared<const std::vector<EngineEntry>>(entries);
    gateways_[static_cast<std::size_t>(gateway)].events.push_back(EngineList{kind, list});
    checker_.EndpointsListed(now_, gateway, entries);
  }

  Nanos LongestClientTimeout() const {
    Nanos longest_timeout = 0;
    for (const ClassSettings& c : site_.settings.classes)
      longest_timeout = std::max(longest_timeout, c.client_timeout);
    return longest_timeout;
  }

  // ---- The engine that restarts ----

  void PlanRestart() {
    Schedule(kStart + kDrainAt, [this] { AnnounceReadiness(Readiness::kDraining, 0); });
    Schedule(kStart + kRemoveAt, [this] {
      ResetAttemptsAt(RestartedId());
      AnnounceReadiness(Readiness::kRemoved, 0);
    });
    Schedule(kStart + kRestartAt, [this] {
      engines_[*site_.restarted_engine] =
          std::make_unique<QueryEngine>(site_.traits[*site_.restarted_engine], now_);
      restarted_engine_up_ = true;
      AnnounceReadiness(Readiness::kReady, now_);
    });
  }

  EngineId RestartedId() const { return site_.engines[*site_.restarted_engine].engine; }

  void AnnounceReadiness(Readiness readiness, Nanos started_at) {
    EngineEntry entry = site_.engines[*site_.restarted_engine];
    entry.readiness = readiness;
    entry.started_at = started_at;
    for (int i = 0; i < site_.settings.gateway_count; ++i) {
      const Nanos delay = kMaxListDelay * (i + 1) / site_.settings.gateway_count;
      Schedule(now_ + delay, [this, i, entry] { SendEndpointList(i, ListKind::kChange, {entry}); });
    }
  }

  void ResetAttemptsAt(EngineId engine) {
    restarted_engine_up_ = false;
    for (auto& [id, active] : requests_)
      for (std::size_t n = 0; n < active.attempts.size(); ++n)
        if (active.attempts[n].in_flight && active.attempts[n].engine == engine)
          EndAttempt(id, static_cast<int>(n), Outcome::kReset);
  }

  // ---- Time ----

  void Schedule(Nanos time, std::function<void()> callback) { timeline_.emplace(time, std::move(callback)); }

  void RunTimeline() {
    while (!timeline_.empty() && timeline_.begin()->first <= now_) {
      const std::function<void()> callback = std::move(timeline_.begin()->second);
      timeline_.erase(timeline_.begin());
      callback();
    }
  }

  void AdvanceEngines() {
    std::vector<FinishedAttempt> finished;
    for (const auto& engine : engines_) engine->Advance(now_, finished);
    for (const FinishedAttempt& f : finished) OnFinished(f.key.first, f.key.second);
  }

  void OnFinished(RequestId id, int attempt) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    const Attempt& a = it->second.attempts.at(static_cast<std::size_t>(attempt));
    if (!a.in_flight || a.fault == Fault::kSilent) return;
    EndAttempt(id, attempt, a.fault == Fault::kLost ? Outcome::kLost : Outcome::kOk);
  }

  // ---- Clients ----

  double DrawNormal() { return std::normal_distribution<>()(random_); }
  double DrawUniform() { return Uniform(random_()); }
  double DrawLogNormal(double mean, double deviation) {
    return mean * std::exp(deviation * DrawNormal() - deviation * deviation / 2);
  }

  void SubmitArrivals() {
    const double mean = site_.request_rate * Seconds(site_.settings.tick);
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) SubmitRequest();
  }

  std::uint16_t PickClass() {
    double pick = DrawUniform();
    for (std::size_t i = 0; i + 1 < site_.traffic.size(); ++i) {
      if (pick < site_.traffic[i].share) return static_cast<std::uint16_t>(i);
      pick -= site_.traffic[i].share;
    }
    return static_cast<std::uint16_t>(site_.traffic.size() - 1);
  }

  void Estimate(ActiveRequest& active) {
    const bool rough = site_.estimate_quality == EstimateQuality::kRough;
    const double work_error =
        std::exp((rough ? kRoughWorkEstimateDeviation : kGoodEstimateDeviation) * DrawNormal());
    const double memory_error =
        std::exp((rough ? kRoughMemoryEstimateDeviation : kGoodEstimateDeviation) * DrawNormal());
    if (site_.estimate_quality == EstimateQuality::kNone) return;
    const ClassTraffic& traffic = site_.traffic[active.request.class_id];
    active.request.estimated_work = ToNanos(active.work * work_error * (rough ? traffic.work_bias : 1));
    active.request.estimated_memory_mb = active.memory_mb * memory_error * (rough ? traffic.memory_bias : 1);
  }

  void SubmitRequest() {
    const RequestId id = next_id_++;
    ActiveRequest& active = requests_[id];
    active.submitted_at = now_;
    active.request.id = id;
    active.request.class_id = PickClass();
    const ClassSettings& c = site_.settings.classes[active.request.class_id];
    const ClassTraffic& traffic = site_.traffic[active.request.class_id];
    active.work = DrawLogNormal(traffic.work, kWorkDeviation);
    active.memory_mb = DrawLogNormal(traffic.memory_mb, kMemoryDeviation);
    Estimate(active);
    active.request.client_timeout = ToNanos(Seconds(c.client_timeout) * (0.8 + 0.2 * DrawUniform()));
    active.deadline = now_ + active.request.client_timeout;
    active.request.table_group = static_cast<std::uint32_t>(random_() % table_groups_);
    const std::uint64_t tenants = std::max<std::uint64_t>(1, site_.settings.tenants.size());
    active.request.tenant = static_cast<std::uint16_t>(random_() % tenants);
    const std::uint64_t pick = random_();
    const auto gateways = static_cast<std::uint64_t>(site_.settings.gateway_count);
    if (c.in_order) active.request.ordering_key = 1 + pick % site_.ordering_keys;
    active.gateway = static_cast<int>((c.in_order ? active.request.ordering_key : pick) % gateways);
    active.grant.id = id;
    const bool abandons = DrawUniform() < kAbandonedShare;
    const Nanos abandons_after = ToNanos(DrawUniform() * Seconds(c.latency_objective));
    if (abandons) Schedule(now_ + abandons_after, [this, id] { Abandon(id); });
    Schedule(active.deadline + 2 * site_.settings.tick, [this, id] { TimeOut(id); });
    ++result_.classes[active.request.class_id].submitted;
    checker_.Submitted(now_, active.gateway, active.request);
    PostEvent(active, active.request);
  }

  void PostEvent(const ActiveRequest& active, Event event) {
    gateways_[static_cast<std::size_t>(active.gateway)].events.push_back(std::move(event));
  }

  void Abandon(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.finished) return;
    ++result_.classes[it->second.request.class_id].abandoned;
    checker_.Abandoned(now_, id);
    PostEvent(it->second, RequestCancelled{id});
    FinishRequest(id);
  }

  void TimeOut(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.finished) return;
    checker_.TimedOut(now_, id);
    PostEvent(it->second, RequestCancelled{id});
    FinishRequest(id);
  }

  // Cancels the attempts that are still in flight, as a proxy does.
  void FinishRequest(RequestId id) {
    ActiveRequest& active = requests_.at(id);
    active.finished = true;
    std::vector<int> in_flight;
    for (std::size_t n = 0; n < active.attempts.size(); ++n)
      if (active.attempts[n].in_flight) in_flight.push_back(static_cast<int>(n));
    for (const int attempt : in_flight)
      EndAttempt(id, attempt, Outcome::kCancelled);  // the last one erases the request
    EraseIfFinished(id);
  }

  void EraseIfFinished(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.finished) return;
    for (const Attempt& a : it->second.attempts)
      if (a.in_flight) return;
    requests_.erase(it);
  }

  // ---- Gateways ----

  void StepGateways() {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      SimulatedGateway& gateway = gateways_[i];
      if (gateway.events.empty()) continue;
      const std::vector<Event> events = std::exchange(gateway.events, {});
      std::vector<Action> actions;
      gateway.decider->Step(now_, events, actions);
      for (const Action& action : actions)
        std::visit([this, i](const auto& a) { Apply(static_cast<int>(i), a); }, action);
    }
  }

  void Apply(int, const ResourceGrant& grant) {
    checker_.Granted(now_, grant);
    const auto it = requests_.find(grant.id);
    if (it == requests_.end()) return;
    it->second.grant = grant;
    for (std::size_t n = 0; n < it->second.attempts.size(); ++n) {
      const Attempt& a = it->second.attempts[n];
      if (a.in_flight) engines_[a.engine - 1]->SetPriority({grant.id, static_cast<int>(n)}, grant.priority);
    }
  }

  void Apply(int, const Send& send) {
    checker_.Sent(now_, send);
    const auto it = requests_.find(send.id);
    if (it == requests_.end() || it->second.finished) return;
    ActiveRequest& active = it->second;
    const int attempt = static_cast<int>(active.attempts.size());
    ++result_.classes[active.request.class_id].attempts;
    active.attempts.push_back({send.engine, now_, true, FaultOf(send.id, attempt)});
    const Nanos last = std::max(now_, active.deadline - kAttemptDeadlineMargin);
    const Nanos until = send.timeout > 0 ? std::min(last, now_ + send.timeout) : last;
    const RequestId id = send.id;
    Schedule(until, [this, id, attempt] { EndAttempt(id, attempt, Outcome::kTimeout); });
    StartAttempt(active, attempt);
  }

  void StartAttempt(ActiveRequest& active, int attempt) {
    const RequestId id = active.request.id;
    const Attempt& a = active.attempts[static_cast<std::size_t>(attempt)];
    const bool down = !restarted_engine_up_ && site_.restarted_engine && a.engine == RestartedId();
    if (down || a.fault == Fault::kConnectFailed)
      return Schedule(now_ + kConnectFailedAfter,
                      [this, id, attempt] { EndAttempt(id, attempt, Outcome::kConnectFailed); });
    if (a.fault == Fault::kError)
      return Schedule(now_ + kErrorAfter, [this, id, attempt] { EndAttempt(id, attempt, Outcome::kError); });
    if (a.fault == Fault::kReset)
      Schedule(now_ + kResetAfter, [this, id, attempt] { EndAttempt(id, attempt, Outcome::kReset); });
    if (!engines_[a.engine - 1]->Start(now_, QueryPlanOf(active, attempt)))
      return Schedule(now_ + site_.settings.tick,
                      [this, id, attempt] { EndAttempt(id, attempt, Outcome::kFull); });
    if (site_.settings.progress_interval > 0) ScheduleProgressNotice(id, attempt);
  }

  bool IsDiscarded(const ActiveRequest& active, int attempt) const {
    if (site_.settings.classes[active.request.class_id].effect != Effect::kKeyed) return false;
    return std::any_of(active.attempts.begin(), active.attempts.begin() + attempt, [](const Attempt& a) {
      return a.fault != Fault::kConnectFailed && a.fault != Fault::kError && a.outcome != Outcome::kFull;
    });
  }

  QueryPlan QueryPlanOf(const ActiveRequest& active, int attempt) const {
    const ClassSettings& c = site_.settings.classes[active.request.class_id];
    QueryPlan plan;
    plan.key = {active.request.id, attempt};
    plan.threads = c.threads;
    plan.work = IsDiscarded(active, attempt) ? kDiscardedWork : active.work;
    plan.memory_mb = active.memory_mb;
    const double usual = kDefaultGrantFactor * site_.traffic[active.request.class_id].memory_mb;
    const double estimate = active.request.estimated_memory_mb;
    plan.own_grant_mb = estimate > 0 ? kGrantMargin * estimate : usual;
    const double max_grant =
        site_.settings.max_grant_share * site_.traits[active.attempts.back().engine - 1].memory_mb;
    plan.own_grant_mb = std::min(plan.own_grant_mb, max_grant);
    plan.grant_mb = std::min(active.grant.grant_mb, max_grant);
    plan.priority = active.grant.priority;
    plan.table_group = active.request.table_group;
    plan.holds_tables = c.holds_tables;
    plan.blocked_by_loads = c.blocked_by_loads;
    return plan;
  }

  void ScheduleProgressNotice(RequestId id, int attempt) {
    Schedule(now_ + site_.settings.progress_interval, [this, id, attempt] {
      const auto it = requests_.find(id);
      if (it == requests_.end() || !it->second.attempts[static_cast<std::size_t>(attempt)].in_flight) return;
      const Attempt& a = it->second.attempts[static_cast<std::size_t>(attempt)];
      const double done = engines_[a.engine - 1]->Progress({id, attempt});
      const double noise = 1 + kProgressNoise * (2 * DrawNotice(id, attempt) - 1);
      PostEvent(it->second,
                ProgressNotice{id, attempt, NoticeKind::kProgress, std::clamp(done * noise, 0.0, 1.0)});
      ScheduleProgressNotice(id, attempt);
    });
  }

  // Does not use the clients' generator, so that the clients behave the same with every decider.
  double DrawNotice(RequestId id, int attempt) const {
    return Uniform(subset::Mix(subset::Mix(id * 64 + static_cast<std::uint64_t>(attempt)) ^
                               static_cast<std::uint64_t>(now_)));
  }

  void Apply(int, const Cancel& cancel) {
    checker_.Cancelled(now_, cancel);
    const auto it = requests_.find(cancel.id);
    if (it == requests_.end()) return;
    ++result_.classes[it->second.request.class_id].cancels;
    EndAttempt(cancel.id, cancel.attempt, Outcome::kCancelled);
  }

  void Apply(int, const RejectRequest& rejection) {
    checker_.Rejected(now_, rejection);
    const auto it = requests_.find(rejection.id);
    if (it == requests_.end() || it->second.finished) return;
    ++result_.classes[it->second.request.class_id].rejected;
    FinishRequest(rejection.id);
  }

  void Apply(int, const FailRequest& fail) {
    checker_.Failed(now_, fail);
    const auto it = requests_.find(fail.id);
    if (it == requests_.end() || it->second.finished) return;
    ++result_.classes[it->second.request.class_id].failed;
    FinishRequest(fail.id);
  }

  void Apply(int gateway, const WakeAt& wake) {
    Schedule(wake.at, [this, gateway, token = wake.token] {
      gateways_[static_cast<std::size_t>(gateway)].events.push_back(TimerFired{token});
    });
  }

  void Apply(int gateway, const Probe& probe) {
    checker_.Probed(now_, probe);
    ++result_.probes;
    ProbeEnded probed;
    probed.engine = probe.engine;
    probed.elapsed = site_.settings.tick;
    const bool engine_up = restarted_engine_up_ || !site_.restarted_engine || probe.engine != RestartedId();
    if (engine_up && site_.report_delivery != ReportDelivery::kNone)
      probed.load_report = ReportOf(probe.engine, true);
    probed.outcome = engine_up ? Outcome::kOk : Outcome::kConnectFailed;
    Schedule(now_ + probed.elapsed, [this, gateway, probed] {
      gateways_[static_cast<std::size_t>(gateway)].events.push_back(probed);
    });
  }

  void Apply(int, const auto&) {}  // other actions, such as log lines, have no effect here

  LoadReport ReportOf(EngineId engine, bool probe) const {
    const bool stopped = site_.report_delivery == ReportDelivery::kStops && now_ > kStart + kReportsStopAt;
    const bool not_requested = site_.report_delivery == ReportDelivery::kProbesOnly && !probe;
    if (site_.report_delivery == ReportDelivery::kNone || site_.report_delivery == ReportDelivery::kNever ||
        stopped || not_requested)
      return {};
    return engines_[engine - 1]->Report(now_);
  }

  // ---- The end of an attempt ----

  void EndAttempt(RequestId id, int attempt, Outcome outcome) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || attempt < 0) return;
    ActiveRequest& active = it->second;
    if (static_cast<std::size_t>(attempt) >= active.attempts.size()) return;
    Attempt& a = active.attempts[static_cast<std::size_t>(attempt)];
    if (!a.in_flight) return;
    a.in_flight = false;
    a.outcome = outcome;
    if (outcome == Outcome::kReset || site_.cancel_stops_work)
      engines_[a.engine - 1]->Stop(now_, {id, attempt});
    const bool served = outcome == Outcome::kOk && !active.finished;
    AttemptEnded end;
    end.id = id;
    end.attempt = attempt;
    end.engine = a.engine;
    end.outcome = outcome;
    end.elapsed = now_ - a.sent_at;
    end.request_finished = served || active.finished;
    if (outcome == Outcome::kOk && site_.settings.reports_cost) {
      end.work = ToNanos(active.work);
      end.memory_mb = active.memory_mb;
    }
    if (outcome == Outcome::kOk) end.load_report = ReportOf(a.engine, false);
    checker_.Ended(now_, id, attempt, outcome);
    PostEvent(active, end);
    if (served) CompleteServed(id);
    EraseIfFinished(id);
  }

  void CompleteServed(RequestId id) {
    ActiveRequest& active = requests_.at(id);
    checker_.Served(now_, id);
    const ClassSettings& c = site_.settings.classes[active.request.class_id];
    const Nanos latency_objective =
        c.latency_objective + ToNanos(c.latency_objective_stretch * active.work / c.threads);
    ClassResult& counts = result_.classes[active.request.class_id];
    (now_ - active.submitted_at <= latency_objective ? counts.in_time : counts.late) += 1;
    FinishRequest(id);
  }

  void CheckIdle() {
    std::vector<IdleEngine> idle;
    for (std::size_t i = 0; i < engines_.size(); ++i)
      if (engines_[i]->idle()) idle.push_back({site_.engines[i].engine, engines_[i]->idle_since()});
    if (idle.empty()) return;
    std::vector<std::vector<EngineId>> avoided;
    for (const SimulatedGateway& gateway : gateways_)
      avoided.push_back(gateway.decider->EjectedEngines(now_));
    checker_.CheckIdle(now_, idle, avoided);
  }

  const Site& site_;
  Nanos length_ = 0;
  Nanos now_ = kStart;
  std::mt19937_64 random_;  // draws the clients' requests
  SiteInvariantChecker checker_;
  std::vector<std::unique_ptr<QueryEngine>> engines_;  // element i is engine i + 1
  std::vector<SimulatedGateway> gateways_;
  std::multimap<Nanos, std::function<void()>> timeline_;
  std::map<RequestId, ActiveRequest> requests_;
  RequestId next_id_ = 1;
  std::uint32_t table_groups_ = kMinTableGroups;
  bool restarted_engine_up_ = true;  // state of the engine that restarts
  DayResult result_;
};

}  // namespace

std::string DayResult::Describe() const {
  std::string text;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const ClassResult& c = classes[i];
    text += "class " + std::to_string(i) + ": " + std::to_string(c.submitted) + " submitted, in time " +
            std::to_string(c.InTimeShare()).substr(0, 5) + ", late " + std::to_string(c.late) +
            ", rejected " + std::to_string(c.rejected) + ", failed " + std::to_string(c.failed) +
            ", abandoned " + std::to_string(c.abandoned) + ", attempts " + std::to_string(c.attempts) +
            ", cancels " + std::to_string(c.cancels) + "; ";
  }
  return text + "probes " + std::to_string(probes);
}

DayResult SimulateDay(const Site& site, Nanos length, std::uint64_t seed, const DeciderFactory& decider) {
  return SiteDay(site, length, seed, decider).Run();
}

}  // namespace lemoncroft::simulation
