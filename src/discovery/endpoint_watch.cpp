#include "discovery/endpoint_watch.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "discovery/feed_fields.h"
#include "http/connection.h"

namespace lemoncroft::discovery {
namespace {

using namespace std::chrono_literals;
using runtime::IoResult;

// Requests to a draining engine must stop within 250 ms of the feed's event. Within that time, a connection
// that was lost silently must be detected and replaced, and a feed that was down must be reconnected.
constexpr auto kLongPollTimeout = 150ms;
constexpr auto kLongPollGrace = 60ms;  // after this, a silent feed is treated as lost
constexpr auto kConnectTimeout = 150ms;
// Exponential backoff with jitter, because hundreds of proxies reconnect when a feed becomes available again.
constexpr runtime::Duration kMinBackoff = 10ms, kMaxBackoff = 80ms;
// For the rest of a response that has begun: a list of thousands of engines takes longer than the grace.
constexpr auto kResponseTimeout = 3s;
constexpr codec::HttpParser::Limits kResponseLimits{std::size_t{16} << 10, std::size_t{8} << 20};

}  // namespace

runtime::Task<> EndpointWatch::Run() {
  for (;;) {
    if (address_changed_->cancelled()) address_changed_ = std::make_unique<runtime::Cancellation>();
    runtime::Cancellation& address_changed = *address_changed_;
    if (host_port_.empty()) {
      co_await loop_.SleepUntil(runtime::kNever, &address_changed);
    } else {
      has_response_on_connection_ = false;
      co_await WatchOnce(address_changed);
      backoff_ =
          has_response_on_connection_ ? kMinBackoff : std::clamp(2 * backoff_, kMinBackoff, kMaxBackoff);
      co_await loop_.Sleep(WithJitter(backoff_), &address_changed);
    }
  }
}

// Returns a duration between half of `backoff` and `backoff`.
runtime::Duration EndpointWatch::WithJitter(runtime::Duration backoff) {
  return backoff / 2 + runtime::Duration(std::uniform_int_distribution<runtime::Duration::rep>(
                           0, (backoff / 2).count())(random_));
}

void EndpointWatch::ChangeAddress(std::string host_port) {
  if (host_port == host_port_) return;
  host_port_ = std::move(host_port);
  address_changed_->Cancel();
}

runtime::Task<> EndpointWatch::WatchOnce(runtime::Cancellation& address_changed) {
  const std::string host_port = host_port_;
  const auto address = runtime::Address::Parse(host_port);
  if (!address) co_return;  // the check of the configuration rules this out
  std::unique_ptr<runtime::Socket> socket;
  const IoResult up =
      co_await Connect(loop_, *address, runtime::Now() + kConnectTimeout, &address_changed, socket);
  if (up != IoResult::kOk) {
    spdlog::debug("control feed: cannot connect to {}", host_port);
    co_return;
  }
  http::Connection connection(std::move(socket), host_port, kResponseLimits);
  for (;;) {
    codec::HttpRequest request;
    request.method = "GET";
    request.path = feed::kEventsPathPrefix + std::to_string(directory_.last_revision()) +
                   "&wait=" + std::to_string(kLongPollTimeout.count());
    codec::HttpResponse response;
    const runtime::Time begin_by = runtime::Now() + kLongPollTimeout + kLongPollGrace;
    IoResult io = co_await connection.Send(request, begin_by, &address_changed);
    if (io == IoResult::kOk)
      io = co_await connection.Receive(begin_by, begin_by + kResponseTimeout, &address_changed, response);
    if (io != IoResult::kOk || response.status != 200) {
      spdlog::info("control feed: no usable response after event {}", directory_.last_revision());
      co_return;
    }
    bool readable = false;
    try {
      readable = directory_.Apply(codec::Json::Parse(response.body), on_update_);
    } catch (const codec::JsonError& e) {
      spdlog::warn("control feed: cannot parse the response: {}", e.what());
    }
    has_response_ = has_response_ || readable;
    has_response_on_connection_ = has_response_on_connection_ || readable;
    if (!readable || !connection.Reusable()) co_return;
  }
}

}  // namespace lemoncroft::discovery
