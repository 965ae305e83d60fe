#include "testing/fault_test/tcp_server.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::IoResult;
using runtime::Now;
using runtime::Task;

namespace {

constexpr std::size_t kMaxHeadBytes = 16384, kReadBytes = 4096;
constexpr auto kWriteTimeout = 1000ms;
constexpr std::string_view kLineEnd = "\r\n", kHeadEnd = "\r\n\r\n";

}  // namespace

Task<> AcceptConnections(runtime::Loop& loop, runtime::Listener& listener, ConnectionHandler serve) {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    const IoResult io = co_await listener.Accept(socket);
    if (io == IoResult::kCancelled) co_return;
    if (io == IoResult::kOk) loop.Spawn(serve(std::move(socket)));
    co_await loop.NextTurn();
  }
}

Task<std::optional<std::string>> ReadRequestHead(runtime::Socket& socket, std::string& buffer) {
  std::size_t end = 0;
  while ((end = buffer.find(kHeadEnd)) == std::string::npos) {
    if (buffer.size() > kMaxHeadBytes) co_return std::nullopt;
    if (co_await socket.Read(buffer, kReadBytes, runtime::kNever) != IoResult::kOk) co_return std::nullopt;
  }
  co_return buffer.substr(0, end + kLineEnd.size());
}

std::string HeaderValue(const std::string& head, const std::string& name) {
  const std::string prefix = std::string(kLineEnd) + name + ": ";
  const std::size_t at = head.find(prefix);
  if (at == std::string::npos) return {};
  const std::size_t from = at + prefix.size();
  return head.substr(from, head.find(kLineEnd, from) - from);
}

Task<bool> WriteResponse(runtime::Socket& socket, std::string response) {
  std::size_t written = 0;
  co_return co_await socket.Write(response, written, Now() + kWriteTimeout) == IoResult::kOk;
}

}  // namespace lemoncroft::fault_test
