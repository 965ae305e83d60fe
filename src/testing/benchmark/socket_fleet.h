// Benchmark of the control plane on real sockets: membership, replicated configuration and peer transport of
// many proxies in one process. Each proxy has its own loopback address; there are no clients and no engines.
//
// Blocks the calling thread; all waits are bounded. A run is inconclusive (neither passed nor failed) if its
// event loop lagged by more than kMaxLoopLag during the measurement. Voters store their logs in memory.
// Throws std::system_error if an address can't be bound. Units: bytes of the frames that a member sends;
// milliseconds; percent of one core.
#ifndef LEMONCROFT_TESTING_BENCHMARK_SOCKET_FLEET_H_
#define LEMONCROFT_TESTING_BENCHMARK_SOCKET_FLEET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lemoncroft::benchmark {

inline constexpr std::chrono::milliseconds kMaxLoopLag{125};  // half a protocol period

struct SocketFleetPlan {
  std::uint64_t seed = 1;
  std::size_t members = 125, voters = 7;
  std::uint16_t port = 0;  // of all proxies; 0: derived from the process ID
  // Time limit until all views agree without unconfirmed members, and all members have a lease.
  std::chrono::seconds settle_timeout{120};
  std::chrono::seconds idle_duration{10};            // duration of the measurement without changes
  std::size_t changes = 3;                           // number of sequential document changes
  std::chrono::milliseconds loop_block_duration{0};  // blocks the loop while it is measured; set by a test
  std::size_t document_bytes = 1000;
};

struct SocketFleetCost {
  bool settled = false;          // before the timeout
  bool is_inconclusive = false;  // longest_lag_ms exceeds kMaxLoopLag
  double longest_lag_ms = 0;     // of the event loop during the measurement
  double settled_after_s = 0;
  double datagram_bytes_per_s = 0, view_bytes_per_s = 0, lease_bytes_per_s = 0;  // per member, idle
  double core_percent = 0;                                                       // per member, idle
  double bytes_per_member = 0;        // memory of all proxies per member and proxy, not only of the views
  std::vector<double> activation_ms;  // from the proposal until all members use the change; 1e9: timed out
};

SocketFleetCost MeasureSocketFleet(const SocketFleetPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SOCKET_FLEET_H_
