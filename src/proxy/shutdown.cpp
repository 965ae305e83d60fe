#include "proxy/shutdown.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

namespace lemoncroft::proxy {
namespace {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;
using runtime::Time;

// Time after SIGTERM for which new connections are accepted if no successor has the listening socket.
constexpr auto kKeepAcceptingDuration = 500ms;
// Time after SIGTERM for which new requests on open connections are accepted in any case.
constexpr auto kKeepServingDuration = 700ms;
// If the listener is shared, SIGKILL is expected after kKeepServingDuration and a drain time, counted from
// SIGTERM. The drain time is the longest client timeout of a class, but at most kMaxDrainWithSuccessor. Open
// requests are answered kFinalAnswerMargin before that.
constexpr auto kMaxDrainWithSuccessor = 5000ms, kFinalAnswerMargin = 200ms;
constexpr auto kClientCloseTimeout = 200ms;  // for clients to close connections that the proxy has shut down
constexpr auto kCancelAttemptsTimeout = 100ms;  // for cancelling attempts without a waiting client
constexpr auto kDrainPollInterval = 10ms;

// Returns the time by which open requests must be answered because SIGKILL is expected after it.
Time FinalAnswerTime(Time started_at, const settings::Site& site) {
  Nanos longest_timeout = 0;
  for (const ClassSettings& c : site.module.classes)
    longest_timeout = std::max(longest_timeout, c.client_timeout);
  const auto drain_time =
      std::min<runtime::Duration>(decision::ToDuration(longest_timeout), kMaxDrainWithSuccessor);
  return started_at + kKeepServingDuration + drain_time - kFinalAnswerMargin;
}

// Waits until no request is open or `deadline` has passed, then completes the remaining requests.
Task<> CompleteRequestsBy(runtime::Loop& loop, broker::Broker& broker, Time deadline) {
  while (broker.open_requests() > 0 && Now() < deadline) co_await loop.Sleep(kDrainPollInterval);
  if (broker.open_requests() > 0)
    spdlog::info("ending: the time for open requests is over, {} requests are completed now",
                 broker.open_requests());
  broker.CompleteAllRequests();
}

Task<> CloseConnections(runtime::Loop& loop, frontend::FrameServer& server, const broker::Broker& broker) {
  while (broker.open_requests() > 0 || !server.IsFlushed()) {
    server.CloseIdleConnections();
    co_await loop.Sleep(kDrainPollInterval);
  }
  // If the process ended now, the connections on which data has arrived meanwhile would be reset.
  const Time close_by = Now() + kClientCloseTimeout;
  while (server.CountOpenConnections() > 0 && (Now() < close_by || !server.IsFlushed())) {
    server.CloseIdleConnections();
    co_await loop.Sleep(kDrainPollInterval);
  }
}

}  // namespace

Task<> ShutDownGracefully(runtime::Loop& loop, frontend::FrameServer& server, broker::Broker& broker,
                          const settings::ActiveSettings& active_settings, ListenerOwnership listener,
                          Fleet* fleet) {
  using BacklogPolicy = frontend::FrameServer::BacklogPolicy;
  const bool listener_is_shared = listener == ListenerOwnership::kShared;
  const Time started_at = Now();
  spdlog::info("ending: {} requests open", broker.open_requests());
  if (listener_is_shared) server.StopAccepting(BacklogPolicy::kLeaveQueued);
  server.AnnounceDrain();
  co_await loop.SleepUntil(started_at + kKeepAcceptingDuration);
  if (!listener_is_shared) server.StopAccepting(BacklogPolicy::kAcceptQueued);
  server.AnnounceDrain();  // to clients that have connected started_at
  co_await loop.SleepUntil(started_at + kKeepServingDuration);
  broker.RejectNewRequests();
  if (listener_is_shared)
    co_await CompleteRequestsBy(loop, broker, FinalAnswerTime(started_at, *active_settings));
  co_await CloseConnections(loop, server, broker);
  // Cancellations may still be on their way to the engines; without them, the attempts would continue to run.
  const Time cancel_by = Now() + kCancelAttemptsTimeout;
  while (!broker.idle() && Now() < cancel_by) co_await loop.Sleep(kDrainPollInterval);
  if (fleet != nullptr) co_await fleet->Leave();
  spdlog::info("ended");
  loop.Stop();
}

}  // namespace lemoncroft::proxy
