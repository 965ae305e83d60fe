#include "testing/simulation/deciders.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <variant>

namespace lemoncroft::simulation {
namespace {

double Uniform(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

class GatewayDecider : public Decider {
 public:
  GatewayDecider(const Settings& settings, std::uint64_t seed) : gateway_(settings, seed) {}
  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) override {
    gateway_.Step(now, events, actions);
  }
  std::vector<EngineId> EjectedEngines(Nanos now) const override { return gateway_.EjectedEngines(now); }

 private:
  Gateway gateway_;
};

class LeastLoadedForwarder : public Decider {
 public:
  LeastLoadedForwarder(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed) {}

  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) override {
    now_ = now;
    actions_ = &actions;
    for (const Event& event : events) std::visit([this](const auto& e) { On(e); }, event);
  }
  std::vector<EngineId> EjectedEngines(Nanos) const override { return {}; }

 private:
  struct OrderingKeyQueue {
    std::vector<RequestId> order;
    Nanos pause_until = 0;
  };

  bool IsOrdered(const Request& r) const {
    return settings_.classes[r.class_id].in_order && r.ordering_key != 0;
  }

  void On(const EngineList& list) {
    for (const EngineEntry& entry : *list.entries) engines_[entry.engine] = entry;
  }

  void On(const Request& request) {
    requests_[request.id] = request;
    if (!IsOrdered(request)) return Forward(request);
    OrderingKeyQueue& queue = ordering_key_queues_[request.ordering_key];
    queue.order.push_back(request.id);
    if (queue.order.size() == 1) ForwardFirst(request.ordering_key);
  }

  void On(const AttemptEnded& end) {
    if (!end.request_finished) actions_->push_back(FailRequest{end.id});
    const bool may_still_run = end.outcome == Outcome::kTimeout || end.outcome == Outcome::kReset ||
                               end.outcome == Outcome::kCancelled;
    Remove(end.id, may_still_run);
  }

  // If an attempt is in flight, its AttemptEnded event follows and removes the request.
  void On(const RequestCancelled& cancelled) {
    if (!in_flight_.contains(cancelled.id)) Remove(cancelled.id, false);
  }

  void On(const TimerFired& timer) { ForwardFirst(timer.token); }
  void On(const auto&) {}

  void Remove(RequestId id, bool may_still_run) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    const Request request = it->second;
    requests_.erase(it);
    if (const auto sent = in_flight_.find(id); sent != in_flight_.end()) {
      threads_in_use_[sent->second] -= settings_.classes[request.class_id].threads;
      in_flight_.erase(sent);
    }
    if (!IsOrdered(request)) return;
    OrderingKeyQueue& queue = ordering_key_queues_[request.ordering_key];
    std::erase(queue.order, id);
    if (may_still_run) queue.pause_until = now_ + settings_.ordering_key_pause;
    ForwardFirst(request.ordering_key);
  }

  void ForwardFirst(std::uint64_t key) {
    OrderingKeyQueue& queue = ordering_key_queues_[key];
    if (queue.order.empty() || in_flight_.contains(queue.order.front())) return;
    if (now_ < queue.pause_until) return actions_->push_back(WakeAt{queue.pause_until, key});
    Forward(requests_.at(queue.order.front()));
  }

  void Forward(const Request& request) {
    const ClassSettings& class_settings = settings_.classes[request.class_id];
    const auto allows = [](const std::vector<std::uint16_t>& allowed, std::uint16_t value) {
      return allowed.empty() || std::find(allowed.begin(), allowed.end(), value) != allowed.end();
    };
    EngineId best = 0;
    double least_load = 0;
    for (const auto& [id, e] : engines_) {
      if (e.readiness != Readiness::kReady || !allows(class_settings.zones, e.zone) ||
          !allows(class_settings.kinds, e.kind))
        continue;
      const double load =
          (threads_in_use_[id] + class_settings.threads + Uniform(random_())) / settings_.kinds[e.kind].cores;
      if (best == 0 || load < least_load) {
        best = id;
        least_load = load;
      }
    }
    in_flight_[request.id] = best;
    threads_in_use_[best] += class_settings.threads;
    actions_->push_back(Send{request.id, best});
  }

  Settings settings_;
  std::mt19937_64 random_;
  Nanos now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::map<EngineId, EngineEntry> engines_;
  std::map<RequestId, Request> requests_;
  std::map<RequestId, EngineId> in_flight_;
  std::map<EngineId, double> threads_in_use_;  // used by this gateway's requests in flight
  std::map<std::uint64_t, OrderingKeyQueue> ordering_key_queues_;
};

}  // namespace

std::unique_ptr<Decider> MakeGateway(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<GatewayDecider>(settings, seed);
}

std::unique_ptr<Decider> MakeLeastLoadedForwarder(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<LeastLoadedForwarder>(settings, seed);
}

}  // namespace lemoncroft::simulation
