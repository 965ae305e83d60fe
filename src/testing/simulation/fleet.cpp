#include "testing/simulation/fleet.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lemoncroft::simulation {

namespace {
constexpr std::array<double, 4> kPriorityWeights = {1, 4, 8, 16};  // by priority
constexpr double kCompletionTolerance = 1e-9;                      // core-seconds
}  // namespace

void Fleet::Add(Engine engine, double cores, double speed) {
  EngineState& engine_state = engines_[engine];
  engine_state.cores = cores;
  engine_state.speed = speed;
  engine_state.at = now_;
}

void Fleet::Remove(Engine engine, std::vector<Finished>& out) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  for (const auto& [key, attempt] : it->second.attempts) {
    out.push_back({key, engine, now_, attempt.load.work - attempt.remaining, true});
    engine_of_.erase(key);
  }
  engines_.erase(it);
}

void Fleet::SetSpeed(Engine engine, double speed) {
  const auto it = engines_.find(engine);
  if (it == engines_.end() || it->second.speed == speed) return;
  it->second.speed = speed;
  UpdateRates(it->second);
}

double Fleet::RemainingWork(const Key& key) const {
  const auto it = engine_of_.find(key);
  return it == engine_of_.end() ? 0 : engines_.at(it->second).attempts.at(key).remaining;
}

double Fleet::cores() const {
  double sum = 0;
  for (const auto& [id, engine_state] : engines_) sum += engine_state.cores;
  return sum;
}

bool Fleet::Start(const Load& load) {
  const auto it = engines_.find(load.engine);
  if (it == engines_.end() || engine_of_.contains(load.key)) return false;
  it->second.attempts[load.key] = {load, load.work, 0};
  engine_of_[load.key] = load.engine;
  if (load.label >= consumed_.size()) consumed_.resize(load.label + 1);
  UpdateRates(it->second);
  return true;
}

bool Fleet::Stop(const Key& key) {
  const auto it = engine_of_.find(key);
  if (it == engine_of_.end()) return false;
  EngineState& engine_state = engines_.at(it->second);
  engine_state.attempts.erase(key);
  engine_of_.erase(it);
  UpdateRates(engine_state);
  return true;
}

void Fleet::SetPriority(const Key& key, int priority) {
  const auto it = engine_of_.find(key);
  if (it == engine_of_.end()) return;
  EngineState& engine_state = engines_.at(it->second);
  engine_state.attempts.at(key).load.priority = priority;
  UpdateRates(engine_state);
}

// Divides the cores by weight, with at most one core per thread; the surplus is divided among the other
// attempts.
void Fleet::UpdateRates(EngineState& engine_state) const {
  double threads = 0;
  for (const auto& [key, a] : engine_state.attempts) threads += a.load.threads;
  const double level = threads / std::max(1e-9, engine_state.cores * overload_threshold_);
  const double slowed = level <= 1 ? 1 : 1 / (1 + overload_penalty_ * (level - 1));
  double remaining = engine_state.cores;
  std::vector<Attempt*> open;
  for (auto& [key, a] : engine_state.attempts) open.push_back(&a);
  while (!open.empty()) {
    double weights = 0;
    const auto weight = [](const Attempt* a) {
      return kPriorityWeights[static_cast<std::size_t>(a->load.priority)] * a->load.threads;
    };
    for (const Attempt* a : open) weights += weight(a);
    const double share = remaining / weights;
    const auto full = std::partition(open.begin(), open.end(),
                                     [&](Attempt* a) { return share * weight(a) < a->load.threads; });
    if (full == open.end()) {
      for (Attempt* a : open) a->rate = share * weight(a);
      break;
    }
    for (auto it = full; it != open.end(); ++it) {
      (*it)->rate = (*it)->load.threads;
      remaining -= (*it)->rate;
    }
    open.erase(full, open.end());
  }
  for (auto& [key, a] : engine_state.attempts) a.rate *= engine_state.speed * slowed;
}

void Fleet::AdvanceEngine(Engine id, EngineState& engine_state, double now, std::vector<Finished>& out) {
  while (engine_state.at < now) {
    double step = now - engine_state.at;
    for (const auto& [key, a] : engine_state.attempts) {
      if (a.rate > 0) step = std::min(step, a.remaining / a.rate);
    }
    engine_state.at = step >= now - engine_state.at ? now : engine_state.at + step;
    bool ended = false;
    for (auto it = engine_state.attempts.begin(); it != engine_state.attempts.end();) {
      Attempt& a = it->second;
      const double done = std::min(a.remaining, a.rate * step);
      a.remaining -= done;
      consumed_[a.load.label] += done;
      if (a.remaining > kCompletionTolerance) {
        ++it;
        continue;
      }
      out.push_back({it->first, id, engine_state.at, a.load.work, false});
      engine_of_.erase(it->first);
      it = engine_state.attempts.erase(it);
      ended = true;
    }
    if (ended) UpdateRates(engine_state);
  }
}

void Fleet::Advance(double now, std::vector<Finished>& out) {
  const auto first = static_cast<std::ptrdiff_t>(out.size());
  for (auto& [id, engine_state] : engines_) AdvanceEngine(id, engine_state, now, out);
  std::stable_sort(out.begin() + first, out.end(),
                   [](const Finished& a, const Finished& b) { return a.at < b.at; });
  now_ = std::max(now_, now);
}

}  // namespace lemoncroft::simulation
