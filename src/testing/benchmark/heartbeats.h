// The baseline of the membership benchmark: all-to-all heartbeats. A member that misses four heartbeats is
// declared failed.
//
// The simulation runs in virtual time and is deterministic for a seed. Units: periods and bytes.
#ifndef LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_
#define LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lemoncroft::benchmark {

struct HeartbeatResult {
  // By crash: periods until the first and until the last member detects it.
  std::vector<double> first_detection_periods, last_detection_periods;
  double false_failures_per_hour = 0;
  double bytes_per_s = 0, messages_per_s = 0;  // sent by one member
};

struct HeartbeatPlan {
  std::uint64_t seed = 1;
  std::size_t members = 128;
  std::size_t crashes = 10;
  double loss = 0;
  std::size_t late_members = 0;  // number of members that are repeatedly delayed by up to three periods
  double periods = 40;           // between crashes; total duration if there are no crashes
  double period_s = 0.25, heartbeat_bytes = 150;
};

HeartbeatResult SimulateHeartbeats(const HeartbeatPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_HEARTBEATS_H_
