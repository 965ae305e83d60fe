// The baseline of the membership benchmark: all-to-all heartbeats, a member is declared failed after four
// missed ones.
//
// In virtual time; deterministic for a seed. Units: periods and bytes.
#ifndef LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_
#define LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lemoncroft::benchmark {

struct HeartbeatResult {
  std::vector<double> detect, known_all;  // periods per crash until the first and the last member knows
  double false_failures_per_hour = 0;
  double bytes_per_s = 0, messages_per_s = 0;  // sent by one member
};

struct HeartbeatPlan {
  std::uint64_t seed = 1;
  std::size_t members = 128;
  std::size_t crashes = 10;
  double loss = 0;
  std::size_t late = 0;  // members that are repeatedly late by up to three periods
  double periods = 40;   // between crashes, or in total without crashes
  double period_s = 0.25, bytes = 150;
};

HeartbeatResult PlayHeartbeats(const HeartbeatPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_
