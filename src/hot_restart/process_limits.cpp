#include "hot_restart/process_limits.h"

#include <algorithm>

namespace lemoncroft::hot_restart {
namespace {

constexpr std::size_t kMinEngineConnections = 16;
// Connections that other processes may open before their usage is read again.
constexpr std::size_t kConnectionMargin = 16;
// Each further process may have 1 / kMinClientsDivisor of the client connections, whatever the others use.
constexpr std::size_t kMinClientsDivisor = 4;

std::size_t SaturatingSubtract(std::size_t from, std::size_t amount) { return from - std::min(from, amount); }

}  // namespace

int RateBudgetDivisor(const ConnectionUsage& own, const OtherProcesses& others) {
  return own.serving > 0 ? static_cast<int>(others.usage.serving) + 1 : 1;
}

ProcessLimits DivideLimits(const ProxyLimits& limits, const ConnectionUsage& own,
                           const OtherProcesses& others) {
  if (others.processes == 0) {
    const std::size_t engines =
        SaturatingSubtract(limits.descriptors, limits.clients + limits.reserved_per_process);
    return {limits.clients, std::max(kMinEngineConnections, engines)};
  }
  const std::size_t processes = others.processes + 1;
  const std::size_t min_clients = limits.clients / kMinClientsDivisor;
  ProcessLimits result;
  result.clients = std::max(min_clients, SaturatingSubtract(limits.clients, others.usage.clients));

  const std::size_t max_total_clients = limits.clients + others.processes * min_clients;
  const std::size_t expected_clients =
      std::min(max_total_clients, own.clients + others.usage.clients + limits.clients / 2);
  const std::size_t total_engines =
      SaturatingSubtract(limits.descriptors, expected_clients + processes * limits.reserved_per_process);
  const std::size_t min_engines = total_engines / (2 * processes);
  const std::size_t max_engines = SaturatingSubtract(total_engines, others.processes * min_engines);
  const std::size_t unused_engines =
      SaturatingSubtract(total_engines, others.usage.engines + kConnectionMargin);
  result.engines = std::max(kMinEngineConnections, std::clamp(unused_engines, min_engines, max_engines));
  return result;
}

}  // namespace lemoncroft::hot_restart
