// What control costs a fleet that grows to thousands of proxies: the view, leases and documents, decisions,
// in virtual time at all sizes and on real loopback sockets at those that one process reaches.
//
// Contract. Ends by itself; what would take more than half of the machine's memory is left out. A run on
// sockets that the machine held up is void: its figures are left out. What isn't measured is absent, and its
// name is among `aims_missed`. Owner: the command line. Units: by name. docs/CAPACITY.md reads the figures.
#ifndef LEMONCROFT_TESTING_BENCHMARK_SCALE_H_
#define LEMONCROFT_TESTING_BENCHMARK_SCALE_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace lemoncroft::benchmark {

struct ScalePlan {
  std::uint64_t seed = 1;
  std::size_t most = 4000;  // members of the largest fleet
  bool sockets = true;
};

nlohmann::ordered_json MeasureScale(const ScalePlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SCALE_H_
