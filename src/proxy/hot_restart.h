// A process of the proxy beside another one: while a hot restart replaces a process, both share the clients'
// listening socket, the limits and the manual ejections.
//
// Contract. Used only by a process that inherited the listening socket ($PROXY_FD). Owner: RunProxy; the
// event loop's thread. Errors: without $TMPDIR the processes don't see each other, and a log line says so.
// docs/operating-service.md tells how a hot restart is done.
#ifndef LEMONCROFT_PROXY_HOT_RESTART_H_
#define LEMONCROFT_PROXY_HOT_RESTART_H_

#include <memory>
#include <string>

#include "broker/broker.h"
#include "discovery/endpoint_directory.h"
#include "discovery/endpoint_watch.h"
#include "frontend/frame_server.h"
#include "hot_restart/process_registry.h"
#include "operator_config/operator_file.h"
#include "proxy/operations.h"
#include "proxy/reload.h"
#include "runtime/descriptor.h"

namespace lemoncroft::proxy {

// The listening socket with that descriptor number, as $PROXY_FD gives it. Throws ConfigError for a text that
// is no number, std::runtime_error for a descriptor that is no listening socket.
runtime::Descriptor InheritListener(const std::string& descriptor_number);

// Registers this process beside the others of the proxy and imports the manual ejections that they store.
// To be called before the first endpoint list. Returns null without $TMPDIR.
std::unique_ptr<hot_restart::ProcessRegistry> JoinPeerProcesses(
    const operator_config::OperatorFile& operator_file, const settings::Site& site, Operations& operations,
    broker::Broker& broker);

// Starts to accept clients once this process can serve as well as its predecessor: with a complete endpoint
// list, and after the control feed's first response and a valid lease, if these come in time.
runtime::Task<> AcceptOnceReady(runtime::Loop& loop, const discovery::EndpointDirectory& directory,
                                const discovery::EndpointWatch& endpoint_watch, frontend::FrameServer& server,
                                Operations& operations);

// Publishes what this process uses and adapts its limits to what the others use, until the loop ends.
runtime::Task<> ShareLimitsWithPeers(runtime::Loop& loop, const hot_restart::ProcessRegistry& registry,
                                     const Operations& operations, ReloadableState& state);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_HOT_RESTART_H_
