// The decision logic of one gateway in a simulated day: the decision module itself, or a reference
// implementation to compare it with.
//
// As the module's interface (lemoncroft/gateway.h) requires, a decider does no I/O, reads no clock, and is
// deterministic for its settings and seed.
#ifndef LEMONCROFT_TESTING_SIMULATION_DECIDERS_H_
#define LEMONCROFT_TESTING_SIMULATION_DECIDERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::simulation {

// The part of a Gateway's interface that a simulated day uses.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) = 0;
  virtual std::vector<EngineId> EjectedEngines(Nanos now) const = 0;
};
using DeciderFactory = std::function<std::unique_ptr<Decider>(const Settings& settings, std::uint64_t seed)>;

// Returns a decider that runs the decision module.
std::unique_ptr<Decider> MakeGateway(const Settings& settings, std::uint64_t seed);
// Returns the reference decider, which has no limits, retries or ejections: it forwards each request once,
// without queueing, to the least loaded engine that the class of the request allows. Requests with the same
// ordering key run in order, one at a time.
std::unique_ptr<Decider> MakeLeastLoadedForwarder(const Settings& settings, std::uint64_t seed);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_DECIDERS_H_
