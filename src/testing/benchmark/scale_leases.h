// Measures what leases and documents cost at a fleet's size, in virtual time: bytes, the leader's processor
// time, and how long a change takes until it is active everywhere.
//
// Contract: deterministic for a seed, except for processor time. Not modelled: that processing takes time.
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
  std::chrono::nanoseconds delay = std::chrono::microseconds(200);   // of each link, one way,
  std::chrono::nanoseconds spread = std::chrono::microseconds(300);  // and up to so much more
  double calm_seconds = 10;
};

struct LeaseCost {
  bool began = false;                                         // all had a lease in time
  double bytes_per_s = 0;                                     // calm, a member
  double leader_bytes_per_s = 0;                              // calm
  double leader_core_percent = 0, leader_change_percent = 0;  // calm; while changes are under way
  double member_core_percent = 0;                             // calm, the mean of those that don't lead
  double bytes_per_change = 0;         // of all together, beyond what a calm time of that length costs
  double leader_bytes_per_change = 0;  // likewise, of the leader alone
  std::vector<double> in_force_ms;     // from the proposal until all act on it; 1e9: not within the patience
  double contradiction_ms = 0;
  std::uint64_t stale_acts = 0;
};

LeaseCost MeasureLeases(const LeasePlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SCALE_LEASES_H_
