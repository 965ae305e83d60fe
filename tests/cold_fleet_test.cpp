// Engines in slow start under the load of a whole fleet of gateways, in virtual time: 20, 30 and 300 modules,
// which share nothing, with equal and with skewed traffic, and with restarts of most of them at once.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;
constexpr Nanos kTick = 5 * kMs;

struct Plan {
  int gateways = 20;
  int engines = 8;
  double load = 0.7;            // of all cores
  bool skewed = false;          // a tenth of the gateways has half of the traffic
  Nanos restart_at = -1;        // seven in ten start anew, this long after the cold engine did
  double small = 1;             // times the work of each call
  double multiple = 4;          // of a cold engine\'s present capacity that it bears
  bool all_cold = false;        // every engine has started, so that there is nowhere else to go
  Nanos warm_up = 4 * kSecond;  // before it starts
  Nanos length = 8 * kSecond;
  std::uint64_t seed = 1;
};

struct ClassOf {
  double share, work;  // seconds on one core
  int threads;
};
constexpr ClassOf kClasses[] = {{0.80, 0.12, 1}, {0.14, 2.0, 2}, {0.06, 3.0, 2}};

double MeanWork(const Plan& plan) {
  double mean = 0;
  for (const ClassOf& c : kClasses) mean += c.share * c.work;
  return mean * plan.small;
}

Settings SettingsOf(const Plan& plan) {
  Settings s;
  s.gateways = plan.gateways;
  s.tick = kTick;
  for (const ClassOf& of : kClasses) {
    ClassSettings c;
    c.latency_objective = std::max<Nanos>(100 * kMs, static_cast<Nanos>(plan.small * 3e9));
    c.latency_objective_stretch = 2.5;
    c.deadline = 10 * kSecond;
    c.priority_weight = of.work > 1 ? 10 : 1;
    c.late_weight_share = 0.3;
    c.threads = of.threads;
    s.classes.push_back(c);
  }
  s.kinds = {{12, 24576}};
  s.drain_grace = 250 * kMs;
  s.slow_start_initial_share = 0.31;
  s.slow_start_duration = 14 * kSecond;
  s.overload_factor = plan.multiple;
  s.overload_window = kSecond;
  s.max_attempts = 3;
  s.may_cancel = true;
  s.reports_cost = true;
  return s;
}

struct Outcomes {
  // Calls of mean work that the first engine in slow start got in any overload window, over what it may get:
  // at most 1 if the fleet keeps to N + 2 sqrt(N) + 2.
  double worst = 0;
  double sent = 0;  // calls of mean work in all
};

// One simulated run of a fleet, whose steps share its state; not split yet.
// NOLINTNEXTLINE(readability-function-size)
Outcomes Play(const Plan& plan) {
  std::mt19937_64 random(plan.seed);
  const auto chance = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
  const Settings base = SettingsOf(plan);
  const double mean_work = MeanWork(plan);
  const Nanos start = 1000 * kSecond;
  const EngineId cold = 1;
  std::vector<EngineEntry> list;
  for (int i = 1; i <= plan.engines; ++i) {
    EngineEntry e;
    e.engine = static_cast<EngineId>(i);
    e.started_at = 0;
    list.push_back(e);
  }
  const auto told = [&] { return std::make_shared<const std::vector<EngineEntry>>(list); };

  struct Running {
    Nanos ends;
    AttemptEnded end;
    bool operator>(const Running& other) const { return ends > other.ends; }
  };
  struct Member {
    std::unique_ptr<Gateway> gateway;
    double rate = 0;  // requests a second
    std::map<RequestId, double> work;
    std::map<RequestId, std::uint16_t> class_id;
    std::map<RequestId, int> attempts;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> out;
    std::vector<Event> events;
  };
  const double rate = plan.load * 12 * plan.engines / mean_work;
  const int few = std::max(1, plan.gateways / 10);
  std::vector<Member> fleet(static_cast<std::size_t>(plan.gateways));
  const auto begin = [&](int i) {
    Member& m = fleet[static_cast<std::size_t>(i)];
    Settings own = base;
    own.self = i;
    m = Member();
    m.gateway = std::make_unique<Gateway>(own, random());
    m.rate = plan.skewed ? (i < few ? 0.5 * rate / few : 0.5 * rate / (plan.gateways - few))
                         : rate / plan.gateways;
    m.events.push_back(EngineList{ListKind::kFull, told()});
  };
  for (int i = 0; i < plan.gateways; ++i) begin(i);

  Outcomes result;
  std::deque<std::pair<Nanos, double>> window;
  double in_window = 0;
  RequestId next = 1;
  const Nanos cold_start = start + plan.warm_up;
  std::vector<Action> actions;
  for (Nanos now = start; now < cold_start + plan.length; now += kTick) {
    if (now == cold_start) {
      for (EngineEntry& e : list)
        if (e.engine == cold || plan.all_cold) e.started_at = now;
      for (Member& m : fleet) m.events.push_back(EngineList{ListKind::kFull, told()});
    }
    if (plan.restart_at >= 0 && now == cold_start + plan.restart_at) {
      for (int i = 0; i < plan.gateways * 7 / 10; ++i) begin(i);
    }
    for (Member& m : fleet) {
      while (!m.out.empty() && m.out.top().ends <= now) {
        m.events.push_back(m.out.top().end);
        m.out.pop();
      }
      for (int n = std::poisson_distribution<int>(m.rate * 0.005)(random); n > 0; --n) {
        const double pick = chance();
        const std::uint16_t class_id = pick < kClasses[0].share ? 0 : pick < 1 - kClasses[2].share ? 1 : 2;
        Request r;
        r.id = next++;
        r.class_id = class_id;
        r.client_timeout = 10 * kSecond;
        const double work = plan.small * kClasses[class_id].work * -std::log(1 - chance());
        r.est_work = static_cast<Nanos>(std::max(1e-5, work) * 1e9);
        r.tables = static_cast<std::uint32_t>(random() % 20);
        m.work[r.id] = std::max(1e-5, work);
        m.class_id[r.id] = class_id;
        m.events.push_back(r);
      }
      m.events.push_back(TimerFired{0});
      actions.clear();
      m.gateway->Step(now, m.events, actions);
      m.events.clear();
      for (const Action& action : actions) {
        if (const auto* send = std::get_if<Send>(&action)) {
          const double work = m.work.at(send->id);
          AttemptEnded end;
          end.id = send->id;
          end.attempt = m.attempts[send->id]++;
          end.engine = send->engine;
          end.finished = true;
          end.work = static_cast<Nanos>(work * 1e9);
          end.waited = static_cast<Nanos>(work * 1e9 / 2);
          m.out.push({now + end.waited, end});
          if (send->engine != cold || now < cold_start) continue;
          const double calls =
              plan.small * kClasses[m.class_id.at(send->id)].work / mean_work;  // as the rule weighs it
          window.emplace_back(now, calls);
          in_window += calls;
          result.sent += calls;
          while (window.front().first <= now - base.overload_window) {
            in_window -= window.front().second;
            window.pop_front();
          }
          const double age =
              static_cast<double>(now - cold_start) / static_cast<double>(base.slow_start_duration);
          const double share =
              base.slow_start_initial_share + (1 - base.slow_start_initial_share) * std::min(1.0, age);
          const double n = base.overload_factor * share * 12 / mean_work;
          result.worst = std::max(result.worst, in_window / (n + 2 * std::sqrt(n) + 2));
        }
      }
    }
  }
  return result;
}

// Every combination of traffic, of restarts, and of whether there are warm engines to go to.
void KeepsTo(Plan plan, const std::vector<double>& loads, const std::vector<bool>& cold) {
  plan.engines = std::max(8, plan.gateways / 10);
  for (const bool all_cold : cold) {
    for (const bool skewed : {false, true}) {
      for (const Nanos restart : {Nanos{-1}, 300 * kMs}) {
        for (const double load : loads) {
          plan.all_cold = all_cold;
          plan.skewed = skewed;
          plan.restart_at = restart;
          plan.load = load;
          ++plan.seed;
          const Outcomes got = Play(plan);
          const std::string how = "load " + std::to_string(load) + (all_cold ? ", all cold" : "") +
                                  (skewed ? ", skewed" : "") + (restart < 0 ? "" : ", restarted");
          EXPECT_LE(got.worst, 1) << how;
          EXPECT_GT(got.sent, 0) << how << ": nothing warms the engine";
        }
      }
    }
  }
}

TEST(ColdFleet, TwentyKeepToTheBudgetTogether) { KeepsTo(Plan{20}, {0.7, 1.3}, {false, true}); }
TEST(ColdFleet, ThirtyKeepToTheBudgetTogether) { KeepsTo(Plan{30}, {0.7, 1.3}, {false, true}); }
// Most gateways have the engine outside their subsets, and use it only if none inside has room.
TEST(ColdFleet, ThreeHundredKeepToTheBudgetTogether) {
  Plan plan{300};
  plan.warm_up = 1500 * kMs;
  plan.length = 1300 * kMs;
  plan.multiple = 1.5;
  plan.small = 0.1;
  KeepsTo(plan, {1.3}, {true});
}

// With many small calls chance has little effect, and seven in ten gateways restart within a window. That a
// new gateway has no credit at first doesn't show here, since so much is never sent: Rule4 has a test of it.
TEST(ColdFleet, SmallCallsAndRestartsKeepToTheBudgetTogether) {
  for (const Nanos restart : {200 * kMs, 500 * kMs, 900 * kMs}) {
    for (const bool skewed : {false, true}) {
      Plan plan;
      plan.small = 0.02;
      plan.multiple = 2;
      plan.load = 1.3;
      plan.all_cold = true;
      plan.skewed = skewed;
      plan.length = 2500 * kMs;
      plan.restart_at = restart;
      const Outcomes got = Play(plan);
      EXPECT_LE(got.worst, 1) << restart << " " << skewed;
    }
  }
}

}  // namespace
}  // namespace lemoncroft
