#include "testing/simulation/fleet.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lemoncroft::simulation {

namespace {
constexpr std::array<double, 4> kWeights = {1, 4, 8, 16};  // by priority
constexpr double kDone = 1e-9;                             // core-seconds
}  // namespace

void Fleet::Add(Engine engine, double cores, double speed) {
  Machine& machine = engines_[engine];
  machine.cores = cores;
  machine.speed = speed;
  machine.at = now_;
}

void Fleet::Remove(Engine engine, std::vector<Finished>& out) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  for (const auto& [key, attempt] : it->second.runs) {
    out.push_back({key, engine, now_, attempt.load.work - attempt.left, true});
    where_.erase(key);
  }
  engines_.erase(it);
}

void Fleet::SetSpeed(Engine engine, double speed) {
  const auto it = engines_.find(engine);
  if (it == engines_.end() || it->second.speed == speed) return;
  it->second.speed = speed;
  Share(it->second);
}

double Fleet::Left(const Key& key) const {
  const auto it = where_.find(key);
  return it == where_.end() ? 0 : engines_.at(it->second).runs.at(key).left;
}

double Fleet::cores() const {
  double sum = 0;
  for (const auto& [id, machine] : engines_) sum += machine.cores;
  return sum;
}

bool Fleet::Start(const Load& load) {
  const auto it = engines_.find(load.engine);
  if (it == engines_.end() || where_.contains(load.key)) return false;
  it->second.runs[load.key] = {load, load.work, 0};
  where_[load.key] = load.engine;
  if (load.label >= consumed_.size()) consumed_.resize(load.label + 1);
  Share(it->second);
  return true;
}

bool Fleet::Stop(const Key& key) {
  const auto it = where_.find(key);
  if (it == where_.end()) return false;
  Machine& machine = engines_.at(it->second);
  machine.runs.erase(key);
  where_.erase(it);
  Share(machine);
  return true;
}

void Fleet::Reprioritise(const Key& key, int priority) {
  const auto it = where_.find(key);
  if (it == where_.end()) return;
  Machine& machine = engines_.at(it->second);
  machine.runs.at(key).load.priority = priority;
  Share(machine);
}

// By weight, at most a core a thread; what one can't use goes to the others.
void Fleet::Share(Machine& machine) const {
  double threads = 0;
  for (const auto& [key, a] : machine.runs) threads += a.load.threads;
  const double level = threads / std::max(1e-9, machine.cores * knee_);
  const double slowed = level <= 1 ? 1 : 1 / (1 + thrash_ * (level - 1));
  double left = machine.cores;
  std::vector<Attempt*> open;
  for (auto& [key, a] : machine.runs) open.push_back(&a);
  while (!open.empty()) {
    double weights = 0;
    const auto weight = [](const Attempt* a) {
      return kWeights[static_cast<std::size_t>(a->load.priority)] * a->load.threads;
    };
    for (const Attempt* a : open) weights += weight(a);
    const double share = left / weights;
    const auto full = std::partition(open.begin(), open.end(),
                                     [&](Attempt* a) { return share * weight(a) < a->load.threads; });
    if (full == open.end()) {
      for (Attempt* a : open) a->rate = share * weight(a);
      break;
    }
    for (auto it = full; it != open.end(); ++it) {
      (*it)->rate = (*it)->load.threads;
      left -= (*it)->rate;
    }
    open.erase(full, open.end());
  }
  for (auto& [key, a] : machine.runs) a.rate *= machine.speed * slowed;
}

void Fleet::Play(Engine id, Machine& machine, double now, std::vector<Finished>& out) {
  while (machine.at < now) {
    double step = now - machine.at;
    for (const auto& [key, a] : machine.runs) {
      if (a.rate > 0) step = std::min(step, a.left / a.rate);
    }
    machine.at = step >= now - machine.at ? now : machine.at + step;
    bool ended = false;
    for (auto it = machine.runs.begin(); it != machine.runs.end();) {
      Attempt& a = it->second;
      const double did = std::min(a.left, a.rate * step);
      a.left -= did;
      consumed_[a.load.label] += did;
      if (a.left > kDone) {
        ++it;
        continue;
      }
      out.push_back({it->first, id, machine.at, a.load.work, false});
      where_.erase(it->first);
      it = machine.runs.erase(it);
      ended = true;
    }
    if (ended) Share(machine);
  }
}

void Fleet::Advance(double now, std::vector<Finished>& out) {
  const auto first = static_cast<std::ptrdiff_t>(out.size());
  for (auto& [id, machine] : engines_) Play(id, machine, now, out);
  std::stable_sort(out.begin() + first, out.end(),
                   [](const Finished& a, const Finished& b) { return a.at < b.at; });
  now_ = std::max(now_, now);
}

}  // namespace lemoncroft::simulation
