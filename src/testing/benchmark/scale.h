// Benchmark of the control plane's cost in fleets of up to thousands of proxies: membership, leases,
// documents and decisions, in virtual time at all sizes and on loopback sockets at those that one process can
// hold.
//
// Sizes that would take more than half of the machine's memory are skipped, and the metrics of inconclusive
// runs on sockets left out; a target whose metric is absent is named in `aims_missed`. Called by the command
// line. Units are part of the metrics' names. docs/CAPACITY.md has the results.
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

nlohmann::ordered_json MeasureScale(const ScalePlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SCALE_H_
