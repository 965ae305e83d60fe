// The clients' side of the proxy: accepts connections, keeps them within their limit and drains them at the
// end.
//
// Contract. Everything happens on the event loop's thread. The loop, settings, broker and counters outlive
// the server, and the server outlives all tasks of the loop: they refer to it. Errors: a connection that
// fails ends alone; a shortage of descriptors delays accepting.
//
// Owns the listening socket until it has stopped accepting. Connections (client_connection.h) are owned by
// the coroutines that serve them. Called by the wiring in src/proxy/.
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
  // What readiness requests are answered with, until the drain is announced.
  void set_ready(bool ready) { context_.is_ready = ready; }
  // Whether clients that ask for wait notices get them.
  void set_wait_notices_enabled(bool enabled) { context_.sends_wait_notices = enabled; }
  void set_connections(std::size_t limit) { context_.limits.connections = limit; }

  // Asks the clients of all present connections for no new request on them. Readiness requests are answered
  // with "not ready" from now on, whatever set_ready() says.
  void AnnounceDrain();
  // Connections in the listening socket's queue are accepted first, or left to another process that holds the
  // socket too.
  enum class Queue { kAcceptQueued, kLeaveQueued };
  void StopAccepting(Queue queue);
  // Closes all connections without open requests, unread input or a partial frame. To be called repeatedly
  // until connections() is 0.
  void CloseIdleConnections();
  std::size_t connections();  // open now
  bool flushed() const;       // every response has been handed to the kernel

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;

  // The connections that make room for a new one, best first; null if there is none of the kind.
  struct EvictionCandidates {
    ConnectionPtr lingering;     // in a lingering close
    ConnectionPtr unused;        // the oldest that has sent no valid request
    ConnectionPtr longest_idle;  // of those that have
    std::size_t closing = 0;     // connections that are closing already
  };

  runtime::Task<> AcceptConnections();
  runtime::Task<> ServeConnection(ConnectionPtr connection);

  // Capacity.
  runtime::Task<> WaitForCapacity();
  bool HasCapacity() { return connections() < context_.limits.connections; }
  std::size_t SpareConnections() const;  // that are closed ahead of need
  EvictionCandidates FindEvictionCandidates() const;
  void EvictConnection();
  void LogRejectedConnection();

  runtime::Loop& loop_;
  ConnectionContext context_;
  std::unique_ptr<runtime::Listener> listener_;
  runtime::Cancellation stop_accepting_;
  runtime::ConditionVariable capacity_available_;
  std::list<std::weak_ptr<ClientConnection>> connections_;  // by age
  std::size_t rejected_connections_ = 0;
  runtime::Time rejection_logged_at_{};
  Queue queue_ = Queue::kAcceptQueued;
};

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_FRAME_SERVER_H_
