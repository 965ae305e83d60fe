// The server for clients: accepts connections, keeps their number within the limit and drains them at
// shutdown.
//
// A connection that fails doesn't affect others. A shortage of descriptors delays accepting.
//
// Owns the listening socket until it has stopped accepting. The coroutines that serve the connections
// (client_connection.h) own them. The loop, settings, broker and counters must outlive the server, and the
// server must outlive all tasks of the loop, which refer to it. Not thread-safe; used on the event loop's
// thread. src/proxy/ creates the server.
#ifndef LEMONCROFT_FRONTEND_FRAME_SERVER_H_
#define LEMONCROFT_FRONTEND_FRAME_SERVER_H_

#include <cstddef>
#include <list>
#include <memory>

#include "broker/broker.h"
#include "frontend/client_connection.h"
#include "metrics/counters.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace lemoncroft::frontend {

class FrameServer {
 public:
  using Limits = ClientLimits;

  FrameServer(runtime::Loop& loop, std::unique_ptr<runtime::Listener> listener,
              const settings::ActiveSettings& settings, broker::Broker& broker, metrics::Counters& counters,
              Limits limits);

  void Start() { loop_.Spawn(AcceptConnections()); }
  // Sets the response to readiness requests until the drain is announced.
  void set_ready(bool ready) { context_.is_ready = ready; }
  // Enables or disables wait notices to clients that ask for them.
  void set_wait_notices_enabled(bool enabled) { context_.sends_wait_notices = enabled; }
  void set_max_connections(std::size_t max_connections) { context_.limits.max_connections = max_connections; }

  // Asks the clients of all present connections to send no new requests on them. From now on readiness
  // requests are answered with "not ready", regardless of set_ready().
  void AnnounceDrain();
  // Handling of the connections in the listening socket's queue: they are accepted first, or left to another
  // process that shares the socket.
  enum class BacklogPolicy { kAcceptQueued, kLeaveQueued };
  void StopAccepting(BacklogPolicy backlog_policy);
  // Begins to close all connections without open requests, output to write, unread input or a partial frame.
  // Call repeatedly until CountOpenConnections() is 0.
  void CloseIdleConnections();
  std::size_t CountOpenConnections();
  bool IsFlushed() const;  // every response has been handed to the kernel

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;

  // Connections that may be closed to make room for a new one, in order of preference; null if there is none.
  struct EvictionCandidates {
    ConnectionPtr lingering;     // in a lingering close that may be stopped
    ConnectionPtr unused;        // the oldest that has sent no valid request
    ConnectionPtr longest_idle;  // idle for the longest time, of those that have sent one
    std::size_t closing = 0;     // connections that are closing already
  };

  runtime::Task<> AcceptConnections();
  runtime::Task<> ServeConnection(ConnectionPtr connection);

  // Capacity.
  runtime::Task<> WaitForCapacity();
  bool HasCapacity() { return CountOpenConnections() < context_.limits.max_connections; }
  std::size_t SpareConnections() const;  // number of connections to free ahead of need
  EvictionCandidates FindEvictionCandidates() const;
  void EvictConnection();
  // Drops the clients with the most unread output until the total is within its limit.
  void ReclaimOutput();
  // Releases input buffers until their total is within its limit.
  void ReclaimInput();
  // Returns the connection whose input buffer is to be released next; null if none has any.
  ConnectionPtr FindInputToReclaim() const;
  void LogRejectedConnection();

  runtime::Loop& loop_;
  ConnectionContext context_;
  std::unique_ptr<runtime::Listener> listener_;
  runtime::Cancellation stop_accepting_;
  runtime::ConditionVariable capacity_available_;
  std::list<std::weak_ptr<ClientConnection>> connections_;  // oldest first
  std::size_t rejected_connections_ = 0;
  runtime::Time rejection_logged_at_{};
  BacklogPolicy backlog_policy_ = BacklogPolicy::kAcceptQueued;
};

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_FRAME_SERVER_H_
