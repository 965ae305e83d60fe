// The operators' listener: a connection carries one command and gets one reply, however busy the proxy is.
//
// Contract. Everything happens on the event loop's thread. What a command does is the handler's business
// (proxy/operations.h). Bounds: kMaxConnections at a time, kMaxLineBytes for a command, 2 s for it to arrive
// and 1 s for the reply to be read. Errors: a connection that fails ends alone; the constructor throws
// std::system_error.
//
// Owns its listening socket and its connections. It must outlive the loop's tasks, which refer to it.
#ifndef LEMONCROFT_ADMIN_LISTENER_H_
#define LEMONCROFT_ADMIN_LISTENER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "admin/command.h"
#include "runtime/socket.h"

namespace lemoncroft::admin {

struct Reply {
  bool accepted = false;
  std::string message;  // in the first line; may be empty
  std::string body;     // complete lines that follow
};

class Listener {
 public:
  using Handler = std::function<Reply(const Command&)>;
  using FollowUp = std::function<runtime::Task<Reply>(Command, Reply)>;

  static constexpr std::size_t kMaxConnections = 16;  // descriptors that it may take beside its own

  // Throws std::system_error if it cannot listen.
  Listener(runtime::Loop& loop, const runtime::Address& address, Handler handler)
      : loop_(loop), listener_(loop, address), handler_(std::move(handler)) {}

  // Runs after the handler and may change its reply before it is sent; it may take as long as the fleet needs
  // to agree. Optional.
  FollowUp follow_up;

  runtime::Task<> Run();

 private:
  struct Connection {
    std::unique_ptr<runtime::Socket> socket;
    runtime::Cancellation evicted;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void EvictOldest();
  runtime::Task<> Serve(ConnectionPtr connection);
  // Reads a command; the error is the message of the reply.
  runtime::Task<tl::expected<Command, std::string>> ReadCommand(Connection& connection);
  runtime::Task<Reply> ReplyTo(Connection& connection);

  runtime::Loop& loop_;
  runtime::Listener listener_;
  Handler handler_;
  std::list<ConnectionPtr> connections_;  // by age
};

}  // namespace lemoncroft::admin

#endif  // LEMONCROFT_ADMIN_LISTENER_H_
