// Plays a day of a site in virtual time: clients, several deciders side by side, stand-in engines between
// them, and the checker of the site's rules over all.
//
// Contract. Deterministic by the site and the seed. The same clients come, and the same attempts meet the
// same faults, whoever decides.
#ifndef LEMONCROFT_STANDIN_SITE_DAY_H_
#define LEMONCROFT_STANDIN_SITE_DAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "lemoncroft/gateway.h"
#include "standin/site_shapes.h"

namespace lemoncroft::standin {

// Who decides in the place of one gateway.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) = 0;
  virtual std::vector<EngineId> Avoided(Nanos now) const = 0;
};
using DeciderFactory = std::function<std::unique_ptr<Decider>(const Settings& settings, std::uint64_t seed)>;

// The decision module.
std::unique_ptr<Decider> MakeGateway(const Settings& settings, std::uint64_t seed);
// A reference: sends each request once, at once, to a random engine that its placement allows, knows of
// nothing but the list and the order of keys, and waits for the end.
std::unique_ptr<Decider> MakeLeastLoadedForwarder(const Settings& settings, std::uint64_t seed);

struct ClassResult {
  int taken = 0;
  int withdrawn = 0;
  int in_time = 0;  // served within the aim
  int late = 0;     // served after it
  int refused = 0;
  int failed = 0;
  int attempts = 0;
  int cancels = 0;
  double InTime() const { return taken > withdrawn ? 1.0 * in_time / (taken - withdrawn) : 1; }
};

struct DayResult {
  std::vector<ClassResult> classes;
  std::size_t breach_count = 0;
  std::vector<std::string> breaches;  // the first of them
  int probes = 0;
  std::string Describe() const;  // the classes' figures, on one line
};

DayResult PlayDay(const Site& site, Nanos length, std::uint64_t seed, const DeciderFactory& decider);

}  // namespace lemoncroft::standin

#endif  // LEMONCROFT_STANDIN_SITE_DAY_H_
