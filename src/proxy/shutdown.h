// Ends the proxy after SIGTERM without losing requests that it has accepted.
//
// The order is: clients are notified that the process ends; new connections, and then new requests, are
// served for a short time more; open requests are completed; idle connections are closed; attempts without a
// waiting client are cancelled at the engines; the proxy leaves the fleet; the loop stops. The deadlines of
// open requests and the timeouts for clients that read nothing bound the time that this takes.
#ifndef LEMONCROFT_PROXY_SHUTDOWN_H_
#define LEMONCROFT_PROXY_SHUTDOWN_H_

#include "broker/broker.h"
#include "frontend/frame_server.h"
#include "proxy/fleet.h"
#include "runtime/loop.h"
#include "settings/settings.h"

namespace lemoncroft::proxy {

// Indicates whether another process may also have the clients' listening socket open.
enum class ListenerOwnership {
  kExclusive,  // bound by this process: the connections in its accept queue are lost with the process
  kShared,     // inherited: a successor accepts the connections in its accept queue
};

// Runs on the event loop's thread. `fleet` may be null. All referenced objects must outlive the task.
runtime::Task<> ShutDownGracefully(runtime::Loop& loop, frontend::FrameServer& server, broker::Broker& broker,
                                   const settings::ActiveSettings& active_settings,
                                   ListenerOwnership listener, Fleet* fleet);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_SHUTDOWN_H_
