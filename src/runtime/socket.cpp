#include "runtime/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <system_error>

namespace lemoncroft::runtime {
namespace {

constexpr std::size_t kMaxReadBytes = std::size_t{16} * 1024;
constexpr int kListenBacklog = 1024;

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

bool IsShortage(int error) {
  return error == EMFILE || error == ENFILE || error == ENOMEM || error == ENOBUFS;
}

IoResult FromWake(WakeReason wake) {
  return wake == WakeReason::kTimeout ? IoResult::kTimeout : IoResult::kCancelled;
}

void SetOption(int fd, int level, int name) {
  const int on = 1;
  ::setsockopt(fd, level, name, &on, sizeof on);
}

// Returns null if the loop can't watch the descriptor: a shortage must not end the task that encounters it.
std::unique_ptr<Socket> MakeSocket(Loop& loop, Descriptor fd) {
  try {
    return std::make_unique<Socket>(loop, std::move(fd));
  } catch (const std::system_error&) {
    return nullptr;
  }
}

Descriptor Listen(const Address& address) {
  Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) throw std::system_error(errno, std::generic_category(), "socket");
  SetOption(fd.get(), SOL_SOCKET, SO_REUSEADDR);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address.raw);
  if (::bind(fd.get(), raw, sizeof address.raw) != 0 || ::listen(fd.get(), kListenBacklog) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + address.ToString());
  }
  return fd;
}

}  // namespace

Descriptor AdoptListeningSocket(int number) {
  const std::string name = "descriptor " + std::to_string(number);
  if (::fcntl(number, F_GETFD) < 0) throw std::runtime_error(name + " is not open");
  const auto option = [&](int which) {
    int value = -1;
    socklen_t size = sizeof value;
    return ::getsockopt(number, SOL_SOCKET, which, &value, &size) == 0 ? value : -1;
  };
  if (option(SO_DOMAIN) != AF_INET || option(SO_TYPE) != SOCK_STREAM)
    throw std::runtime_error(name + " is no TCP socket over IPv4");
  if (option(SO_ACCEPTCONN) != 1) throw std::runtime_error(name + " is a socket that does not listen");
  ::fcntl(number, F_SETFD, FD_CLOEXEC);
  ::fcntl(number, F_SETFL, ::fcntl(number, F_GETFL) | O_NONBLOCK);
  return Descriptor(number);
}

std::optional<Address> Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string host(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  Address out;
  out.raw.sin_family = AF_INET;
  if (error != std::errc() || end != port.data() + port.size()) return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &out.raw.sin_addr) != 1) return std::nullopt;
  out.raw.sin_port = htons(number);
  return out;
}

std::string Address::ToString() const {
  char host[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &raw.sin_addr, host, sizeof host);
  return host + (":" + std::to_string(ntohs(raw.sin_port)));
}

Socket::Socket(Loop& loop, Descriptor fd) : loop_(loop), fd_(std::move(fd)) {
  loop_.Watch(fd_.get(), &readiness_);
}

Task<IoResult> Socket::Read(std::string& into, std::size_t max_bytes, Time deadline, Cancellation* cancel) {
  // Shared by all sockets, so that waiting sockets need no memory for their reads.
  static thread_local std::array<char, kMaxReadBytes> scratch;
  for (;;) {
    const ssize_t n = ::recv(fd_.get(), scratch.data(), std::min(max_bytes, scratch.size()), 0);
    if (n > 0) into.append(scratch.data(), static_cast<std::size_t>(n));
    if (n > 0) co_return IoResult::kOk;
    if (n == 0) co_return IoResult::kClosed;
    if (errno == EINTR) continue;
    if (!WouldBlock(errno)) co_return IoResult::kReset;
    const WakeReason wake = co_await Waiter(loop_, &readiness_.readable, deadline, cancel);
    if (wake != WakeReason::kReady) co_return FromWake(wake);
  }
}

Task<IoResult> Socket::Write(std::string_view bytes, std::size_t& written, Time deadline,
                             Cancellation* cancel) {
  written = 0;
  while (written < bytes.size()) {
    const ssize_t n = ::send(fd_.get(), bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (n >= 0) {
      written += static_cast<std::size_t>(n);
      continue;
    }
    if (errno == EINTR) continue;
    if (!WouldBlock(errno)) co_return IoResult::kReset;
    const WakeReason wake = co_await Waiter(loop_, &readiness_.writable, deadline, cancel);
    if (wake != WakeReason::kReady) co_return FromWake(wake);
  }
  co_return IoResult::kOk;
}

void Socket::ShutdownWrite() { ::shutdown(fd_.get(), SHUT_WR); }

void Socket::ResetOnClose() {
  const linger option{1, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

bool Socket::IsDelivered() const {
  int unacknowledged_bytes = 0;
  return ::ioctl(fd_.get(), SIOCOUTQ, &unacknowledged_bytes) == 0 && unacknowledged_bytes == 0;
}

bool Socket::IsIdle() const {
  char byte = 0;
  return ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && WouldBlock(errno);
}

Address Socket::peer() const {
  Address out;
  socklen_t size = sizeof out.raw;
  ::getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&out.raw), &size);
  return out;
}

Task<IoResult> Connect(Loop& loop, Address to, Time deadline, Cancellation* cancel,
                       std::unique_ptr<Socket>& out, std::optional<Address> from) {
  Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) co_return IoResult::kNoDescriptors;
  SetOption(fd.get(), IPPROTO_TCP, TCP_NODELAY);
  if (from) {
    from->raw.sin_port = 0;
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&from->raw), sizeof from->raw) != 0)
      co_return IoResult::kClosed;
  }
  // The socket is watched only after the handshake has begun: before that, epoll reports it as hung up.
  const int failed = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to.raw), sizeof to.raw);
  if (failed != 0 && errno != EINPROGRESS)
    co_return errno == ECONNREFUSED ? IoResult::kRefused : IoResult::kClosed;
  std::unique_ptr<Socket> socket = MakeSocket(loop, std::move(fd));
  if (!socket) co_return IoResult::kNoDescriptors;
  if (failed != 0) {
    const WakeReason wake = co_await Waiter(loop, &socket->readiness_.writable, deadline, cancel);
    if (wake != WakeReason::kReady) co_return FromWake(wake);
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket->fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) co_return error == ECONNREFUSED ? IoResult::kRefused : IoResult::kClosed;
  }
  out = std::move(socket);
  co_return IoResult::kOk;
}

Listener::Listener(Loop& loop, const Address& address) : loop_(loop), socket_(loop, Listen(address)) {}

Listener::Listener(Loop& loop, Descriptor listening) : loop_(loop), socket_(loop, std::move(listening)) {}

// If another process has the same socket open, closing this descriptor leaves the socket in the epoll set.
Listener::~Listener() { loop_.Unwatch(socket_.fd()); }

Task<IoResult> Listener::Accept(std::unique_ptr<Socket>& out, Cancellation* cancel) {
  for (;;) {
    Descriptor fd(::accept4(socket_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) {
      SetOption(fd.get(), IPPROTO_TCP, TCP_NODELAY);
      out = MakeSocket(loop_, std::move(fd));
      co_return out ? IoResult::kOk : IoResult::kNoDescriptors;
    }
    if (IsShortage(errno)) co_return IoResult::kNoDescriptors;
    if (WouldBlock(errno)) {
      const WakeReason wake = co_await Waiter(loop_, &socket_.readiness_.readable, kNever, cancel);
      if (wake == WakeReason::kCancelled) co_return IoResult::kCancelled;
    }
    // Other errors concern only the connection that was to be accepted: try the next one.
  }
}

Address Listener::address() const {
  Address out;
  socklen_t size = sizeof out.raw;
  ::getsockname(socket_.fd(), reinterpret_cast<sockaddr*>(&out.raw), &size);
  return out;
}

}  // namespace lemoncroft::runtime
