// Divides the limits of one proxy between its processes: during a hot restart two or more live side by side.
//
// Contract. Pure arithmetic: no I/O, no clock. Owner: none. Units: connections and descriptors. Errors: none;
// a process always gets enough connections to make progress, even where the limits are exceeded by it.
#ifndef LEMONCROFT_HOT_RESTART_PROCESS_LIMITS_H_
#define LEMONCROFT_HOT_RESTART_PROCESS_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::hot_restart {

// What one process uses, as it publishes it. The registry's file holds this struct byte for byte.
struct ConnectionUsage {
  std::uint32_t clients = 0;  // connections of clients
  std::uint32_t engines = 0;  // connections to engines
  std::uint32_t serving = 0;  // 1: accepts clients; 0: starting or draining
};

// The other live processes of this proxy.
struct PeerProcesses {
  std::size_t processes = 0;
  ConnectionUsage usage;  // summed over them
};

// The limits of the proxy as a whole.
struct ProxyLimits {
  std::size_t descriptors = 0;           // open at once, over all processes
  std::size_t clients = 0;               // connections of clients, over all processes
  std::size_t reserved_per_process = 0;  // descriptors that each process needs beside its connections
};

// The part of ProxyLimits that one process may use now.
struct ProcessLimits {
  std::size_t clients = 0;
  std::size_t engines = 0;
};

// The number of processes between which rate budgets are divided: those that accept clients, this one
// included. A process that doesn't serve (starting or draining)
// divides by 1.
[[nodiscard]] int ProcessCount(const ConnectionUsage& own, const PeerProcesses& others);

// The connections that this process may hold. Alone it gets all of them. Beside others it gets what they
// don't use, and at least a minimum; the part for engines leaves room for clients that may still come.
[[nodiscard]] ProcessLimits DivideLimits(const ProxyLimits& limits, const ConnectionUsage& own,
                                         const PeerProcesses& others);

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_PROCESS_LIMITS_H_
