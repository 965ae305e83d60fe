// Engines in slow start under the load of a whole fleet of gateways, in virtual time: 20, 30 and 300 gateways
// that share no state, with equal and with skewed traffic, and with restarts of most of them at once.
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
  double load = 0.7;            // share of all cores
  bool skewed = false;          // a tenth of the gateways gets half of the traffic
  Nanos restart_delay = -1;     // 70 % of the gateways restart this long after the cold engine; -1 = none
  double work_factor = 1;       // multiplies the work of each request
  double budget_factor = 4;     // multiple of its current capacity that a cold engine may be sent
  bool all_cold = false;        // all engines restart, so that no warm engine is left
  Nanos warm_up = 4 * kSecond;  // time before the engines restart
  Nanos length = 8 * kSecond;
  std::uint64_t seed = 1;
};

struct TrafficClass {
  double share, work;  // seconds on one core
  int threads;
};
constexpr TrafficClass kClasses[] = {{0.80, 0.12, 1}, {0.14, 2.0, 2}, {0.06, 3.0, 2}};

double MeanWork(const Plan& plan) {
  double mean = 0;
  for (const TrafficClass& c : kClasses) mean += c.share * c.work;
  return mean * plan.work_factor;
}

Settings SettingsOf(const Plan& plan) {
  Settings s;
  s.gateway_count = plan.gateways;
  s.tick = kTick;
  for (const TrafficClass& traffic_class : kClasses) {
    ClassSettings c;
    c.latency_objective = std::max<Nanos>(100 * kMs, static_cast<Nanos>(plan.work_factor * 3e9));
    c.latency_objective_stretch = 2.5;
    c.client_timeout = 10 * kSecond;
    c.priority_weight = traffic_class.work > 1 ? 10 : 1;
    c.late_weight_share = 0.3;
    c.threads = traffic_class.threads;
    s.classes.push_back(c);
  }
  s.kinds = {{12, 24576}};
  s.drain_grace = 250 * kMs;
  s.slow_start_initial_share = 0.31;
  s.slow_start_duration = 14 * kSecond;
  s.overload_factor = plan.budget_factor;
  s.overload_window = kSecond;
  s.max_attempts = 3;
  s.may_cancel = true;
  s.reports_cost = true;
  return s;
}

struct Outcomes {
  // Work that the observed engine gets in any overload window during its slow start, in requests of mean
  // work, divided by what it may get: at most 1 if all gateways together send at most N + 2 sqrt(N) + 2,
  // where N is the number of such requests in the engine's budget for one overload window.
  double max_budget_use = 0;
  double sent = 0;  // total work sent to it, in requests of mean work
};

// One simulated run of a fleet of gateways. Engines respond after half of a request's work.
class FleetSimulation {
 public:
  explicit FleetSimulation(const Plan& plan)
      : plan_(plan),
        random_(plan.seed),
        base_(SettingsOf(plan)),
        mean_work_(MeanWork(plan)),
        gateways_(static_cast<std::size_t>(plan.gateways)) {
    for (int i = 1; i <= plan.engines; ++i) {
      EngineEntry engine;
      engine.engine = static_cast<EngineId>(i);
      engines_.push_back(engine);
    }
    for (int i = 0; i < plan.gateways; ++i) StartGateway(i);
  }

  Outcomes Run() {
    for (Nanos now = kStart; now < engine_restart_at_ + plan_.length; now += kTick) {
      if (now == engine_restart_at_) RestartEngines(now);
      if (plan_.restart_delay >= 0 && now == engine_restart_at_ + plan_.restart_delay) {
        for (int i = 0; i < plan_.gateways * 7 / 10; ++i) StartGateway(i);
      }
      for (SimulatedGateway& simulated : gateways_) StepGateway(simulated, now);
    }
    return result_;
  }

 private:
  static constexpr Nanos kStart = 1000 * kSecond;
  static constexpr EngineId kObservedEngine = 1;  // the engine whose load is checked

  struct Running {
    Nanos ends;
    AttemptEnded end;
    bool operator>(const Running& other) const { return ends > other.ends; }
  };
  struct SimulatedGateway {
    std::unique_ptr<Gateway> gateway;
    double rate = 0;  // requests per second
    std::map<RequestId, double> work;
    std::map<RequestId, std::uint16_t> class_id;
    std::map<RequestId, int> attempts;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> in_flight;
    std::vector<Event> events;
  };

  double RandomUniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

  EngineList List() const {
    return EngineList{ListKind::kFull, std::make_shared<const std::vector<EngineEntry>>(engines_)};
  }

  // Starts the gateway with the index `i`, or restarts it without its state.
  void StartGateway(int i) {
    const double rate = plan_.load * 12 * plan_.engines / mean_work_;
    const int busy_gateways = std::max(1, plan_.gateways / 10);
    SimulatedGateway& simulated = gateways_[static_cast<std::size_t>(i)];
    Settings own = base_;
    own.gateway_index = i;
    simulated = SimulatedGateway();
    simulated.gateway = std::make_unique<Gateway>(own, random_());
    if (!plan_.skewed)
      simulated.rate = rate / plan_.gateways;
    else
      simulated.rate =
          i < busy_gateways ? 0.5 * rate / busy_gateways : 0.5 * rate / (plan_.gateways - busy_gateways);
    simulated.events.push_back(List());
  }

  void RestartEngines(Nanos now) {
    for (EngineEntry& engine : engines_)
      if (engine.engine == kObservedEngine || plan_.all_cold) engine.started_at = now;
    for (SimulatedGateway& simulated : gateways_) simulated.events.push_back(List());
  }

  void StepGateway(SimulatedGateway& simulated, Nanos now) {
    while (!simulated.in_flight.empty() && simulated.in_flight.top().ends <= now) {
      simulated.events.push_back(simulated.in_flight.top().end);
      simulated.in_flight.pop();
    }
    for (int n = std::poisson_distribution<int>(simulated.rate * 0.005)(random_); n > 0; --n)
      AddRequest(simulated);
    simulated.events.push_back(TimerFired{0});
    actions_.clear();
    simulated.gateway->Step(now, simulated.events, actions_);
    simulated.events.clear();
    for (const Action& action : actions_)
      if (const auto* send = std::get_if<Send>(&action)) StartAttempt(simulated, *send, now);
  }

  void AddRequest(SimulatedGateway& simulated) {
    const double pick = RandomUniform();
    const std::uint16_t class_id = pick < kClasses[0].share ? 0 : pick < 1 - kClasses[2].share ? 1 : 2;
    Request request;
    request.id = next_id_++;
    request.class_id = class_id;
    request.client_timeout = 10 * kSecond;
    const double work = plan_.work_factor * kClasses[class_id].work * -std::log(1 - RandomUniform());
    request.estimated_work = static_cast<Nanos>(std::max(1e-5, work) * 1e9);
    request.table_group = static_cast<std::uint32_t>(random_() % 20);
    simulated.work[request.id] = std::max(1e-5, work);
    simulated.class_id[request.id] = class_id;
    simulated.events.push_back(request);
  }

  void StartAttempt(SimulatedGateway& simulated, const Send& send, Nanos now) {
    const double work = simulated.work.at(send.id);
    AttemptEnded end;
    end.id = send.id;
    end.attempt = simulated.attempts[send.id]++;
    end.engine = send.engine;
    end.request_finished = true;
    end.work = static_cast<Nanos>(work * 1e9);
    end.elapsed = static_cast<Nanos>(work * 1e9 / 2);
    simulated.in_flight.push({now + end.elapsed, end});
    if (send.engine == kObservedEngine && now >= engine_restart_at_)
      Observe(plan_.work_factor * kClasses[simulated.class_id.at(send.id)].work / mean_work_, now);
  }

  // Adds `requests`, in requests of mean work, to the load of the observed engine and compares it with the
  // limit.
  void Observe(double requests, Nanos now) {
    window_.emplace_back(now, requests);
    in_window_ += requests;
    result_.sent += requests;
    while (window_.front().first <= now - base_.overload_window) {
      in_window_ -= window_.front().second;
      window_.pop_front();
    }
    const double age =
        static_cast<double>(now - engine_restart_at_) / static_cast<double>(base_.slow_start_duration);
    const double share =
        base_.slow_start_initial_share + (1 - base_.slow_start_initial_share) * std::min(1.0, age);
    const double n = base_.overload_factor * share * 12 / mean_work_;
    result_.max_budget_use = std::max(result_.max_budget_use, in_window_ / (n + 2 * std::sqrt(n) + 2));
  }

  const Plan plan_;
  std::mt19937_64 random_;
  const Settings base_;
  const double mean_work_;
  const Nanos engine_restart_at_ = kStart + plan_.warm_up;
  std::vector<EngineEntry> engines_;
  std::vector<SimulatedGateway> gateways_;
  RequestId next_id_ = 1;
  std::vector<Action> actions_;
  std::deque<std::pair<Nanos, double>>
      window_;  // sends to the observed engine: time and requests of mean work
  double in_window_ = 0;
  Outcomes result_;
};

// Checks the budget for all combinations of traffic, of restarts, and of fleets with and without warm
// engines.
void ExpectWithinBudget(Plan plan, const std::vector<double>& loads, const std::vector<bool>& cold) {
  plan.engines = std::max(8, plan.gateways / 10);
  for (const bool all_cold : cold) {
    for (const bool skewed : {false, true}) {
      for (const Nanos restart : {Nanos{-1}, 300 * kMs}) {
        for (const double load : loads) {
          plan.all_cold = all_cold;
          plan.skewed = skewed;
          plan.restart_delay = restart;
          plan.load = load;
          ++plan.seed;
          const Outcomes outcomes = FleetSimulation(plan).Run();
          const std::string description = "load " + std::to_string(load) + (all_cold ? ", all cold" : "") +
                                          (skewed ? ", skewed" : "") + (restart < 0 ? "" : ", restarted");
          EXPECT_LE(outcomes.max_budget_use, 1) << description;
          EXPECT_GT(outcomes.sent, 0) << description << ": the engine gets no requests and never warms up";
        }
      }
    }
  }
}

TEST(ColdFleet, TwentyGateways_KeepToBudgetTogether) {
  ExpectWithinBudget(Plan{20}, {0.7, 1.3}, {false, true});
}
TEST(ColdFleet, ThirtyGateways_KeepToBudgetTogether) {
  ExpectWithinBudget(Plan{30}, {0.7, 1.3}, {false, true});
}
// Most gateways have the engine outside their subsets, and use it only if no engine in the subset has
// capacity.
TEST(ColdFleet, ThreeHundredGateways_KeepToBudgetTogether) {
  Plan plan{300};
  plan.warm_up = 1500 * kMs;
  plan.length = 1300 * kMs;
  plan.budget_factor = 1.5;
  plan.work_factor = 0.1;
  ExpectWithinBudget(plan, {1.3}, {true});
}

// With many small requests, chance has little effect. 70 % of the gateways restart within a window. This test
// can't detect a new gateway that has credit at first, because it never sends that much;
// SlowStart.RestartedGateway_HasNoCreditAtFirst does.
TEST(ColdFleet, SmallRequestsAndRestarts_KeepToBudgetTogether) {
  for (const Nanos restart : {200 * kMs, 500 * kMs, 900 * kMs}) {
    for (const bool skewed : {false, true}) {
      Plan plan;
      plan.work_factor = 0.02;
      plan.budget_factor = 2;
      plan.load = 1.3;
      plan.all_cold = true;
      plan.skewed = skewed;
      plan.length = 2500 * kMs;
      plan.restart_delay = restart;
      const Outcomes outcomes = FleetSimulation(plan).Run();
      EXPECT_LE(outcomes.max_budget_use, 1) << restart << " " << skewed;
    }
  }
}

}  // namespace
}  // namespace lemoncroft
