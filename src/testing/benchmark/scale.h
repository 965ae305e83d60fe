// Benchmark of the cost of the control plane in fleets of up to thousands of proxies: membership, leases,
// documents and decisions. It runs in virtual time at all sizes, and on loopback sockets at the sizes that
// fit into one process.
//
// Sizes that would need more than half of the machine's memory are skipped, and the metrics of inconclusive
// runs on sockets are omitted. A target whose metric is absent is listed in `aims_missed`. The names of the
// metrics include the units. docs/CAPACITY.md contains the results.
#ifndef LEMONCROFT_TESTING_BENCHMARK_SCALE_H_
#define LEMONCROFT_TESTING_BENCHMARK_SCALE_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace lemoncroft::benchmark {

struct ScalePlan {
  std::uint64_t seed = 1;
  std::size_t max_members = 4000;
  bool sockets = true;
};

// Runs the benchmark and returns its metrics.
nlohmann::ordered_json MeasureScale(const ScalePlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SCALE_H_
