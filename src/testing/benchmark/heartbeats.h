// The baseline: every member tells every other, each period, that it lives; four missed and it is called
// failed.
//
// In virtual time, for the measurement alone. Deterministic for a seed. Units: periods; bytes.
#ifndef LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_
#define LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lemoncroft::benchmark {

struct HeartbeatResult {
  std::vector<double> detect, known_all;  // of each crash: at the first and at the last
  double false_failures_per_hour = 0;
  double bytes_per_s = 0, messages_per_s = 0;  // that one member sends
};

struct HeartbeatPlan {
  std::uint64_t seed = 1;
  std::size_t members = 128;
  std::size_t crashes = 10;
  double loss = 0;
  std::size_t late = 0;  // members that are late by up to three periods, again and again
  double periods = 40;   // between crashes, or in all where there are none
  double period_s = 0.25, bytes = 150;
};

HeartbeatResult PlayHeartbeats(const HeartbeatPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_
