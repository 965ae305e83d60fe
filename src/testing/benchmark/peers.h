// Benchmark of the membership protocol: in virtual time with up to 1,024 members, on real processes with the
// fault tests, and against all-to-all heartbeats.
//
// Deterministic for a seed in virtual time. Units: protocol periods, unless a name says otherwise.
#ifndef LEMONCROFT_TESTING_BENCHMARK_PEERS_H_
#define LEMONCROFT_TESTING_BENCHMARK_PEERS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lemoncroft::benchmark {

struct PeersPlan {
  std::uint64_t seed = 1;
  bool real = true;   // false: virtual time only
  std::string trial;  // path of the fault test program
};

// Runs the benchmark and returns its metrics.
nlohmann::ordered_json MeasurePeers(const PeersPlan& plan);

// Returns a program's output; throws std::runtime_error if it cannot be started.
std::string OutputOf(const std::string& command);
// Parses the last line of a text as a JSON object; an empty object if it is none.
nlohmann::ordered_json LastLine(const std::string& text);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_PEERS_H_
