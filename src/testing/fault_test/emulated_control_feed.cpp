#include "testing/fault_test/emulated_control_feed.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "testing/fault_test/tcp_server.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr auto kPollTimeout = 2000ms, kEventCheckInterval = 10ms;

// Returns the last revision that the polling client has: the number after the first '=' of the request
// head (GET /v1/events?SUB=7), or 0 if there is none.
std::size_t KnownRevision(const std::string& head) {
  const std::size_t at = head.find('=');
  return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 1, nullptr, 10);
}

}  // namespace

void EmulatedControlFeed::Start() {
  loop_.Spawn(AcceptConnections(loop_, listener_, [this](std::unique_ptr<runtime::Socket> socket) {
    return Serve(std::move(socket));
  }));
}

void EmulatedControlFeed::Publish(const std::string& endpoints) {
  const std::string revision = std::to_string(events_.size() + 1);
  const std::string complete = events_.empty() ? "true" : "false";
  events_.push_back("{\"n\":" + revision + ",\"members\":{\"revision\":" + revision +
                    ",\"complete\":" + complete + ",\"members\":[" + endpoints + "]}}");
}

std::string EmulatedControlFeed::EventsAfter(std::size_t revision) const {
  std::string out = "{\"n\":" + std::to_string(events_.size()) + ",\"events\":[";
  for (std::size_t i = revision; i < events_.size(); ++i) out += (i > revision ? "," : "") + events_[i];
  return out + "]}";
}

Task<> EmulatedControlFeed::Serve(std::unique_ptr<runtime::Socket> socket) {
  for (std::string buffer;;) {
    const std::optional<std::string> head = co_await ReadRequestHead(*socket, buffer);
    if (!head) co_return;
    buffer.erase(0, head->size() + kHeadSeparatorBytes);
    const std::size_t revision = KnownRevision(*head);
    const runtime::Time deadline = Now() + kPollTimeout;
    while (events_.size() <= revision && Now() < deadline) co_await loop_.Sleep(kEventCheckInterval);
    const std::string body = EventsAfter(std::min(revision, events_.size()));
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!co_await WriteResponse(*socket, response)) co_return;
  }
}

}  // namespace lemoncroft::fault_test
