// Plays a day of a site in virtual time: clients, several deciders side by side, stand-in engines between
// them, and the checker of the site's rules over all.
//
// Contract. Deterministic by the site and the seed. The same clients come, and the same attempts meet the
// same faults, whoever decides.
#ifndef LEMONCROFT_STANDIN_SITE_DAY_H_
#define LEMONCROFT_STANDIN_SITE_DAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lemoncroft/gateway.h"
#include "testing/simulation/deciders.h"
#include "testing/simulation/site_shapes.h"

namespace lemoncroft::simulation {

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

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_STANDIN_SITE_DAY_H_
