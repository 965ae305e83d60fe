// Simulates a day of a site in virtual time: clients, several gateways that share simulated engines, and a
// SiteInvariantChecker that observes them.
//
// Deterministic for the site and the seed. The same requests arrive, and the same attempts are subject to the
// same faults, whichever decider runs.
#ifndef LEMONCROFT_TESTING_SIMULATION_SITE_DAY_H_
#define LEMONCROFT_TESTING_SIMULATION_SITE_DAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lemoncroft/gateway.h"
#include "testing/simulation/deciders.h"
#include "testing/simulation/site_shapes.h"

namespace lemoncroft::simulation {

struct ClassResult {
  int submitted = 0;
  int abandoned = 0;
  int in_time = 0;  // served within the latency objective
  int late = 0;     // served after the latency objective
  int rejected = 0;
  int failed = 0;
  int attempts = 0;
  int cancels = 0;
  double InTimeShare() const { return submitted > abandoned ? 1.0 * in_time / (submitted - abandoned) : 1; }
};

struct DayResult {
  std::vector<ClassResult> classes;
  std::size_t violation_count = 0;
  std::vector<std::string> violations;  // the first violations
  int probes = 0;
  std::string Describe() const;  // the results of all classes, on one line
};

DayResult SimulateDay(const Site& site, Nanos length, std::uint64_t seed, const DeciderFactory& decider);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_SITE_DAY_H_
