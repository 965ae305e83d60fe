// Benchmark of the membership protocol: in virtual time with up to 1,024 members, with the fault test program
// on real processes, and in comparison with all-to-all heartbeats.
//
// The results in virtual time are deterministic for a seed. Units: protocol periods, unless a name says
// otherwise.
#ifndef LEMONCROFT_TESTING_BENCHMARK_PEERS_H_
#define LEMONCROFT_TESTING_BENCHMARK_PEERS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lemoncroft::benchmark {

struct PeersPlan {
  std::uint64_t seed = 1;
  bool run_fault_tests = true;     // false: virtual time only
  std::string fault_test_program;  // path of the fault test program
};

// Runs the benchmark and returns its metrics.
nlohmann::ordered_json MeasurePeers(const PeersPlan& plan);

// Runs a shell command and returns its standard output. Throws std::runtime_error if the shell cannot be
// started.
std::string CommandOutput(const std::string& command);
// Parses the last line of `text` as a JSON object. Returns an empty object if the line is not a JSON object.
nlohmann::ordered_json ParseLastLine(const std::string& text);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_PEERS_H_
