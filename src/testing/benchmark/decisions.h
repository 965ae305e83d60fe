// Benchmark of the decision module: processor time per request as a function of the number of engines.
//
// The decisions are made in virtual time and are deterministic for a seed. The measured value is the
// processor time that the calling thread spends in Gateway::Step, in microseconds.
#ifndef LEMONCROFT_TESTING_BENCHMARK_DECISIONS_H_
#define LEMONCROFT_TESTING_BENCHMARK_DECISIONS_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct DecisionPlan {
  std::uint64_t seed = 1;
  std::size_t engines = 8;
  int gateways = 1;             // in the fleet; the measured gateway receives an equal share of the requests
  double requests_per_s = 0;    // of the measured gateway; 0: its share of the rate that `load` implies
  double load = 0.8;            // as a fraction of the engines' cores
  std::size_t requests = 3000;  // measured, after the same number for warm-up
  std::uint32_t table_groups = 40;
};

struct DecisionCost {
  double us_per_request = 0;  // in all steps from the first to the last measured request
  double steps_per_request = 0;
  double served_share = 0;  // of the requests that have ended
};

DecisionCost MeasureDecisionCost(const DecisionPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_DECISIONS_H_
