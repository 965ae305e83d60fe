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

void Fleet::Remove(Engine engine, std::vector<FinishedAttempt>& out) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  for (const auto& [key, attempt] : it->second.attempts) {
    out.push_back({key, engine, now_, attempt.spec.work - attempt.remaining, true});
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

double Fleet::RemainingWork(const AttemptKey& key) const {
  const auto it = engine_of_.find(key);
  return it == engine_of_.end() ? 0 : engines_.at(it->second).attempts.at(key).remaining;
}

double Fleet::cores() const {
  double sum = 0;
  for (const auto& [id, engine_state] : engines_) sum += engine_state.cores;
  return sum;
}

bool Fleet::Start(const AttemptSpec& spec) {
  const auto it = engines_.find(spec.engine);
  if (it == engines_.end() || engine_of_.contains(spec.key)) return false;
  it->second.attempts[spec.key] = {spec, spec.work, 0};
  engine_of_[spec.key] = spec.engine;
  if (spec.account >= consumed_.size()) consumed_.resize(spec.account + 1);
  UpdateRates(it->second);
  return true;
}

bool Fleet::Stop(const AttemptKey& key) {
  const auto it = engine_of_.find(key);
  if (it == engine_of_.end()) return false;
  EngineState& engine_state = engines_.at(it->second);
  engine_state.attempts.erase(key);
  engine_of_.erase(it);
  UpdateRates(engine_state);
  return true;
}

void Fleet::SetPriority(const AttemptKey& key, int priority) {
  const auto it = engine_of_.find(key);
  if (it == engine_of_.end()) return;
  EngineState& engine_state = engines_.at(it->second);
  engine_state.attempts.at(key).spec.priority = priority;
  UpdateRates(engine_state);
}

// Divides the cores by weight, with at most one core per thread; the surplus is divided among the other
// attempts.
void Fleet::UpdateRates(EngineState& engine_state) const {
  double threads = 0;
  for (const auto& [key, a] : engine_state.attempts) threads += a.spec.threads;
  const double overload = threads / std::max(1e-9, engine_state.cores * overload_threshold_);
  const double throughput_factor = overload <= 1 ? 1 : 1 / (1 + overload_penalty_ * (overload - 1));
  double remaining = engine_state.cores;
  std::vector<Attempt*> unassigned;
  for (auto& [key, a] : engine_state.attempts) unassigned.push_back(&a);
  while (!unassigned.empty()) {
    double weights = 0;
    const auto weight = [](const Attempt* a) {
      return kPriorityWeights[static_cast<std::size_t>(a->spec.priority)] * a->spec.threads;
    };
    for (const Attempt* a : unassigned) weights += weight(a);
    const double share = remaining / weights;
    const auto full = std::partition(unassigned.begin(), unassigned.end(),
                                     [&](Attempt* a) { return share * weight(a) < a->spec.threads; });
    if (full == unassigned.end()) {
      for (Attempt* a : unassigned) a->rate = share * weight(a);
      break;
    }
    for (auto it = full; it != unassigned.end(); ++it) {
      (*it)->rate = (*it)->spec.threads;
      remaining -= (*it)->rate;
    }
    unassigned.erase(full, unassigned.end());
  }
  for (auto& [key, a] : engine_state.attempts) a.rate *= engine_state.speed * throughput_factor;
}

void Fleet::AdvanceEngine(Engine id, EngineState& engine_state, double now,
                          std::vector<FinishedAttempt>& out) {
  while (engine_state.at < now) {
    double step = now - engine_state.at;
    for (const auto& [key, a] : engine_state.attempts) {
      if (a.rate > 0) step = std::min(step, a.remaining / a.rate);
    }
    engine_state.at = step >= now - engine_state.at ? now : engine_state.at + step;
    bool finished_any = false;
    for (auto it = engine_state.attempts.begin(); it != engine_state.attempts.end();) {
      Attempt& a = it->second;
      const double done = std::min(a.remaining, a.rate * step);
      a.remaining -= done;
      consumed_[a.spec.account] += done;
      if (a.remaining > kCompletionTolerance) {
        ++it;
        continue;
      }
      out.push_back({it->first, id, engine_state.at, a.spec.work, false});
      engine_of_.erase(it->first);
      it = engine_state.attempts.erase(it);
      finished_any = true;
    }
    if (finished_any) UpdateRates(engine_state);
  }
}

void Fleet::Advance(double now, std::vector<FinishedAttempt>& out) {
  const auto first = static_cast<std::ptrdiff_t>(out.size());
  for (auto& [id, engine_state] : engines_) AdvanceEngine(id, engine_state, now, out);
  std::stable_sort(out.begin() + first, out.end(),
                   [](const FinishedAttempt& a, const FinishedAttempt& b) { return a.at < b.at; });
  now_ = std::max(now_, now);
}

}  // namespace lemoncroft::simulation
