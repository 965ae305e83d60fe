// Derives the limits of the proxy's parts from its configuration: descriptors, connections, memory, requests.
//
// Contract. Pure functions: no I/O, no clock. Owner: none. Units: descriptors, megabytes, requests. Errors:
// none; figures that the configuration doesn't give have defaults. Called at the start, and at each reload
// for what a reload may change.
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

// After this time without a query, a connection to an engine is closed.
runtime::Duration EngineIdleTimeout(const settings::Site& site);

// Limits of the proxy as a whole, over all its processes.
hot_restart::ProxyLimits ProxyLimitsOf(const Config& config);

// Limits of one process. `memory_mb` is its part of the proxy's memory; 0: not known.
backend::ConnectionPool::Limits PoolLimits(const Config& config);
frontend::FrameServer::Limits ClientLimits(const Config& config, std::size_t memory_mb);
broker::Broker::Limits RequestLimits(const Config& config, std::size_t memory_mb,
                                     std::size_t default_max_open);

// Requests open at a time: the settings' figure, `default_max_open` at most and by default.
std::size_t MaxOpenRequests(const settings::Site& site, std::size_t default_max_open);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_RESOURCE_LIMITS_H_
