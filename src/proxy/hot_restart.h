// Support for several processes of one proxy: while a hot restart replaces a process, the old and the new one
// share the clients' listening socket, the limits and the manual ejections.
//
// Only a process that inherited the listening socket ($PROXY_FD) uses these functions, on the event loop's
// thread. If $TMPDIR is not set or cannot be used, the processes do not see each other; a warning is logged.
// docs/operating-service.md describes the procedure.
#ifndef LEMONCROFT_PROXY_HOT_RESTART_H_
#define LEMONCROFT_PROXY_HOT_RESTART_H_

#include <memory>
#include <string>

#include "broker/broker.h"
#include "discovery/endpoint_directory.h"
#include "discovery/endpoint_watch.h"
#include "frontend/frame_server.h"
#include "hot_restart/ordering_key_turns.h"
#include "hot_restart/process_registry.h"
#include "hot_restart/shared_file.h"
#include "operator_config/operator_file.h"
#include "proxy/operations.h"
#include "proxy/reload.h"
#include "runtime/descriptor.h"

namespace lemoncroft::proxy {

// Adopts the listening socket with the descriptor number that $PROXY_FD has. Throws ConfigError if the text
// is not a number, std::runtime_error if the descriptor is not a listening socket.
runtime::Descriptor InheritListener(const std::string& descriptor_number);

// What this process shares with the other processes of the proxy. A part is null if $TMPDIR can't be used for
// it.
struct SharedState {
  std::unique_ptr<hot_restart::ProcessRegistry> registry;
  std::unique_ptr<hot_restart::OrderingKeyTurns> ordering_key_turns;  // used by the broker
  // The operators' manual ejections that no active version contains yet. Null without a replicated
  // configuration.
  std::unique_ptr<hot_restart::SharedFile> ejection_requests;
};

// Registers this process with the other processes of the proxy, and has the broker keep the order of ordering
// keys with them. Imports the manual ejections that these have stored; those of a replicated configuration
// are in SharedState::ejection_requests. Must be called before the first endpoint list is applied and before
// the broker is started.
SharedState JoinOtherProcesses(const operator_config::OperatorFile& operator_file, const settings::Site& site,
                               Operations& operations, broker::Broker& broker);

// Starts to accept clients once this process can serve as well as its predecessor: once it has a complete
// endpoint list, and, unless a timeout passes first, the control feed's first response and a valid lease.
runtime::Task<> AcceptOnceReady(runtime::Loop& loop, const discovery::EndpointDirectory& directory,
                                const discovery::EndpointWatch& endpoint_watch, frontend::FrameServer& server,
                                Operations& operations);

// Publishes this process's connection usage and adapts its limits to the usage of the other processes, until
// the loop ends.
runtime::Task<> ShareLimitsWithOtherProcesses(runtime::Loop& loop,
                                              const hot_restart::ProcessRegistry& registry,
                                              const Operations& operations, ReloadableState& state);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_HOT_RESTART_H_
