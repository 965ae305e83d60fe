// Ends the proxy after SIGTERM without losing requests that it has accepted.
//
// Contract. In order: clients are told that the process ends, new connections and then requests are served
// for a short time more, open requests are completed, idle connections are closed, attempts that nobody
// waits for are cancelled at the engines, the proxy leaves the fleet, the loop stops. Owner: RunProxy; the
// event loop's thread. Errors: none. Bounded in time by the deadlines of open requests and by the timeouts
// for clients that read nothing.
#ifndef LEMONCROFT_PROXY_SHUTDOWN_H_
#define LEMONCROFT_PROXY_SHUTDOWN_H_

#include "broker/broker.h"
#include "frontend/frame_server.h"
#include "proxy/fleet.h"
#include "runtime/loop.h"
#include "settings/settings.h"

namespace lemoncroft::proxy {

// Whether another process may hold the clients' listening socket too.
enum class ListenerOwnership {
  kExclusive,  // this process has bound it: clients in its queue are lost with the process
  kShared,     // inherited: a successor accepts the clients in its queue
};

// `fleet` may be null. All that is referred to outlives the task.
runtime::Task<> ShutDownGracefully(runtime::Loop& loop, frontend::FrameServer& server, broker::Broker& broker,
                                   const settings::ActiveSettings& active_settings,
                                   ListenerOwnership listener, Fleet* fleet);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_SHUTDOWN_H_
