// Measures the replicated configuration: on real processes with the fault-test program, in virtual time, by a
// state search, on a disk that fails at each operation, and against proxies with independent files.
//
// Owner: the command line. Units: milliseconds, fractions.
#ifndef LEMONCROFT_TESTING_BENCHMARK_AGREEMENT_H_
#define LEMONCROFT_TESTING_BENCHMARK_AGREEMENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lemoncroft::benchmark {

struct AgreementPlan {
  std::uint64_t seed = 1;
  bool real = true;
  std::string trial;  // the program that plays trials
  std::uint64_t states = 1'000'000;
};

nlohmann::ordered_json MeasureAgreement(const AgreementPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_AGREEMENT_H_
