// Measures the cost of leases and documents in a fleet of a given size, in virtual time: bytes, the leader's
// processor time, and the time until a change is active at all members.
//
// All results except the processor time are deterministic for a seed. Processing takes no virtual time.
// Units: bytes of frames without UDP, TCP and IP headers; milliseconds; percent of one core.
#ifndef LEMONCROFT_TESTING_BENCHMARK_SCALE_LEASES_H_
#define LEMONCROFT_TESTING_BENCHMARK_SCALE_LEASES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lemoncroft::benchmark {

struct LeasePlan {
  std::uint64_t seed = 1;
  std::size_t members = 125, voters = 7;
  std::size_t changes = 5;
  std::size_t document_bytes = 1000;
  std::chrono::nanoseconds delay = std::chrono::microseconds(200);   // minimum one-way delay of a link
  std::chrono::nanoseconds spread = std::chrono::microseconds(300);  // maximum additional delay
  double idle_seconds = 10;
};

struct LeaseCost {
  bool all_leased = false;        // all members obtained a lease before the timeout
  double bytes_per_s = 0;         // per member, without changes
  double leader_bytes_per_s = 0;  // without changes
  double leader_core_percent = 0, leader_core_percent_in_changes = 0;  // without changes; during changes
  double member_core_percent = 0;      // without changes, mean over all members except the leader
  double bytes_per_change = 0;         // of all members, beyond the cost of the same time without changes
  double leader_bytes_per_change = 0;  // the same for the leader alone
  std::vector<double> activation_ms;   // from the proposal until all members use the change; 1e9: timed out
  double contradiction_ms = 0;
  std::uint64_t stale_uses = 0;
};

LeaseCost MeasureLeases(const LeasePlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SCALE_LEASES_H_
