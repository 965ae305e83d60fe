// The view of the fleet, measured: in virtual time up to 1,024 members, on real processes with the trial rig,
// and against plain heartbeats of all to all.
//
// Deterministic for a seed in virtual time. Owner: the command line. Units: periods of the view, unless a
// name says otherwise.
#ifndef LEMONCROFT_TESTING_BENCHMARK_PEERS_H_
#define LEMONCROFT_TESTING_BENCHMARK_PEERS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lemoncroft::benchmark {

struct PeersPlan {
  std::uint64_t seed = 1;
  bool real = true;   // false: virtual time alone
  std::string trial;  // the program that plays trials
};

nlohmann::ordered_json MeasurePeers(const PeersPlan& plan);

// A program's output; throws std::runtime_error where it can't be started. Its last line as JSON.
std::string OutputOf(const std::string& command);
nlohmann::ordered_json LastLine(const std::string& text);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_PEERS_H_
