#include "runtime/datagram.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace lemoncroft::runtime {
namespace {

constexpr auto kErrorRetryInterval = std::chrono::milliseconds(10);

Descriptor BindSocket(const Address& address) {
  Descriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) throw std::system_error(errno, std::generic_category(), "socket");
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0)
    throw std::system_error(errno, std::generic_category(),
                            "cannot bind a UDP socket to " + address.ToString());
  return fd;
}

}  // namespace

// The buffer needs no initial value: only the part that a datagram has filled is read.
// NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
DatagramSocket::DatagramSocket(Loop& loop, const Address& address) : loop_(loop), fd_(BindSocket(address)) {
  loop_.Watch(fd_.get(), &readiness_);
}

Task<DatagramSocket::Received> DatagramSocket::Receive(Cancellation* cancel) {
  for (;;) {
    Address from;
    socklen_t length = sizeof from.raw;
    const ssize_t n = ::recvfrom(fd_.get(), buffer_, sizeof buffer_, MSG_TRUNC,
                                 reinterpret_cast<sockaddr*>(&from.raw), &length);
    if (n >= 0) {
      const std::size_t size = static_cast<std::size_t>(n);
      co_return Received{
          IoResult::kOk, {buffer_, std::min(size, sizeof buffer_)}, size <= sizeof buffer_, from};
    }
    // Other errors, such as a lack of memory, may persist: retrying immediately would starve other tasks of
    // the loop.
    const bool is_empty = errno == EAGAIN || errno == EWOULDBLOCK;
    const Time retry_at = is_empty ? kNever : Now() + kErrorRetryInterval;
    const WakeReason wake = co_await Waiter(loop_, &readiness_.readable, retry_at, cancel);
    if (wake == WakeReason::kCancelled) co_return Received{IoResult::kCancelled, {}, true, {}};
  }
}

bool DatagramSocket::Send(std::string_view bytes, const Address& to) {
  const auto* raw = reinterpret_cast<const sockaddr*>(&to.raw);
  return ::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, raw, sizeof to.raw) ==
         static_cast<ssize_t>(bytes.size());
}

}  // namespace lemoncroft::runtime
