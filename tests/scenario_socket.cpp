#include "scenario_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <thread>

#include "scenario_step.h"

namespace lemoncroft::scenario {

using runtime::Descriptor;
using namespace std::chrono_literals;

namespace {

constexpr auto kPiecePause = 300us;
std::size_t piece_size = 0;

sockaddr_in Loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

}  // namespace

ListeningSocket Listen() {
  ListeningSocket out{Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), 0};
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (::bind(out.fd.get(), raw, size) != 0 || ::listen(out.fd.get(), 64) != 0)
    Fail("cannot listen on a loopback port");
  ::getsockname(out.fd.get(), raw, &size);
  out.port = ntohs(address.sin_port);
  return out;
}

int FreePort() {
  static int next = ::getpid() * 37;
  for (int attempts = 0; attempts < 1000; ++attempts) {
    const int port = 15000 + ++next % 17000;
    const Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = Loopback(port);
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return port;
  }
  Fail("found no free port");
}

Descriptor ConnectTo(int port, const char* error) {
  Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in to = Loopback(port);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) Fail(error);
  return fd;
}

void SetPieceSize(std::size_t bytes) { piece_size = bytes; }

bool SendAll(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t left = bytes.size() - at, size = piece_size > 0 ? std::min(left, piece_size) : left;
    const ssize_t n = ::send(fd, bytes.data() + at, size, MSG_NOSIGNAL);
    if (n <= 0) return false;  // the peer has closed; the next read shows how
    at += static_cast<std::size_t>(n);
    if (piece_size > 0) std::this_thread::sleep_for(kPiecePause);
  }
  return true;
}

bool ReadSome(int fd, std::string& into) {
  char bytes[65536];
  errno = 0;
  const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
  if (n > 0) into.append(bytes, static_cast<std::size_t>(n));
  return n > 0;
}

int MillisecondsUntil(Clock::time_point deadline) {
  return static_cast<int>(std::max<std::int64_t>(
      0, std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()).count()));
}

}  // namespace lemoncroft::scenario
