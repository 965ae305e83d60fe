// The listener for operators: each connection carries one command and gets one reply, no matter how busy the
// proxy is.
//
// The handler carries the commands out (proxy/operations.h). At most kMaxConnections are open at a time. A
// command has at most kMaxLineBytes and must arrive within 2 s; its reply must be read within 1 s. A
// connection that fails doesn't affect others.
//
// Owns its listening socket and its connections. It must outlive the loop's tasks, which refer to it. Not
// thread-safe; used on the event loop's thread.
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
  std::string message;  // follows ACK or NAK in the first line; may be empty
  std::string body;     // complete lines after the first one
};

class Listener {
 public:
  using Handler = std::function<Reply(const Command&)>;
  using FollowUp = std::function<runtime::Task<Reply>(Command, Reply)>;

  static constexpr std::size_t kMaxConnections = 16;  // each takes a descriptor

  // Throws std::system_error if it cannot listen.
  Listener(runtime::Loop& loop, const runtime::Address& address, Handler handler)
      : loop_(loop), listener_(loop, address), handler_(std::move(handler)) {}

  // Runs after the handler and may change the reply before it is sent. May take as long as the fleet needs to
  // reach agreement. Optional.
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
  std::list<ConnectionPtr> connections_;  // oldest first
};

}  // namespace lemoncroft::admin

#endif  // LEMONCROFT_ADMIN_LISTENER_H_
