#include "testing/benchmark/workload_replay.h"

#include <algorithm>
#include <array>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <unordered_map>

#include "admission_queue/admission_queue.h"
#include "lemoncroft/gateway.h"
#include "testing/simulation/fleet.h"

namespace lemoncroft::benchmark {

namespace {

constexpr double kTick = 0.005;
constexpr std::array<double, 4> kBudgets = {0.4, 0.3, 0.2, 0.1};  // of the fleet
constexpr double kSpread = 0.6;                                   // deviation of the logarithm of the work
constexpr double kLies = 0.2;                                     // likewise of estimates
constexpr double kBadPlan = 0.05;                                 // of reports' attempts
constexpr double kBadLeast = 10, kBadMost = 23;
constexpr double kTablesMost = 40;
constexpr double kInFlight = 4;  // seconds that a heavy query usually runs

struct Kind {
  double part, work;  // of the requests; mean core-seconds
  int threads;
  double patience;
};
constexpr std::array<Kind, 3> kKinds = {{{0.805, 0.125, 1, 3}, {0.14, 2.85, 2, 20}, {0.055, 3.8, 2, 20}}};

constexpr Nanos kMs = 1'000'000;

Settings Site() {
  Settings s;
  s.tick = 5 * kMs;
  ClassSettings lookup, report, load;
  lookup.aim = 600 * kMs;
  lookup.aim_stretch = 2;
  lookup.deadline = 3000 * kMs;
  report.aim = 1500 * kMs;
  report.aim_stretch = 2.5;
  report.worth = 10;
  load.aim = 3000 * kMs;
  load.aim_stretch = 3;
  load.worth = 12;
  load.effect = Effect::kKeyed;
  report.deadline = load.deadline = load.repeat_window = 20'000 * kMs;
  report.threads = load.threads = 2;
  lookup.late_worth = report.late_worth = load.late_worth = 0.3;
  s.classes = {lookup, report, load};
  s.tenants.resize(kBudgets.size());
  s.kinds = {{12, 0}, {8, 0}};
  s.may_cancel = s.may_advise = s.priorities_heeded = s.tells_cost = true;
  s.max_attempts = 5;
  s.max_come_back = 10'000 * kMs;
  return s;
}

admission_queue::Time At(double seconds) {
  return admission_queue::Time(admission_queue::FromSeconds(seconds));
}

class WorkloadReplay {
 public:
  explicit WorkloadReplay(const WorkloadReplayOptions& options)
      : options_(options), random_(options.seed, 1), plans_(options.seed, 2), gateway_(Site(), options.seed) {
    admission_queue::Settings queue;
    for (std::size_t t = 0; t < kBudgets.size(); ++t) {
      queue.tenants.push_back(
          {.name = "team" + std::to_string(t), .burst = std::chrono::seconds(1), .barred_classes = {}});
    }
    const char* names[] = {"lookup", "report", "chip-load"};
    const double worths[] = {1, 10, 12};
    for (std::size_t k = 0; k < kKinds.size(); ++k) {
      queue.classes.push_back({.name = names[k],
                               .priority_weight = worths[k],
                               .threads = kKinds[k].threads,
                               .default_work = admission_queue::FromSeconds(kKinds[k].work),
                               .light = k == 0});
    }
    queue.max_retry_after = std::chrono::seconds(30);
    std::vector<EngineEntry> entries;
    for (std::uint32_t e = 0; e < 8; ++e) {
      const bool large = e % 3 != 2;
      fleet_.Add(e, large ? 12 : 8, Uniform(0.9, 1.1));
      entries.push_back({.engine = e, .kind = static_cast<std::uint16_t>(large ? 0 : 1)});
    }
    cores_ = fleet_.cores();
    for (std::size_t t = 0; t < kBudgets.size(); ++t) queue.tenants[t].cores = kBudgets[t] * cores_;
    queue_ = std::make_unique<admission_queue::AdmissionQueue>(queue);
    queue_->SetFleetCores(cores_, At(0));
    events_.push_back(EngineList{ListKind::kFull, std::make_shared<std::vector<EngineEntry>>(entries)});
    double mean = 0;
    for (const Kind& k : kKinds) mean += k.part * k.work;
    mean += kKinds[1].part * kKinds[1].work * kBadPlan * ((kBadLeast + kBadMost) / 2 - 1);
    full_rate_ = cores_ / mean;
  }

  WorkloadReplayResult Play() {
    ArriveNext();
    const double until = options_.seconds + 30;  // all that was taken comes to its end
    for (std::uint64_t tick = 0; static_cast<double>(tick) * kTick < until; ++tick) {
      now_ = static_cast<double>(tick) * kTick;
      Lose();
      Settle();
      while (!arrivals_.empty() && arrivals_.top().at <= now_) {
        const Arrival arrival = arrivals_.top();
        arrivals_.pop();
        Take(arrival);
      }
      if (options_.use_admission_queue) StepQueue();
      StepModule();
      if (tick % 10 == 0) WatchShares();
    }
    return Result();
  }

 private:
  struct Told {
    double at, wait;
  };
  struct Query {
    std::size_t team = 0, klass = 0;
    double work = 0, asked = 0, taken = 0, give_up = 0, by = 0;
    bool started = false, waiting = true, again = false;
    int priority = 1, sent = 0;
    std::vector<Told> told;
  };
  struct Arrival {
    double at = 0;
    std::size_t team = 0, klass = 0;
    double work = 0;
    bool again = false, next = false;
    bool operator<(const Arrival& other) const { return at > other.at; }
  };

  double Uniform(double least, double most) {
    return boost::random::uniform_real_distribution<double>(least, most)(random_);
  }
  double Spread(double deviation) {  // mean 1
    return boost::random::lognormal_distribution<double>(-deviation * deviation / 2, deviation)(random_);
  }
  // 0.6 of the fleet, up to 1.4 by the middle, and down again.
  double LoadAt(double at) const {
    const double x = at / options_.seconds;
    const double hill = x < 0.3 ? x / 0.3 : x < 0.6 ? 1 : std::max(0.0, 1 - (x - 0.6) / 0.25);
    return 0.6 + 0.8 * hill;
  }

  void ArriveNext() {
    Arrival a;
    const double rate = full_rate_ * LoadAt(now_);
    a.at = std::max(now_, last_arrival_) + boost::random::exponential_distribution<double>(rate)(random_);
    last_arrival_ = a.at;
    if (a.at >= options_.seconds) return;
    double x = Uniform(0, 1);
    for (a.team = 0; a.team + 1 < kBudgets.size() && x >= kBudgets[a.team]; ++a.team) x -= kBudgets[a.team];
    x = Uniform(0, 1);
    for (a.klass = 0; a.klass + 1 < kKinds.size() && x >= kKinds[a.klass].part; ++a.klass)
      x -= kKinds[a.klass].part;
    a.work = kKinds[a.klass].work * Spread(kSpread);
    a.next = true;
    arrivals_.push(a);
  }

  void Take(const Arrival& arrival) {
    if (arrival.next) ArriveNext();
    const std::uint64_t id = ++last_id_;
    Query q;
    q.team = arrival.team;
    q.klass = arrival.klass;
    q.work = arrival.work;
    q.asked = arrival.work * Spread(kLies);
    q.taken = now_;
    q.again = arrival.again;
    q.give_up = now_ + kKinds[q.klass].patience * Uniform(0.8, 1);
    if (arrival.again)
      ++result_.asked_again;
    else
      ++result_.requests, asked_worth_ += Site().classes[q.klass].worth;
    if (options_.use_admission_queue) {
      const auto taken = queue_->Submit({.id = id,
                                         .tenant = static_cast<admission_queue::TenantId>(q.team),
                                         .class_id = static_cast<admission_queue::ClassId>(q.klass),
                                         .estimated_work = admission_queue::FromSeconds(q.asked),
                                         .deadline = At(q.give_up),
                                         .wants_updates = true},
                                        At(now_));
      if (taken.rejected) {
        ++result_.refused;
        ComeBack(q, admission_queue::Seconds(taken.rejected->retry_after));
        return;
      }
      q.told.push_back({now_, admission_queue::Seconds(taken.estimate.wait)});
      q.by = admission_queue::Seconds(taken.dispatch_deadline.time_since_epoch());
    } else {
      q.told.push_back({now_, naive_[q.klass]});
    }
    queries_.emplace(id, q);
    if (!options_.use_admission_queue) Hand(id);
  }

  // It leaves the line: by the time it was told, and not behind one of its team and lane that came later by
  // more than the greatest head start (two seconds for ten times the worth; the greatest ratio here is 12).
  void CheckBound(const Query& q, bool handed) {
    double& last = handed_last_[q.team][q.klass != 0];
    const bool overtaken = handed && last - q.taken > 2 * std::log10(12.0) + kTick;
    if (now_ > q.by + kTick || overtaken) ++result_.bound_broken;
    if (handed) last = std::max(last, q.taken);
  }

  // Half of those turned away once come back when they were told to.
  void ComeBack(const Query& q, double later) {
    if (q.again || last_id_ % 2 == 0 || now_ + later >= options_.seconds) return;
    arrivals_.push({now_ + later, q.team, q.klass, q.work, true, false});
  }

  void Hand(std::uint64_t id) {
    const Query& q = queries_.at(id);
    Request request;
    request.id = id;
    request.klass = static_cast<std::uint16_t>(q.klass);
    request.tenant = static_cast<std::uint16_t>(q.team);
    request.patience = static_cast<Nanos>(std::max(0.0, q.give_up - now_) * 1e9);
    request.est_work = static_cast<Nanos>(q.asked * 1e9);
    request.tables = static_cast<std::uint32_t>(Uniform(0, kTablesMost));
    events_.emplace_back(request);
  }

  void StepQueue() {
    if (queue_->NextStepTime() > At(now_)) return;
    decisions_.clear();
    queue_->Step(At(now_), decisions_);
    for (const admission_queue::Decision& decision : decisions_) {
      if (const auto* hand = std::get_if<admission_queue::Dispatch>(&decision)) {
        CheckBound(queries_.at(hand->id), true);
        Hand(hand->id);
      } else if (const auto* refuse = std::get_if<admission_queue::Reject>(&decision)) {
        ++result_.refused;
        ++result_.refused_waiting;
        const Query q = queries_.at(refuse->id);
        CheckBound(q, false);
        Left(q);
        queries_.erase(refuse->id);
        ComeBack(q, admission_queue::Seconds(refuse->retry_after));
      } else if (const auto* tell = std::get_if<admission_queue::EstimateUpdate>(&decision)) {
        queries_.at(tell->id).told.push_back({now_, admission_queue::Seconds(tell->estimate.wait)});
      }
    }
  }

  void StepModule() {
    std::erase_if(wakes_, [this](Nanos at) {
      if (at > NowNanos()) return false;
      events_.emplace_back(TimerFired{0});
      return true;
    });
    if (events_.empty()) return;
    std::vector<Event> events;
    events.swap(events_);
    std::vector<Action> actions;
    gateway_.Step(NowNanos(), events, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
  }

  Nanos NowNanos() const { return static_cast<Nanos>(now_ * 1e9) + 1'000'000'000; }

  void Do(const Terms& terms) {
    Query& q = queries_.at(terms.id);
    q.priority = terms.priority;
    for (int n = 0; n < q.sent; ++n) fleet_.Reprioritise({terms.id, n}, terms.priority);
  }
  void Do(const Send& send) {
    Query& q = queries_.at(send.id);
    const int attempt = q.sent++;
    if (!q.started) Started(q);
    if (options_.use_admission_queue) queue_->OnAttemptStarted(send.id, attempt, q.priority, At(now_));
    double work = q.work;
    boost::random::uniform_real_distribution<double> draw(0, 1);
    if (q.klass == 1 && draw(plans_) < kBadPlan) work *= kBadLeast + (kBadMost - kBadLeast) * draw(plans_);
    const simulation::Fleet::Load load{{send.id, attempt}, send.engine, kKinds[q.klass].threads,
                                       q.priority,         work,        q.team};
    starts_[load.key] = now_;
    if (!fleet_.Start(load)) End({load.key, send.engine, now_, 0, true}, Outcome::kConnectFailed);
  }
  void Do(const Cancel& cancel) {
    if (fleet_.Stop({cancel.id, cancel.attempt}))
      End({{cancel.id, cancel.attempt}, 0, now_, 0, false}, Outcome::kCancelled);
  }
  void Do(const Refuse& refuse) {
    const Query q = queries_.at(refuse.id);
    ++result_.refused;
    Finish(refuse.id);
    ComeBack(q, static_cast<double>(refuse.come_back) / 1e9);
  }
  void Do(const Fail& fail) {
    ++result_.failed;
    Finish(fail.id);
  }
  void Do(const WakeAt& wake) { wakes_.push_back(wake.at); }
  void Do(const Probe&) {}
  void Do(const WatchList&) {}
  void Do(const LogLine&) {}

  void End(const simulation::Finished& f, Outcome outcome) {
    const auto [id, attempt] = f.key;
    const bool ok = outcome == Outcome::kOk;
    AttemptEnded ended;
    ended.id = id;
    ended.attempt = attempt;
    ended.engine = f.engine;
    ended.outcome = outcome;
    ended.finished = ok;
    const auto it = queries_.find(id);
    ended.waited = static_cast<Nanos>((now_ - starts_[f.key]) * 1e9);
    starts_.erase(f.key);
    if (ok) ended.work = static_cast<Nanos>(f.work * 1e9);
    events_.emplace_back(ended);
    if (options_.use_admission_queue) {
      queue_->OnAttemptEnded(id, attempt, admission_queue::FromSeconds(ok ? f.work : 0),
                             outcome != Outcome::kConnectFailed, At(now_));
    }
    if (!ok || it == queries_.end()) return;
    const Query& q = it->second;
    ++result_.served;
    result_.again_served += q.again;
    const ClassSettings c = Site().classes[q.klass];
    const double aim = static_cast<double>(c.aim) / 1e9 + c.aim_stretch * q.work / c.threads;
    worth_ += q.again ? 0 : c.worth * (now_ - q.taken <= aim ? 1 : c.late_worth);
    Finish(id);
  }

  void Started(Query& q) {
    q.started = true;
    const double real = now_ - q.taken;
    waits_.push_back(real);
    naive_[q.klass] += 0.1 * (real - naive_[q.klass]);
    for (std::size_t i = 0; i < q.told.size(); ++i) {
      const double left = now_ - q.told[i].at;
      const double off = std::abs(q.told[i].wait - left);
      const bool good = left < 0.2 ? off <= 0.05 : off <= 0.25 * left;
      ++result_.estimates;
      result_.within += good;
      if (left >= 0.2) ++result_.waited, result_.waited_within += good;
      if (i == 0) ++result_.firsts, result_.firsts_within += good;
    }
    Left(q);
  }

  // However it ended, its wait is over: the bound is its client's patience.
  void Left(const Query& q) {
    if (now_ > q.give_up + kTick) ++result_.past_give_up;
  }

  void Finish(std::uint64_t id) {
    const auto it = queries_.find(id);
    if (!it->second.started) Left(it->second);
    if (options_.use_admission_queue) queue_->OnRequestCompleted(id, At(now_));
    queries_.erase(it);
  }

  void Settle() {
    std::vector<simulation::Finished> ended;
    fleet_.Advance(now_, ended);
    for (const simulation::Finished& f : ended) End(f, Outcome::kOk);
  }

  void Lose() {
    for (std::size_t n = 0; n < 2; ++n) {
      if (lost_ > n || now_ < options_.seconds * (n == 0 ? 0.35 : 0.5)) continue;
      ++lost_;
      std::vector<simulation::Finished> ended;
      fleet_.Advance(now_, ended);
      for (const simulation::Finished& f : ended) End(f, Outcome::kOk);
      ended.clear();
      const auto engine = static_cast<std::uint32_t>(n * 3 + 1);
      fleet_.Remove(engine, ended);
      for (const simulation::Finished& f : ended) End(f, Outcome::kReset);
      const EngineEntry gone{.engine = engine, .readiness = Readiness::kGone};
      events_.push_back(EngineList{ListKind::kChange, std::make_shared<std::vector<EngineEntry>>(1, gone)});
      queue_->SetFleetCores(fleet_.cores(), At(now_));
    }
  }

  void WatchShares() {
    std::array<std::size_t, kBudgets.size()> waiting{};
    for (const auto& [id, q] : queries_) waiting[q.team] += !q.started && q.klass != 0;
    const bool all = std::all_of(waiting.begin(), waiting.end(), [](std::size_t n) { return n > 0; });
    // What runs when the last of them begins to wait was started by other shares, and runs for some seconds.
    if (!all) all_since_ = -1;
    if (all && all_since_ < 0) all_since_ = now_;
    const bool counts = all && now_ - all_since_ >= kInFlight;
    for (std::size_t t = 0; t < kBudgets.size(); ++t) {
      const double had = fleet_.consumed(t);
      if (counts) shared_[t] += had - had_[t];
      had_[t] = had;
    }
    if (counts) result_.shared_seconds += 10 * kTick;
  }

  WorkloadReplayResult Result() {
    double sum = 0;
    for (const double s : shared_) sum += s;
    for (std::size_t t = 0; t < kBudgets.size(); ++t) {
      const double share = sum > 0 ? shared_[t] / sum : 0;
      result_.shares.push_back(share);
      result_.share_error = std::max(result_.share_error, std::abs(share / kBudgets[t] - 1));
    }
    std::sort(waits_.begin(), waits_.end());
    const auto at = [this](double q) {
      return waits_.empty() ? 0
                            : waits_[static_cast<std::size_t>(q * static_cast<double>(waits_.size() - 1))];
    };
    result_.wait_p50 = at(0.5);
    result_.wait_p99 = at(0.99);
    result_.longest_wait = at(1);
    result_.worth = worth_ / std::max(1.0, asked_worth_);
    return result_;
  }

  WorkloadReplayOptions options_;
  pcg32 random_, plans_;  // streams of their own: what is played does not change who comes
  Gateway gateway_;
  simulation::Fleet fleet_;
  std::unique_ptr<admission_queue::AdmissionQueue> queue_;
  double now_ = 0, cores_ = 0, full_rate_ = 0, last_arrival_ = 0;
  std::uint64_t last_id_ = 0;
  std::priority_queue<Arrival> arrivals_;
  std::unordered_map<std::uint64_t, Query> queries_;
  std::map<simulation::Key, double> starts_;
  std::vector<Event> events_;
  std::vector<admission_queue::Decision> decisions_;
  std::vector<Nanos> wakes_;
  std::array<double, 3> naive_{};
  std::vector<double> waits_;
  std::array<double, kBudgets.size()> shared_{}, had_{};
  double all_since_ = -1;
  double worth_ = 0, asked_worth_ = 0;
  std::array<std::array<double, 2>, kBudgets.size()> handed_last_{};  // taken, of the newest that left
  std::size_t lost_ = 0;
  WorkloadReplayResult result_;
};

}  // namespace

WorkloadReplayResult ReplayWorkload(const WorkloadReplayOptions& options) {
  return WorkloadReplay(options).Play();
}

}  // namespace lemoncroft::benchmark
