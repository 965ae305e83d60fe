// Derives the limits of the proxy's parts from its configuration: descriptors, connections, memory, requests.
//
// These are pure functions. Limits that are not configured have defaults. The functions are called at the
// start; those for limits that a reload may change are called at each reload too.
#ifndef LEMONCROFT_PROXY_RESOURCE_LIMITS_H_
#define LEMONCROFT_PROXY_RESOURCE_LIMITS_H_

#include <cstddef>

#include "backend/connection_pool.h"
#include "broker/broker.h"
#include "frontend/frame_server.h"
#include "hot_restart/process_limits.h"
#include "proxy/config.h"
#include "runtime/loop.h"
#include "settings/settings.h"

namespace lemoncroft::proxy {

// Returns the time without a query after which a connection to an engine is closed.
runtime::Duration EngineIdleTimeout(const settings::Site& site);

// Returns the limits of the proxy, for all its processes together.
hot_restart::ProxyLimits ProxyLimitsOf(const Config& config);

// These return the limits of one process. `memory_mb` is the process's part of the proxy's memory, in
// mebibytes; 0: not known.
backend::ConnectionPool::Limits PoolLimits(const Config& config);
frontend::FrameServer::Limits ClientLimits(const Config& config, std::size_t memory_mb);
broker::Broker::Limits RequestLimits(const Config& config, std::size_t memory_mb,
                                     std::size_t default_max_open_requests);

// Returns the maximum number of open requests: that of the settings, but at most `default_max_open_requests`,
// which is also the default.
std::size_t MaxOpenRequests(const settings::Site& site, std::size_t default_max_open_requests);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_RESOURCE_LIMITS_H_
