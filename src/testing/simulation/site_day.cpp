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
constexpr Nanos kStart = 1000 * kSecond;  // of the day, on the deciders' clock
constexpr Nanos kLongAgo = 0;             // when the engines started that are warm from the first
constexpr Nanos kLastWord = 30 * kMs;     // before its client gives up, an attempt is over
constexpr Nanos kIdleCheck = 100 * kMs;
constexpr Nanos kNoticeMost = 500 * kMs;  // by which a change of the list reaches a gateway
constexpr Nanos kDrainAt = 10 * kSecond;  // one engine drains ...
constexpr Nanos kGoneAt = 15 * kSecond;   // ... ends ...
constexpr Nanos kBackAt = 17 * kSecond;   // ... and starts again, cold
constexpr Nanos kReportsStopAt = 10 * kSecond;
constexpr double kWorkSpread = 0.7;          // deviation of the log
constexpr double kMemorySpread = 0.4;        // likewise
constexpr double kGoodScatter = 0.1;         // of the log of good estimates
constexpr double kRoughScatter = 0.6;        // of rough ones of work ...
constexpr double kRoughMemoryScatter = 0.3;  // ... and of memory
constexpr double kGrantMargin = 1.25;        // an engine's own grant over the estimate ...
constexpr double kGrantUsual = 1.5;          // ... or, with none, over what the class usually needs
constexpr double kWithdrawn = 0.005;         // share of requests whose client goes away early
constexpr std::uint32_t kGroupsLeast = 16;   // table groups
constexpr double kGroupLoad = 0.2;           // loads of one group that run at a time, in the mean
constexpr double kDiscardedWork = 0.001;     // core-seconds of a repeat that an engine discards
constexpr double kNoteNoise = 0.2;           // of a progress note

// Faults of an attempt, each with its share of all attempts.
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

// The same for the same attempt, whoever decides.
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
      engines_.push_back(std::make_unique<QueryEngine>(site.traits[i], kLongAgo));
    for (int i = 0; i < site.settings.gateways; ++i) AddGateway(i, seed, decider);
    if (site.restarted) PlanRestart();
  }

  DayResult Play() {
    const Nanos longest = LongestDeadline();
    for (now_ = kStart; now_ < kStart + length_ || checker_.open() > 0; now_ += site_.settings.tick) {
      if (now_ > kStart + length_ + longest + kSecond) break;
      PlayEngines();
      RunTimeline();
      if (now_ < kStart + length_) TakeArrivals();
      StepGateways();
      if ((now_ - kStart) % kIdleCheck == 0) CheckIdle();
    }
    result_.breach_count = checker_.count();
    result_.breaches = checker_.breaches();
    return result_;
  }

 private:
  struct Proxy {
    std::unique_ptr<Decider> decider;
    std::vector<Event> events;
  };
  struct Attempt {
    EngineId engine = 0;
    Nanos sent_at = 0;
    bool out = true;
    Fault fault = Fault::kNone;
    Outcome outcome = Outcome::kOk;
  };
  struct ActiveRequest {
    Request request;
    int gateway = 0;
    Nanos taken_at = 0;
    Nanos deadline = 0;
    double work = 0;
    double memory_mb = 0;
    ResourceGrant terms;
    std::vector<Attempt> attempts;
    bool over = false;  // answered, or nobody waits any more
  };

  // ---- The cast ----

  void ChooseTableGroups() {
    double loads = 0;  // that run at a time
    for (std::size_t i = 0; i < site_.traffic.size(); ++i) {
      const ClassTraffic& t = site_.traffic[i];
      const ClassSettings& c = site_.settings.classes[i];
      if (c.holds_tables) loads += site_.rate * t.share * t.work / c.threads;
    }
    groups_ = std::max(kGroupsLeast, static_cast<std::uint32_t>(loads / kGroupLoad));
  }

  void AddGateway(int number, std::uint64_t seed, const DeciderFactory& decider) {
    Settings settings = site_.settings;
    settings.self = number;
    settings.zone = site_.engines[static_cast<std::size_t>(number) % site_.engines.size()].zone;
    Proxy proxy;
    proxy.decider = decider(settings, seed + 1 + static_cast<std::uint64_t>(number));
    gateways_.push_back(std::move(proxy));
    Tell(number, ListKind::kFull, site_.engines);
  }

  void Tell(int gateway, ListKind kind, const std::vector<EngineEntry>& entries) {
    const auto list = std::make_shared<const std::vector<EngineEntry>>(entries);
    gateways_[static_cast<std::size_t>(gateway)].events.push_back(EngineList{kind, list});
    checker_.Listed(now_, gateway, entries);
  }

  Nanos LongestDeadline() const {
    Nanos longest = 0;
    for (const ClassSettings& c : site_.settings.classes) longest = std::max(longest, c.deadline);
    return longest;
  }

  // ---- One engine drains, ends and starts again ----

  void PlanRestart() {
    At(kStart + kDrainAt, [this] { Announce(Readiness::kDraining, 0); });
    At(kStart + kGoneAt, [this] {
      EndAllAt(RestartedId());
      Announce(Readiness::kGone, 0);
    });
    At(kStart + kBackAt, [this] {
      engines_[*site_.restarted] = std::make_unique<QueryEngine>(site_.traits[*site_.restarted], now_);
      up_ = true;
      Announce(Readiness::kReady, now_);
    });
  }

  EngineId RestartedId() const { return site_.engines[*site_.restarted].engine; }

  void Announce(Readiness readiness, Nanos started_at) {
    EngineEntry entry = site_.engines[*site_.restarted];
    entry.readiness = readiness;
    entry.started_at = started_at;
    for (int i = 0; i < site_.settings.gateways; ++i) {
      const Nanos delay = kNoticeMost * (i + 1) / site_.settings.gateways;
      At(now_ + delay, [this, i, entry] { Tell(i, ListKind::kChange, {entry}); });
    }
  }

  void EndAllAt(EngineId engine) {
    up_ = false;
    for (auto& [id, life] : lives_)
      for (std::size_t n = 0; n < life.attempts.size(); ++n)
        if (life.attempts[n].out && life.attempts[n].engine == engine)
          End(id, static_cast<int>(n), Outcome::kReset);
  }

  // ---- Time ----

  void At(Nanos time, std::function<void()> what) { timeline_.emplace(time, std::move(what)); }

  void RunTimeline() {
    while (!timeline_.empty() && timeline_.begin()->first <= now_) {
      const std::function<void()> what = std::move(timeline_.begin()->second);
      timeline_.erase(timeline_.begin());
      what();
    }
  }

  void PlayEngines() {
    std::vector<Finished> finished;
    for (const auto& engine : engines_) engine->Advance(now_, finished);
    for (const Finished& f : finished) OnFinished(f.key.first, f.key.second);
  }

  void OnFinished(RequestId id, int attempt) {
    const auto it = lives_.find(id);
    if (it == lives_.end()) return;
    const Attempt& a = it->second.attempts.at(static_cast<std::size_t>(attempt));
    if (!a.out || a.fault == Fault::kSilent) return;
    End(id, attempt, a.fault == Fault::kLost ? Outcome::kLost : Outcome::kOk);
  }

  // ---- Clients ----

  double Normal() { return std::normal_distribution<>()(random_); }
  double Chance() { return Uniform(random_()); }
  double Spread(double mean, double deviation) {
    return mean * std::exp(deviation * Normal() - deviation * deviation / 2);
  }

  void TakeArrivals() {
    const double mean = site_.rate * Seconds(site_.settings.tick);
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) TakeRequest();
  }

  std::uint16_t PickClass() {
    double pick = Chance();
    for (std::size_t i = 0; i + 1 < site_.traffic.size(); ++i) {
      if (pick < site_.traffic[i].share) return static_cast<std::uint16_t>(i);
      pick -= site_.traffic[i].share;
    }
    return static_cast<std::uint16_t>(site_.traffic.size() - 1);
  }

  void Estimate(ActiveRequest& life) {
    const bool rough = site_.estimates == EstimateQuality::kRough;
    const double off_work = std::exp((rough ? kRoughScatter : kGoodScatter) * Normal());
    const double off_memory = std::exp((rough ? kRoughMemoryScatter : kGoodScatter) * Normal());
    if (site_.estimates == EstimateQuality::kNone) return;
    const ClassTraffic& traffic = site_.traffic[life.request.class_id];
    life.request.est_work = ToNanos(life.work * off_work * (rough ? traffic.work_bias : 1));
    life.request.est_memory_mb = life.memory_mb * off_memory * (rough ? traffic.memory_bias : 1);
  }

  void TakeRequest() {
    const RequestId id = next_id_++;
    ActiveRequest& life = lives_[id];
    life.taken_at = now_;
    life.request.id = id;
    life.request.class_id = PickClass();
    const ClassSettings& c = site_.settings.classes[life.request.class_id];
    const ClassTraffic& traffic = site_.traffic[life.request.class_id];
    life.work = Spread(traffic.work, kWorkSpread);
    life.memory_mb = Spread(traffic.memory_mb, kMemorySpread);
    Estimate(life);
    life.request.client_timeout = ToNanos(Seconds(c.deadline) * (0.8 + 0.2 * Chance()));
    life.deadline = now_ + life.request.client_timeout;
    life.request.tables = static_cast<std::uint32_t>(random_() % groups_);
    const std::uint64_t tenants = std::max<std::uint64_t>(1, site_.settings.tenants.size());
    life.request.tenant = static_cast<std::uint16_t>(random_() % tenants);
    const std::uint64_t pick = random_();
    const auto gateways = static_cast<std::uint64_t>(site_.settings.gateways);
    if (c.in_order) life.request.key = 1 + pick % site_.keys;
    life.gateway = static_cast<int>((c.in_order ? life.request.key : pick) % gateways);
    life.terms.id = id;
    const bool leaves = Chance() < kWithdrawn;
    const Nanos leaves_after = ToNanos(Chance() * Seconds(c.latency_objective));
    if (leaves) At(now_ + leaves_after, [this, id] { Withdraw(id); });
    At(life.deadline + 2 * site_.settings.tick, [this, id] { GiveUp(id); });
    ++result_.classes[life.request.class_id].taken;
    checker_.Taken(now_, life.gateway, life.request);
    Post(life, life.request);
  }

  void Post(const ActiveRequest& life, Event event) {
    gateways_[static_cast<std::size_t>(life.gateway)].events.push_back(std::move(event));
  }

  void Withdraw(RequestId id) {
    const auto it = lives_.find(id);
    if (it == lives_.end() || it->second.over) return;
    ++result_.classes[it->second.request.class_id].withdrawn;
    checker_.Withdrawn(now_, id);
    Post(it->second, ClientGone{id});
    BeOver(id);
  }

  void GiveUp(RequestId id) {
    const auto it = lives_.find(id);
    if (it == lives_.end() || it->second.over) return;
    checker_.GaveUp(now_, id);
    Post(it->second, ClientGone{id});
    BeOver(id);
  }

  // What is still out is given up, as a proxy does.
  void BeOver(RequestId id) {
    ActiveRequest& life = lives_.at(id);
    life.over = true;
    std::vector<int> out;
    for (std::size_t n = 0; n < life.attempts.size(); ++n)
      if (life.attempts[n].out) out.push_back(static_cast<int>(n));
    for (const int number : out) End(id, number, Outcome::kCancelled);  // the last one drops the life
    Drop(id);
  }

  void Drop(RequestId id) {
    const auto it = lives_.find(id);
    if (it == lives_.end() || !it->second.over) return;
    for (const Attempt& a : it->second.attempts)
      if (a.out) return;
    lives_.erase(it);
  }

  // ---- Gateways ----

  void StepGateways() {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      Proxy& proxy = gateways_[i];
      if (proxy.events.empty()) continue;
      const std::vector<Event> events = std::exchange(proxy.events, {});
      std::vector<Action> actions;
      proxy.decider->Step(now_, events, actions);
      for (const Action& action : actions)
        std::visit([this, i](const auto& a) { Do(static_cast<int>(i), a); }, action);
    }
  }

  void Do(int, const ResourceGrant& terms) {
    checker_.Termed(now_, terms);
    const auto it = lives_.find(terms.id);
    if (it == lives_.end()) return;
    it->second.terms = terms;
    for (std::size_t n = 0; n < it->second.attempts.size(); ++n) {
      const Attempt& a = it->second.attempts[n];
      if (a.out) engines_[a.engine - 1]->SetPriority({terms.id, static_cast<int>(n)}, terms.priority);
    }
  }

  void Do(int, const Send& send) {
    checker_.Sent(now_, send);
    const auto it = lives_.find(send.id);
    if (it == lives_.end() || it->second.over) return;
    ActiveRequest& life = it->second;
    const int number = static_cast<int>(life.attempts.size());
    ++result_.classes[life.request.class_id].attempts;
    life.attempts.push_back({send.engine, now_, true, FaultOf(send.id, number)});
    const Nanos last = std::max(now_, life.deadline - kLastWord);
    const Nanos until = send.timeout > 0 ? std::min(last, now_ + send.timeout) : last;
    const RequestId id = send.id;
    At(until, [this, id, number] { End(id, number, Outcome::kTimeout); });
    StartAttempt(life, number);
  }

  void StartAttempt(ActiveRequest& life, int number) {
    const RequestId id = life.request.id;
    const Attempt& a = life.attempts[static_cast<std::size_t>(number)];
    const bool down = !up_ && site_.restarted && a.engine == RestartedId();
    if (down || a.fault == Fault::kConnectFailed)
      return At(now_ + kConnectFailedAfter, [this, id, number] { End(id, number, Outcome::kConnectFailed); });
    if (a.fault == Fault::kError)
      return At(now_ + kErrorAfter, [this, id, number] { End(id, number, Outcome::kError); });
    if (a.fault == Fault::kReset)
      At(now_ + kResetAfter, [this, id, number] { End(id, number, Outcome::kReset); });
    if (!engines_[a.engine - 1]->Start(now_, PlanOf(life, number)))
      return At(now_ + site_.settings.tick, [this, id, number] { End(id, number, Outcome::kFull); });
    if (site_.settings.progress_every > 0) PlanNote(id, number);
  }

  bool Discarded(const ActiveRequest& life, int number) const {
    if (site_.settings.classes[life.request.class_id].effect != Effect::kKeyed) return false;
    return std::any_of(life.attempts.begin(), life.attempts.begin() + number, [](const Attempt& a) {
      return a.fault != Fault::kConnectFailed && a.fault != Fault::kError && a.outcome != Outcome::kFull;
    });
  }

  QueryPlan PlanOf(const ActiveRequest& life, int number) const {
    const ClassSettings& c = site_.settings.classes[life.request.class_id];
    QueryPlan plan;
    plan.key = {life.request.id, number};
    plan.threads = c.threads;
    plan.work = Discarded(life, number) ? kDiscardedWork : life.work;
    plan.memory_mb = life.memory_mb;
    const double usual = kGrantUsual * site_.traffic[life.request.class_id].memory_mb;
    const double estimate = life.request.est_memory_mb;
    plan.own_grant_mb = estimate > 0 ? kGrantMargin * estimate : usual;
    const double most =
        site_.settings.max_grant_share * site_.traits[life.attempts.back().engine - 1].memory_mb;
    plan.own_grant_mb = std::min(plan.own_grant_mb, most);
    plan.grant_mb = std::min(life.terms.grant_mb, most);
    plan.priority = life.terms.priority;
    plan.tables = life.request.tables;
    plan.holds_tables = c.holds_tables;
    plan.blocked_by_loads = c.blocked_by_loads;
    return plan;
  }

  void PlanNote(RequestId id, int number) {
    At(now_ + site_.settings.progress_every, [this, id, number] {
      const auto it = lives_.find(id);
      if (it == lives_.end() || !it->second.attempts[static_cast<std::size_t>(number)].out) return;
      const Attempt& a = it->second.attempts[static_cast<std::size_t>(number)];
      const double done = engines_[a.engine - 1]->Progress({id, number});
      const double noise = 1 + kNoteNoise * (2 * Chance01(id, number) - 1);
      Post(it->second, ProgressNotice{id, number, NoticeKind::kProgress, std::clamp(done * noise, 0.0, 1.0)});
      PlanNote(id, number);
    });
  }

  // Not drawn from the clients' generator: the clients are the same whoever decides.
  double Chance01(RequestId id, int number) const {
    return Uniform(subset::Mix(subset::Mix(id * 64 + static_cast<std::uint64_t>(number)) ^
                               static_cast<std::uint64_t>(now_)));
  }

  void Do(int, const Cancel& cancel) {
    checker_.Cancelled(now_, cancel);
    const auto it = lives_.find(cancel.id);
    if (it == lives_.end()) return;
    ++result_.classes[it->second.request.class_id].cancels;
    End(cancel.id, cancel.attempt, Outcome::kCancelled);
  }

  void Do(int, const RejectRequest& refuse) {
    checker_.Refused(now_, refuse);
    const auto it = lives_.find(refuse.id);
    if (it == lives_.end() || it->second.over) return;
    ++result_.classes[it->second.request.class_id].refused;
    BeOver(refuse.id);
  }

  void Do(int, const Fail& fail) {
    checker_.Failed(now_, fail);
    const auto it = lives_.find(fail.id);
    if (it == lives_.end() || it->second.over) return;
    ++result_.classes[it->second.request.class_id].failed;
    BeOver(fail.id);
  }

  void Do(int gateway, const WakeAt& wake) {
    At(wake.at, [this, gateway, token = wake.token] {
      gateways_[static_cast<std::size_t>(gateway)].events.push_back(TimerFired{token});
    });
  }

  void Do(int gateway, const Probe& probe) {
    checker_.Probed(now_, probe);
    ++result_.probes;
    Probed probed;
    probed.engine = probe.engine;
    probed.waited = site_.settings.tick;
    const bool there = up_ || !site_.restarted || probe.engine != RestartedId();
    if (there && site_.reports != ReportWay::kNone) probed.load = ReportOf(probe.engine, true);
    probed.outcome = there ? Outcome::kOk : Outcome::kConnectFailed;
    At(now_ + probed.waited,
       [this, gateway, probed] { gateways_[static_cast<std::size_t>(gateway)].events.push_back(probed); });
  }

  void Do(int, const auto&) {}  // the list is told anyway; lines of the log

  LoadReport ReportOf(EngineId engine, bool probe) const {
    const bool stopped = site_.reports == ReportWay::kStops && now_ > kStart + kReportsStopAt;
    const bool unasked = site_.reports == ReportWay::kProbesOnly && !probe;
    if (site_.reports == ReportWay::kNone || site_.reports == ReportWay::kNever || stopped || unasked)
      return {};
    return engines_[engine - 1]->Report(now_);
  }

  // ---- The end of an attempt ----

  void End(RequestId id, int number, Outcome outcome) {
    const auto it = lives_.find(id);
    if (it == lives_.end() || number < 0) return;
    ActiveRequest& life = it->second;
    if (static_cast<std::size_t>(number) >= life.attempts.size()) return;
    Attempt& a = life.attempts[static_cast<std::size_t>(number)];
    if (!a.out) return;
    a.out = false;
    a.outcome = outcome;
    if (outcome == Outcome::kReset || site_.cancel_honoured) engines_[a.engine - 1]->Stop(now_, {id, number});
    const bool served = outcome == Outcome::kOk && !life.over;
    AttemptEnded end;
    end.id = id;
    end.attempt = number;
    end.engine = a.engine;
    end.outcome = outcome;
    end.waited = now_ - a.sent_at;
    end.finished = served || life.over;
    if (outcome == Outcome::kOk && site_.settings.reports_cost) {
      end.work = ToNanos(life.work);
      end.memory_mb = life.memory_mb;
    }
    if (outcome == Outcome::kOk) end.load = ReportOf(a.engine, false);
    checker_.Ended(now_, id, number, outcome);
    Post(life, end);
    if (served) Serve(id);
    Drop(id);
  }

  void Serve(RequestId id) {
    ActiveRequest& life = lives_.at(id);
    checker_.Served(now_, id);
    const ClassSettings& c = site_.settings.classes[life.request.class_id];
    const Nanos latency_objective =
        c.latency_objective + ToNanos(c.latency_objective_stretch * life.work / c.threads);
    ClassResult& counts = result_.classes[life.request.class_id];
    (now_ - life.taken_at <= latency_objective ? counts.in_time : counts.late) += 1;
    BeOver(id);
  }

  void CheckIdle() {
    std::vector<IdleEngine> idle;
    for (std::size_t i = 0; i < engines_.size(); ++i)
      if (engines_[i]->idle()) idle.push_back({site_.engines[i].engine, engines_[i]->idle_since()});
    if (idle.empty()) return;
    std::vector<std::vector<EngineId>> avoided;
    for (const Proxy& proxy : gateways_) avoided.push_back(proxy.decider->Avoided(now_));
    checker_.CheckIdle(now_, idle, avoided);
  }

  const Site& site_;
  Nanos length_ = 0;
  Nanos now_ = kStart;
  std::mt19937_64 random_;  // the clients'
  SiteInvariantChecker checker_;
  std::vector<std::unique_ptr<QueryEngine>> engines_;  // engine number i + 1
  std::vector<Proxy> gateways_;
  std::multimap<Nanos, std::function<void()>> timeline_;
  std::map<RequestId, ActiveRequest> lives_;
  RequestId next_id_ = 1;
  std::uint32_t groups_ = kGroupsLeast;
  bool up_ = true;  // the engine that restarts
  DayResult result_;
};

}  // namespace

std::string DayResult::Describe() const {
  std::string text;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const ClassResult& c = classes[i];
    text += "class " + std::to_string(i) + ": " + std::to_string(c.taken) + " taken, in time " +
            std::to_string(c.InTime()).substr(0, 5) + ", late " + std::to_string(c.late) + ", refused " +
            std::to_string(c.refused) + ", failed " + std::to_string(c.failed) + ", withdrawn " +
            std::to_string(c.withdrawn) + ", attempts " + std::to_string(c.attempts) + ", cancels " +
            std::to_string(c.cancels) + "; ";
  }
  return text + "probes " + std::to_string(probes);
}

DayResult PlayDay(const Site& site, Nanos length, std::uint64_t seed, const DeciderFactory& decider) {
  return SiteDay(site, length, seed, decider).Play();
}

}  // namespace lemoncroft::simulation
