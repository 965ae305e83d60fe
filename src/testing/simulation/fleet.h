// Simulates a fleet of engines in virtual time: attempts share the cores of their engine by priority.
//
// Each engine divides its cores among the threads of its attempts in the ratio 1 : 4 : 8 : 16 by priority, at
// most one core per thread; above a threshold of threads per core its total throughput falls. Engines can be
// added and removed. The caller specifies the work that an attempt needs; a bad query plan is an attempt that
// needs many times its estimate.
//
// Deterministic. The caller's times must never decrease. Disks, memory, caches and sessions are not modelled.
#ifndef LEMONCROFT_TESTING_SIMULATION_FLEET_H_
#define LEMONCROFT_TESTING_SIMULATION_FLEET_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lemoncroft::simulation {

using Engine = std::uint32_t;
using AttemptKey = std::pair<std::uint64_t, int>;  // request, attempt

struct FinishedAttempt {
  AttemptKey key;
  Engine engine = 0;
  double at = 0;      // seconds
  double work = 0;    // core-seconds used
  bool lost = false;  // the engine was removed while the attempt ran
};

class Fleet {
 public:
  struct AttemptSpec {
    AttemptKey key;
    Engine engine = 0;
    int threads = 1;
    int priority = 1;         // 0 to 3
    double work = 0;          // core-seconds
    std::size_t account = 0;  // index of the total that `consumed` returns
  };

  // `overload_threshold`: threads per core above which throughput falls; `overload_penalty`: relative
  // slowdown at twice the threshold.
  explicit Fleet(double overload_threshold = 2.0, double overload_penalty = 0.3)
      : overload_threshold_(overload_threshold), overload_penalty_(overload_penalty) {}

  void Add(Engine engine, double cores, double speed);
  // Removes the engine; appends its attempts, which are lost.
  void Remove(Engine engine, std::vector<FinishedAttempt>& out);
  void SetSpeed(Engine engine, double speed);
  bool Has(Engine engine) const { return engines_.contains(engine); }
  double cores() const;

  bool Start(const AttemptSpec& spec);  // false if there is no such engine, or the attempt runs already
  bool Stop(const AttemptKey& key);     // false if the attempt does not run
  void SetPriority(const AttemptKey& key, int priority);
  double RemainingWork(const AttemptKey& key) const;  // core-seconds; 0 if the attempt does not run

  // Advances to `now` (seconds) and appends the attempts that finished, in order of time.
  void Advance(double now, std::vector<FinishedAttempt>& out);

  double consumed(std::size_t account) const { return account < consumed_.size() ? consumed_[account] : 0; }
  std::size_t running() const { return engine_of_.size(); }

 private:
  struct Attempt {
    AttemptSpec spec;
    double remaining = 0;
    double rate = 0;  // core-seconds per second
  };
  struct EngineState {
    double cores = 0, speed = 1;
    double at = 0;
    std::map<AttemptKey, Attempt> attempts;
  };
  void UpdateRates(EngineState& engine_state) const;
  void AdvanceEngine(Engine id, EngineState& engine_state, double now, std::vector<FinishedAttempt>& out);

  double overload_threshold_, overload_penalty_, now_ = 0;
  std::map<Engine, EngineState> engines_;
  std::map<AttemptKey, Engine> engine_of_;
  std::vector<double> consumed_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_FLEET_H_
