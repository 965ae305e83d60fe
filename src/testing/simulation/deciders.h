// The decision logic behind one gateway of a simulated day: the decision module itself, or a reference that
// it is compared with.
//
// Contract: that of the module's interface (lemoncroft/gateway.h): no I/O, no clock, deterministic for its
// settings and seed. Errors: none.
#ifndef LEMONCROFT_TESTING_SIMULATION_DECIDERS_H_
#define LEMONCROFT_TESTING_SIMULATION_DECIDERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::simulation {

// Takes the place of one gateway.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) = 0;
  virtual std::vector<EngineId> EjectedEngines(Nanos now) const = 0;
};
using DeciderFactory = std::function<std::unique_ptr<Decider>(const Settings& settings, std::uint64_t seed)>;

// The decision module.
std::unique_ptr<Decider> MakeGateway(const Settings& settings, std::uint64_t seed);
// A reference without limits, retries or ejections: forwards each request once and at once to the least
// loaded engine that its class allows, and keeps the order of keys.
std::unique_ptr<Decider> MakeLeastLoadedForwarder(const Settings& settings, std::uint64_t seed);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_DECIDERS_H_
