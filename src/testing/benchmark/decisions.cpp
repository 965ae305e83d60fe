#include "testing/benchmark/decisions.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "lemoncroft/gateway.h"
#include "testing/simulation/processor_time.h"

namespace lemoncroft::benchmark {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kTickNanos = 5 * kMs;
constexpr double kCores = 12;  // of each engine

struct ClassProfile {
  double share, work;  // fraction of the requests; mean work in core-seconds
  int threads;
};
constexpr ClassProfile kClassProfiles[] = {{0.80, 0.12, 1}, {0.14, 2.0, 2}, {0.06, 3.0, 2}};

double MeanWork() {
  double mean = 0;
  for (const ClassProfile& profile : kClassProfiles) mean += profile.share * profile.work;
  return mean;
}

Settings SettingsOf(const DecisionPlan& plan) {
  Settings s;
  s.gateway_count = plan.gateways;
  s.tick = kTickNanos;
  for (const ClassProfile& profile : kClassProfiles) {
    ClassSettings c;
    c.latency_objective = 3000 * kMs;
    c.latency_objective_stretch = 2.5;
    c.client_timeout = 10'000 * kMs;
    c.priority_weight = profile.work > 1 ? 10 : 1;
    c.late_weight_share = 0.3;
    c.threads = profile.threads;
    s.classes.push_back(c);
  }
  s.kinds = {{kCores, 24576}};
  s.max_attempts = 3;
  s.may_cancel = true;
  s.reports_cost = true;
  return s;
}

// Drives a gateway with simulated engines that serve every attempt without queueing or slowdown.
class DecisionLoad {
 public:
  explicit DecisionLoad(const DecisionPlan& plan)
      : plan_(plan), random_(plan.seed), gateway_(SettingsOf(plan), plan.seed) {
    const double fleet = plan.load * kCores * static_cast<double>(plan.engines) / MeanWork();
    rate_ = plan.requests_per_s > 0 ? plan.requests_per_s : fleet / plan.gateways;
    std::vector<EngineEntry> list(plan.engines);
    for (std::size_t i = 0; i < list.size(); ++i) list[i].engine = static_cast<EngineId>(i + 1);
    events_.push_back(
        EngineList{ListKind::kFull, std::make_shared<const std::vector<EngineEntry>>(std::move(list))});
    Step();
    spent_us_ = 0;
  }

  void Run(std::size_t requests) {
    for (const std::size_t until = submitted_ + requests; submitted_ < until;) {
      now_ += kTickNanos;
      for (due_requests_ += rate_ * static_cast<double>(kTickNanos) / 1e9; due_requests_ >= 1;
           due_requests_ -= 1)
        SubmitRequest();
      EndAttempts();
      if (!events_.empty() || now_ >= wake_at_) Step();
    }
  }

  double spent_us() const { return spent_us_; }
  std::size_t steps() const { return steps_; }
  std::size_t submitted() const { return submitted_; }
  std::size_t served() const { return served_; }
  std::size_t rejected() const { return rejected_; }

 private:
  struct RunningAttempt {
    Nanos ends = 0;
    AttemptEnded end;
    bool operator>(const RunningAttempt& other) const { return ends > other.ends; }
  };
  struct OpenRequest {
    double work = 0;  // core-seconds
    int threads = 1;
    int attempts = 0;
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void SubmitRequest() {
    Request r;
    r.id = ++submitted_;
    double draw = Draw();
    while (r.class_id + 1u < std::size(kClassProfiles) && draw >= kClassProfiles[r.class_id].share)
      draw -= kClassProfiles[r.class_id++].share;
    const ClassProfile& profile = kClassProfiles[r.class_id];
    r.client_timeout = 10'000 * kMs;
    r.table_group = static_cast<std::uint32_t>(random_() % plan_.table_groups);
    const double work = profile.work * std::exponential_distribution<>(1)(random_);
    r.estimated_work = std::max<Nanos>(kMs, static_cast<Nanos>(work * 1e9));
    open_[r.id] = {work, profile.threads, 0};
    events_.push_back(r);
  }

  void EndAttempts() {
    for (; !running_.empty() && running_.top().ends <= now_; running_.pop()) {
      events_.push_back(running_.top().end);
      served_ += running_.top().end.request_finished;
      open_.erase(running_.top().end.id);
    }
  }

  void Step() {
    actions_.clear();
    const double before = simulation::ProcessorMicroseconds();
    gateway_.Step(now_, events_, actions_);
    spent_us_ += simulation::ProcessorMicroseconds() - before;
    ++steps_;
    events_.clear();
    for (const Action& action : actions_) std::visit([this](const auto& a) { On(a); }, action);
  }

  void On(const Send& send) {
    const auto it = open_.find(send.id);
    if (it == open_.end()) return;
    OpenRequest& open = it->second;
    AttemptEnded end;
    end.id = send.id;
    end.attempt = open.attempts++;
    end.engine = send.engine;
    end.outcome = Outcome::kOk;
    end.work = static_cast<Nanos>(open.work * 1e9);
    end.elapsed = end.work / open.threads;
    end.request_finished = true;
    running_.push({now_ + end.elapsed, end});
  }
  void On(const RejectRequest& reject) { EndRejected(reject.id); }
  void On(const FailRequest& fail) { EndRejected(fail.id); }
  void On(const WakeAt& wake) { wake_at_ = wake.at; }
  void On(const auto&) {}  // ignored; only the cost of the decision matters here

  void EndRejected(RequestId id) { rejected_ += open_.erase(id); }

  DecisionPlan plan_;
  std::mt19937_64 random_;
  Gateway gateway_;
  Nanos now_ = 1000 * 1000 * kMs, wake_at_ = kNoLimit;
  double rate_ = 0, due_requests_ = 0, spent_us_ = 0;
  std::size_t submitted_ = 0, served_ = 0, rejected_ = 0, steps_ = 0;
  std::vector<Event> events_;
  std::vector<Action> actions_;
  std::unordered_map<RequestId, OpenRequest> open_;
  std::priority_queue<RunningAttempt, std::vector<RunningAttempt>, std::greater<>> running_;
};

}  // namespace

DecisionCost MeasureDecisionCost(const DecisionPlan& plan) {
  DecisionLoad load(plan);
  load.Run(plan.requests);
  const double spent = load.spent_us();
  const std::size_t steps = load.steps(), submitted = load.submitted();
  load.Run(plan.requests);
  const double requests = static_cast<double>(load.submitted() - submitted);
  const double ended = static_cast<double>(load.served() + load.rejected());
  return {(load.spent_us() - spent) / requests, static_cast<double>(load.steps() - steps) / requests,
          ended > 0 ? static_cast<double>(load.served()) / ended : 0};
}

}  // namespace lemoncroft::benchmark
