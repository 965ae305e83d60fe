#include "testing/fault_test/emulated_engine.h"

#include <cstdlib>
#include <utility>

#include "testing/fault_test/tcp_server.h"

namespace lemoncroft::fault_test {

using runtime::IoResult;
using runtime::Task;

namespace {

constexpr std::size_t kReadBytes = 4096;

// Words of the engine protocol.
constexpr const char* kHeaderContentLength = "Content-Length";
constexpr const char* kSubmitMethod = "POST";
constexpr const char* kHealthCheckStart = "GET /healthz";
constexpr const char* kRow = "a\tb\tc\n";
constexpr const char* kPageHead = "HTTP/1.1 200 OK\r\nChunks: 1\r\nElapsed-Work: 5\r\nHigh-Water: 1\r\n";
constexpr const char* kHealthyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kNoContentResponse = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";

std::string PageResponse() {
  const std::string length = std::to_string(std::string(kRow).size());
  return std::string(kPageHead) + kHeaderContentLength + ": " + length + "\r\n\r\n" + kRow;
}

}  // namespace

void EmulatedEngine::Start() {
  loop_.Spawn(AcceptConnections(loop_, listener_, [this](std::unique_ptr<runtime::Socket> socket) {
    return Serve(std::move(socket));
  }));
}

Task<> EmulatedEngine::Serve(std::unique_ptr<runtime::Socket> socket) {
  for (std::string buffer;;) {
    const std::optional<std::string> head = co_await ReadRequestHead(*socket, buffer);
    if (!head || !co_await ReadBody(*socket, buffer, *head)) co_return;
    std::string response = kNoContentResponse;
    if (head->starts_with(kSubmitMethod)) {
      co_await loop_.Sleep(work_);
      response = PageResponse();
    } else if (head->starts_with(kHealthCheckStart)) {
      response = kHealthyResponse;
    }
    if (!co_await WriteResponse(*socket, response)) co_return;
  }
}

Task<bool> EmulatedEngine::ReadBody(runtime::Socket& socket, std::string& buffer, const std::string& head) {
  const std::size_t body = std::strtoul(HeaderValue(head, kHeaderContentLength).c_str(), nullptr, 10);
  const std::size_t request = head.size() + kHeadSeparatorBytes + body;
  while (buffer.size() < request)
    if (co_await socket.Read(buffer, kReadBytes, runtime::kNever) != IoResult::kOk) co_return false;
  buffer.erase(0, request);
  co_return true;
}

}  // namespace lemoncroft::fault_test
