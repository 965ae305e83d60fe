// Divides the limits of one proxy between its processes; during a hot restart, two or more run at once.
//
// Pure functions without I/O or a clock. Limits count connections and descriptors. A process always gets
// enough connections to make progress, even if the proxy's limits are exceeded.
#ifndef LEMONCROFT_HOT_RESTART_PROCESS_LIMITS_H_
#define LEMONCROFT_HOT_RESTART_PROCESS_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::hot_restart {

// The usage that one process publishes. The registry's file contains this struct byte for byte.
struct ConnectionUsage {
  std::uint32_t clients = 0;  // connections of clients
  std::uint32_t engines = 0;  // connections to engines
  // 1: accepts clients; 0: starting or draining. In a sum, the number of processes that accept clients.
  std::uint32_t serving = 0;
};

// The other live processes of this proxy.
struct OtherProcesses {
  std::size_t processes = 0;
  ConnectionUsage usage;  // summed over them
};

// The limits of the proxy, over all of its processes.
struct ProxyLimits {
  std::size_t descriptors = 0;           // open at once, over all processes
  std::size_t clients = 0;               // connections of clients, over all processes
  std::size_t reserved_per_process = 0;  // descriptors that each process needs besides its connections
};

// The part of ProxyLimits that one process may use now.
struct ProcessLimits {
  std::size_t clients = 0;
  std::size_t engines = 0;
};

// Returns the number of processes between which rate budgets are divided: those that accept clients,
// including this one. Returns 1 for a process that does not serve (starting or draining).
[[nodiscard]] int RateBudgetDivisor(const ConnectionUsage& own, const OtherProcesses& others);

// Returns the connections that this process may have open. A single process gets all of them. One of several
// gets those that the others do not use, but at least a minimum; the limit for engines reserves descriptors
// for clients that may still connect.
[[nodiscard]] ProcessLimits DivideLimits(const ProxyLimits& limits, const ConnectionUsage& own,
                                         const OtherProcesses& others);

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_PROCESS_LIMITS_H_
