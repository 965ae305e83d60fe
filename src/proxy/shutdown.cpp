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

// Since SIGTERM. New connections are accepted for so long if no successor holds the listening socket ...
constexpr auto kKeepAcceptingDuration = 500ms;
// ... and new requests on open connections for so long in any case.
constexpr auto kKeepServingDuration = 700ms;
// Where the listener is shared, SIGKILL is expected once the longest deadline of a class, at most
// kMaxDrainWithSuccessor, has passed since kKeepServingDuration after SIGTERM. Open requests are answered
// kFinalAnswerMargin before that.
constexpr auto kMaxDrainWithSuccessor = 5000ms, kFinalAnswerMargin = 200ms;
constexpr auto kClientCloseTimeout = 200ms;     // for clients to end connections that are shut
constexpr auto kCancelAttemptsTimeout = 100ms;  // for engines to be told of attempts that nobody waits for
constexpr auto kDrainPollInterval = 10ms;

// The time by which open requests must be answered because SIGKILL follows.
Time FinalAnswerTime(Time since, const settings::Site& site) {
  Nanos longest = 0;
  for (const ClassSettings& c : site.module.classes) longest = std::max(longest, c.client_timeout);
  const auto drain = std::min<runtime::Duration>(decision::ToDuration(longest), kMaxDrainWithSuccessor);
  return since + kKeepServingDuration + drain - kFinalAnswerMargin;
}

// Waits for open requests until `last`, then has the rest answered.
Task<> CompleteRequestsBy(runtime::Loop& loop, broker::Broker& broker, Time last) {
  while (broker.open_requests() > 0 && Now() < last) co_await loop.Sleep(kDrainPollInterval);
  if (broker.open_requests() > 0)
    spdlog::info("ending: {} requests can't be waited for", broker.open_requests());
  broker.CompleteAllRequests();
}

Task<> CloseConnections(runtime::Loop& loop, frontend::FrameServer& server, const broker::Broker& broker) {
  while (broker.open_requests() > 0 || !server.IsFlushed()) {
    server.CloseIdleConnections();
    co_await loop.Sleep(kDrainPollInterval);
  }
  // A process that ended now would reset the connections on which something has arrived meanwhile.
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
  const Time since = Now();
  spdlog::info("ending: {} requests open", broker.open_requests());
  if (listener_is_shared) server.StopAccepting(BacklogPolicy::kLeaveQueued);
  server.AnnounceDrain();
  co_await loop.SleepUntil(since + kKeepAcceptingDuration);
  if (!listener_is_shared) server.StopAccepting(BacklogPolicy::kAcceptQueued);
  server.AnnounceDrain();  // to clients that have connected since
  co_await loop.SleepUntil(since + kKeepServingDuration);
  broker.RejectNewRequests();
  if (listener_is_shared) co_await CompleteRequestsBy(loop, broker, FinalAnswerTime(since, *active_settings));
  co_await CloseConnections(loop, server, broker);
  // The engines of cancelled attempts are still being told; without that the attempts would run on.
  const Time cancel_by = Now() + kCancelAttemptsTimeout;
  while (!broker.idle() && Now() < cancel_by) co_await loop.Sleep(kDrainPollInterval);
  if (fleet != nullptr) co_await fleet->Leave();
  spdlog::info("ended");
  loop.Stop();
}

}  // namespace lemoncroft::proxy
