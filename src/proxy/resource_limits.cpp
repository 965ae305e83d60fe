#include "proxy/resource_limits.h"

#include <algorithm>

#include "admin/listener.h"

namespace lemoncroft::proxy {
namespace {

constexpr std::size_t kDefaultMaxDescriptors = 1024;
constexpr std::size_t kReservedDescriptors = 40;    // epoll, signals, log, control feed, short-lived calls
constexpr Nanos kDefaultKeepalive = 5'000'000'000;  // of engines, if the settings have none

}  // namespace

runtime::Duration EngineIdleTimeout(const settings::Site& site) {
  // The proxy closes the connection well before the engine does, so that no statement is sent on a connection
  // that the engine is closing.
  return decision::ToDuration(site.keepalive > 0 ? site.keepalive : kDefaultKeepalive) * 3 / 4;
}

hot_restart::ProxyLimits ProxyLimitsOf(const Config& config) {
  const std::size_t descriptors =
      config.max_descriptors > 0 ? config.max_descriptors : kDefaultMaxDescriptors;
  const std::size_t admin = config.admin_address ? admin::Listener::kMaxConnections + 1 : 0;
  hot_restart::ProxyLimits limits;
  limits.descriptors = descriptors;
  limits.clients = descriptors * 2 / 5;  // normally a third is used; the rest is for reconnecting clients
  limits.reserved_per_process = kReservedDescriptors + admin;
  return limits;
}

backend::ConnectionPool::Limits PoolLimits(const Config& config) {
  backend::ConnectionPool::Limits limits;
  limits.max_connections = hot_restart::DivideLimits(ProxyLimitsOf(config), {}, {}).engines;
  limits.idle_timeout = EngineIdleTimeout(config.site);
  return limits;
}

frontend::FrameServer::Limits ClientLimits(const Config& config, std::size_t memory_mb) {
  frontend::FrameServer::Limits limits;
  limits.max_connections = ProxyLimitsOf(config).clients;
  if (memory_mb > 0) {
    limits.max_total_unread_bytes = (memory_mb << 20) / 8;
    limits.max_total_unparsed_bytes = (memory_mb << 20) / 4;
  }
  return limits;
}

broker::Broker::Limits RequestLimits(const Config& config, std::size_t memory_mb,
                                     std::size_t default_max_open_requests) {
  broker::Broker::Limits limits;
  limits.max_requests = MaxOpenRequests(config.site, default_max_open_requests);
  if (memory_mb > 0) limits.max_bytes = (memory_mb << 20) / 8;
  return limits;
}

std::size_t MaxOpenRequests(const settings::Site& site, std::size_t default_max_open_requests) {
  if (site.max_open_requests <= 0) return default_max_open_requests;
  return std::min(default_max_open_requests, static_cast<std::size_t>(site.max_open_requests));
}

}  // namespace lemoncroft::proxy
