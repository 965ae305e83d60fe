// Benchmark of the decision module: processor time per request, by the number of engines.
//
// The decisions are deterministic for a seed, in virtual time; measured is this thread's processor time
// within Gateway::Step, in microseconds.
#ifndef LEMONCROFT_TESTING_BENCHMARK_DECISIONS_H_
#define LEMONCROFT_TESTING_BENCHMARK_DECISIONS_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct DecisionPlan {
  std::uint64_t seed = 1;
  std::size_t engines = 8;
  int gateways = 1;             // of the fleet; the one measured has an even share of the requests
  double requests_per_s = 0;    // of this gateway; 0: its share of `load` of the engines' capacity
  double load = 0.8;            // of the engines' cores
  std::size_t requests = 3000;  // measured, after as many to warm up
  std::uint32_t table_groups = 40;
};

struct DecisionCost {
  double us_per_request = 0;  // in all steps between the first and the last of the requests
  double steps_per_request = 0;
  double served_share = 0;  // of the requests that ended
};

DecisionCost MeasureDecisionCost(const DecisionPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_DECISIONS_H_
