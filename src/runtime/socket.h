// Non-blocking TCP sockets on the event loop: every wait has a deadline and can be cancelled.
//
// At most one coroutine reads a socket, and at most one writes it, at a time. The loop outlives the sockets,
// and a socket outlives the tasks that it returned. Errors of connections are returned as IoResult; only
// constructors throw std::system_error. Used on the event loop's thread.
#ifndef LEMONCROFT_RUNTIME_SOCKET_H_
#define LEMONCROFT_RUNTIME_SOCKET_H_

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runtime/loop.h"

namespace lemoncroft::runtime {

// An IPv4 address with a port, as in 127.0.0.1:80.
struct Address {
  sockaddr_in raw{};
  static std::optional<Address> Parse(std::string_view text);  // nullopt if `text` is no address
  std::string ToString() const;
};

// The result of an operation on a socket.
enum class IoResult {
  kOk,
  kClosed,     // the peer closed the connection in order, or no connection could be made
  kReset,      // the connection failed: input may be missing
  kTimeout,    // the deadline has passed
  kCancelled,  // the Cancellation was cancelled
  kRefused,    // no process listens at the address
  // The process or the system lacks descriptors or memory (EMFILE, ENFILE, ENOMEM, ENOBUFS), socket() failed
  // for any reason, or epoll cannot watch the descriptor.
  kNoDescriptors,
};

// One connection, which is closed when the socket is destroyed. See lingering_close.h for a close that gives
// the last bytes time to arrive.
class Socket {
 public:
  // Throws std::system_error if the loop can't watch the descriptor.
  Socket(Loop& loop, Descriptor fd);
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Waits for input and appends it to `into`: at most `max_bytes` and 16 KB. kClosed is the end of the
  // stream: all that the peer sent has been read. kReset: the peer may have sent, or meant to send, more.
  Task<IoResult> Read(std::string& into, std::size_t max_bytes, Time deadline,
                      Cancellation* cancel = nullptr);
  // Writes all of `bytes`, which must outlive the task. `written` is the number of bytes that the kernel
  // accepted, also on failure.
  Task<IoResult> Write(std::string_view bytes, std::size_t& written, Time deadline,
                       Cancellation* cancel = nullptr);
  // Closes the write side: the peer reads the end of the stream after the last byte written.
  void ShutdownWrite();
  // Makes the destruction of this object reset the connection, which drops all bytes that the peer's host
  // hasn't acknowledged.
  void ResetOnClose();
  // Returns true if the peer's host has acknowledged all bytes written. Its process may not have read them.
  bool IsDelivered() const;
  // Returns true if there is no unread input and the peer has not closed: the connection is idle and usable.
  bool IsIdle() const;
  // Returns true if the loop has noticed that the peer has closed its side, or that the connection has
  // failed. There may be unread input.
  bool PeerHasClosed() const { return readiness_.peer_closed; }
  int fd() const { return fd_.get(); }
  Address peer() const;

 private:
  friend class Listener;
  friend Task<IoResult> Connect(Loop&, Address, Time, Cancellation*, std::unique_ptr<Socket>&,
                                std::optional<Address>);

  Loop& loop_;
  DescriptorReadiness readiness_;
  Descriptor fd_;
};

// Opens a connection to `to`. `out` is set only on kOk; kClosed means that `to` is unreachable or that `from`
// cannot be bound. `from`: the local host to connect from, at any of its ports.
Task<IoResult> Connect(Loop& loop, Address to, Time deadline, Cancellation* cancel,
                       std::unique_ptr<Socket>& out, std::optional<Address> from = std::nullopt);

// Takes over the listening socket that this process inherited as descriptor `number`, and makes it
// non-blocking. Throws std::runtime_error if it is not a listening TCP socket. Must be called before any
// other descriptor is opened, which might get the same number.
Descriptor AdoptListeningSocket(int number);

// A listening socket. Destroying it stops listening unless another process has the same socket open.
class Listener {
 public:
  Listener(Loop& loop, const Address& address);  // throws std::system_error
  Listener(Loop& loop, Descriptor listening);    // a non-blocking socket, as from AdoptListeningSocket()
  ~Listener();
  // Waits for a connection. Returns kOk, kCancelled or kNoDescriptors.
  Task<IoResult> Accept(std::unique_ptr<Socket>& out, Cancellation* cancel = nullptr);
  Address address() const;  // as bound

 private:
  Loop& loop_;
  Socket socket_;
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_SOCKET_H_
