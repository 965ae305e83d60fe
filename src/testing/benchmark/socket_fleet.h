// Benchmark of the control plane on real sockets: membership, replicated configuration and peer transport of
// many proxies in one process, each on a loopback address of its own, without clients and engines.
//
// Blocks the calling thread; all waits are bounded. A run whose event loop was late by more than kMaxLoopLag
// while measured is inconclusive: neither passed nor failed. Voters keep their logs in memory. Units: bytes
// of frames that a member sends; milliseconds; percent of one core. Errors: std::system_error if an address
// can't be bound.
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
  std::uint16_t port = 0;                    // of all, each on an address of its own; 0: by this process's id
  std::chrono::seconds client_timeout{120};  // until all know all by a datagram of each, and have a lease
  std::chrono::seconds calm{10};             // measured
  std::size_t changes = 3;                   // of a document, one after another
  std::chrono::milliseconds blocked_for{0};  // the loop is held so long while it is measured, by a test
  std::size_t document_bytes = 1000;
};

struct SocketFleetCost {
  bool settled = false;          // within the timeout
  bool is_inconclusive = false;  // the loop was late
  double longest_lag_ms = 0;     // of the loop, while measured
  double settled_after_s = 0;
  double datagram_bytes_per_s = 0, view_bytes_per_s = 0, lease_bytes_per_s = 0;  // calm, a member
  double core_percent = 0;                                                       // calm, a member
  double bytes_per_member = 0;      // of memory, for each member at each proxy, all that a proxy has included
  std::vector<double> in_force_ms;  // from the proposal until all act on it; 1e9: not in time
};

SocketFleetCost MeasureSocketFleet(const SocketFleetPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SOCKET_FLEET_H_
