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
  std::vector<EngineId> Avoided(Nanos now) const override { return gateway_.Avoided(now); }

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
  std::vector<EngineId> Avoided(Nanos) const override { return {}; }

 private:
  struct Line {
    std::vector<RequestId> order;
    Nanos rest_until = 0;
  };

  bool Ordered(const Request& r) const { return settings_.classes[r.class_id].in_order && r.key != 0; }

  void On(const EngineList& list) {
    for (const EngineEntry& entry : *list.entries) listed_[entry.engine] = entry;
  }

  void On(const Request& request) {
    requests_[request.id] = request;
    if (!Ordered(request)) return Forward(request);
    Line& line = lines_[request.key];
    line.order.push_back(request.id);
    if (line.order.size() == 1) ForwardFirst(request.key);
  }

  void On(const AttemptEnded& end) {
    if (!end.finished) actions_->push_back(Fail{end.id});
    const bool unknown = end.outcome == Outcome::kTimeout || end.outcome == Outcome::kReset ||
                         end.outcome == Outcome::kCancelled;
    Leave(end.id, unknown);
  }

  void On(const ClientGone& gone) {  // of what is out, the end comes later
    if (!out_.contains(gone.id)) Leave(gone.id, false);
  }

  void On(const TimerFired& timer) { ForwardFirst(timer.token); }
  void On(const auto&) {}

  void Leave(RequestId id, bool unknown) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    const Request request = it->second;
    requests_.erase(it);
    if (const auto sent = out_.find(id); sent != out_.end()) {
      threads_[sent->second] -= settings_.classes[request.class_id].threads;
      out_.erase(sent);
    }
    if (!Ordered(request)) return;
    Line& line = lines_[request.key];
    std::erase(line.order, id);
    if (unknown) line.rest_until = now_ + settings_.order_settle;
    ForwardFirst(request.key);
  }

  void ForwardFirst(std::uint64_t key) {
    Line& line = lines_[key];
    if (line.order.empty() || out_.contains(line.order.front())) return;
    if (now_ < line.rest_until) return actions_->push_back(WakeAt{line.rest_until, key});
    Forward(requests_.at(line.order.front()));
  }

  void Forward(const Request& request) {
    const ClassSettings& c = settings_.classes[request.class_id];
    const auto within = [](const std::vector<std::uint16_t>& places, std::uint16_t place) {
      return places.empty() || std::find(places.begin(), places.end(), place) != places.end();
    };
    EngineId best = 0;
    double least = 0;
    for (const auto& [id, e] : listed_) {
      if (e.readiness != Readiness::kReady || !within(c.zones, e.zone) || !within(c.kinds, e.kind)) continue;
      const double load = (threads_[id] + c.threads + Uniform(random_())) / settings_.kinds[e.kind].cores;
      if (best == 0 || load < least) best = id, least = load;
    }
    out_[request.id] = best;
    threads_[best] += c.threads;
    actions_->push_back(Send{request.id, best});
  }

  Settings settings_;
  std::mt19937_64 random_;
  Nanos now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::map<EngineId, EngineEntry> listed_;
  std::map<RequestId, Request> requests_;
  std::map<RequestId, EngineId> out_;
  std::map<EngineId, double> threads_;  // of its own queries there
  std::map<std::uint64_t, Line> lines_;
};

}  // namespace

std::unique_ptr<Decider> MakeGateway(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<GatewayDecider>(settings, seed);
}

std::unique_ptr<Decider> MakeLeastLoadedForwarder(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<LeastLoadedForwarder>(settings, seed);
}

}  // namespace lemoncroft::simulation
