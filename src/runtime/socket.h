// Non-blocking TCP sockets on the loop: every wait has a deadline and can be cancelled.
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
  static std::optional<Address> Parse(std::string_view text);
  std::string Text() const;
};

enum class Io { kOk, kClosed, kTimeout, kCancelled, kRefused, kNoDescriptors };

class Socket {
 public:
  Socket(Loop& loop, Descriptor fd);
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Appends what has come, at most `most` bytes and 16 KB, to `into`.
  Task<Io> Read(std::string& into, std::size_t most, Time deadline, Cancellation* cancel = nullptr);
  // Writes all of `bytes`; `written` counts what the kernel took, also on failure.
  Task<Io> Write(std::string_view bytes, std::size_t& written, Time deadline, Cancellation* cancel = nullptr);
  // Nothing more will be written: the peer reads an end behind what has been.
  void EndWriting();
  // True while the peer has neither closed nor sent anything: a pooled connection that is fit for use.
  bool Quiet() const;
  int fd() const { return fd_.get(); }
  Address peer() const;

 private:
  friend class Listener;
  friend Task<Io> Connect(Loop&, Address, Time, Cancellation*, std::unique_ptr<Socket>&,
                          std::optional<Address>);

  Loop& loop_;
  Watched watched_;
  Descriptor fd_;
};

// kRefused, kTimeout, kCancelled, kClosed (unreachable) and kNoDescriptors leave `out` empty. `from`: the
// host that it comes from, at any port of it.
Task<Io> Connect(Loop& loop, Address to, Time deadline, Cancellation* cancel, std::unique_ptr<Socket>& out,
                 std::optional<Address> from = std::nullopt);

// The listening socket that this process was started with as that descriptor, made fit for a Listener. Throws
// std::runtime_error, which says what is wrong, where there is none. Before anything else is opened: what the
// number names must not be a descriptor of our own.
Descriptor InheritedListener(int number);

class Listener {
 public:
  Listener(Loop& loop, const Address& address);  // throws std::system_error
  Listener(Loop& loop, Descriptor listening);    // non-blocking; other processes may hold it too
  ~Listener();
  // kOk; kCancelled; or kNoDescriptors where the process or the system has no more.
  Task<Io> Accept(std::unique_ptr<Socket>& out, Cancellation* cancel = nullptr);
  Address address() const;  // as bound

 private:
  Loop& loop_;
  Socket socket_;
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_SOCKET_H_
