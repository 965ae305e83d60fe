// The rules that a fleet agrees on, measured: on real processes with the trial rig, in virtual time, by a
// search of states, on a disk that goes away at each operation, and against each proxy having its own file.
//
// Owner: the command line. Units: milliseconds, parts.
#ifndef LEMONCROFT_BENCHMARK_AGREEMENT_H_
#define LEMONCROFT_BENCHMARK_AGREEMENT_H_

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

#endif  // LEMONCROFT_BENCHMARK_AGREEMENT_H_
