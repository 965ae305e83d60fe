// Benchmark of the replicated configuration: with the fault test program on real processes, in virtual time,
// by a state search, on a disk that fails at each operation, and in comparison with proxies that each read a
// configuration file of their own.
//
// Units: milliseconds and fractions.
#ifndef LEMONCROFT_TESTING_BENCHMARK_AGREEMENT_H_
#define LEMONCROFT_TESTING_BENCHMARK_AGREEMENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lemoncroft::benchmark {

struct AgreementPlan {
  std::uint64_t seed = 1;
  bool run_fault_tests = true;           // false: no real processes
  std::string fault_test_program;        // path of the fault test program
  std::uint64_t max_states = 1'000'000;  // upper limit of each state search
};

// Runs the benchmark and returns its metrics.
nlohmann::ordered_json MeasureAgreement(const AgreementPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_AGREEMENT_H_
