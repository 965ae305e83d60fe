#include "discovery/feed.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "http/connection.h"

namespace lemoncroft::discovery {
namespace {

using namespace std::chrono_literals;
using runtime::Io;

// An event counts as told once the feed has it, and work to an engine that drains must stop 250 ms later. So
// a connection that has died silently must show, and a new one be up and asked, before that: 150 + 60 ms and
// a round trip or two. While the feed is down a connect and the pause after it stay below that as well.
constexpr auto kWait = 150ms;  // asked of the feed
constexpr auto kGrace = 60ms;  // beyond it until a silent feed counts as lost
constexpr auto kConnect = 150ms;
// Between connections: longer with each that brings nothing, and jittered, since hundreds of proxies come
// back to a feed that was down at the same moment.
constexpr runtime::Span kPauseLeast = 10ms, kPauseMost = 80ms;
// A whole list of thousands of engines takes longer than the grace, and goes on coming meanwhile.
constexpr auto kListWithin = 3s;
constexpr codec::HttpParser::Limits kLimits{std::size_t{16} << 10, std::size_t{8} << 20};

}  // namespace

runtime::Task<> Feed::Run() {
  for (;;) {
    if (moved_->cancelled()) moved_ = std::make_unique<runtime::Cancellation>();
    runtime::Cancellation& moved = *moved_;
    if (host_port_.empty()) {
      co_await loop_.SleepUntil(runtime::kNever, &moved);
    } else {
      heard_now_ = false;
      co_await Follow(moved);
      pause_ = heard_now_ ? kPauseLeast : std::clamp(2 * pause_, kPauseLeast, kPauseMost);
      co_await loop_.Sleep(Jittered(pause_), &moved);
    }
  }
}

// Between half and the whole of it.
runtime::Span Feed::Jittered(runtime::Span pause) {
  return pause / 2 +
         runtime::Span(std::uniform_int_distribution<runtime::Span::rep>(0, (pause / 2).count())(random_));
}

// What is asked for at the old address is left at once: a feed that moves away need not close it.
void Feed::MoveTo(std::string host_port) {
  if (host_port == host_port_) return;
  host_port_ = std::move(host_port);
  moved_->Cancel();
}

runtime::Task<> Feed::Follow(runtime::Cancellation& moved) {
  const std::string host_port = host_port_;
  const auto address = runtime::Address::Parse(host_port);
  if (!address) co_return;  // the configuration's reader lets none of these through
  std::unique_ptr<runtime::Socket> socket;
  const Io up = co_await Connect(loop_, *address, runtime::Now() + kConnect, &moved, socket);
  if (up != Io::kOk) {
    spdlog::debug("control feed: no connection to {}", host_port);
    co_return;
  }
  http::Connection connection(std::move(socket), host_port, kLimits);
  for (;;) {
    codec::HttpRequest request;
    request.method = "GET";
    request.path =
        "/v1/events?SUB=" + std::to_string(directory_.last()) + "&wait=" + std::to_string(kWait.count());
    codec::HttpResponse response;
    const runtime::Time begin_by = runtime::Now() + kWait + kGrace;
    Io io = co_await connection.Send(request, begin_by, &moved);
    if (io == Io::kOk) io = co_await connection.Receive(begin_by, begin_by + kListWithin, &moved, response);
    if (io != Io::kOk || response.status != 200) {
      spdlog::info("control feed: connection lost after event {}", directory_.last());
      co_return;
    }
    bool readable = false;
    try {
      readable = directory_.Apply(codec::Json::Parse(response.body), tell_);
    } catch (const codec::JsonError& e) {
      spdlog::warn("control feed: {}", e.what());
    }
    heard_ = heard_ || readable;
    heard_now_ = heard_now_ || readable;
    if (!readable || !connection.Reusable()) co_return;
  }
}

}  // namespace lemoncroft::discovery
