#include "frontend/frame_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace lemoncroft::frontend {

using runtime::IoResult;
using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr auto kNoDescriptorsPause = 20ms;
constexpr int kAcceptsPerTurn = 16;
constexpr auto kMinAgeToEvictUnused = 30ms;  // the first request may be on its way until then
constexpr auto kCapacityTimeout = 500ms;     // of a new connection while all others are busy
constexpr auto kCapacityRetryInterval = 10ms;
constexpr auto kRejectionLogInterval = 10s;
constexpr std::size_t kSpareConnectionsDivisor = 16;  // a sixteenth of the limit

}  // namespace

FrameServer::FrameServer(runtime::Loop& loop, std::unique_ptr<runtime::Listener> listener,
                         const settings::ActiveSettings& settings, broker::Broker& broker,
                         metrics::Counters& counters, Limits limits)
    : loop_(loop), context_{loop, settings, broker, counters, limits}, listener_(std::move(listener)) {
  context_.reclaim_input = [this] { ReclaimInput(); };
  context_.reclaim_output = [this] { ReclaimOutput(); };
}

// ---- Accepting ----

Task<> FrameServer::AcceptConnections() {
  for (int accepted = 1;; ++accepted) {
    if (stop_accepting_.cancelled() && backlog_policy_ == BacklogPolicy::kLeaveQueued) break;
    std::unique_ptr<runtime::Socket> socket;
    const IoResult io = co_await listener_->Accept(socket, &stop_accepting_);
    if (io == IoResult::kCancelled) break;
    if (io == IoResult::kNoDescriptors) {  // the backlog holds new connections until descriptors are free
      EvictConnection();
      co_await loop_.Sleep(kNoDescriptorsPause, &stop_accepting_);
      continue;
    }
    // A flood of new connections must neither delay nor evict clients that have sent requests.
    if (accepted % kAcceptsPerTurn == 0) co_await loop_.NextTurn();
    co_await WaitForCapacity();
    if (!HasCapacity()) {
      LogRejectedConnection();
      continue;
    }
    auto connection = std::make_shared<ClientConnection>(context_, std::move(socket));
    connections_.push_back(connection);
    loop_.Spawn(ServeConnection(std::move(connection)));
  }
  listener_.reset();
}

Task<> FrameServer::ServeConnection(ConnectionPtr connection) {
  co_await connection->Serve();
  capacity_available_.Notify();
}

void FrameServer::StopAccepting(BacklogPolicy backlog_policy) {
  backlog_policy_ = backlog_policy;
  stop_accepting_.Cancel();
}

// ---- Capacity ----

// Connections beyond the limit would use descriptors that connections to engines need. Some are evicted ahead
// of need, because an evicted connection occupies its descriptor until its lingering close has ended.
Task<> FrameServer::WaitForCapacity() {
  const runtime::Time deadline = Now() + kCapacityTimeout;
  if (CountOpenConnections() + SpareConnections() >= context_.limits.max_connections) EvictConnection();
  while (!HasCapacity() && Now() < deadline && !stop_accepting_.cancelled()) {
    const runtime::Time retry_at = std::min(deadline, Now() + kCapacityRetryInterval);
    co_await runtime::Waiter(loop_, &capacity_available_, retry_at, &stop_accepting_);
    if (!HasCapacity()) EvictConnection();
  }
}

std::size_t FrameServer::SpareConnections() const {
  return context_.limits.max_connections / kSpareConnectionsDivisor;
}

std::size_t FrameServer::CountOpenConnections() {
  std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
  return connections_.size();
}

FrameServer::EvictionCandidates FrameServer::FindEvictionCandidates() const {
  const runtime::Time now = Now();
  EvictionCandidates found;
  for (const auto& weak : connections_) {
    const ConnectionPtr c = weak.lock();
    if (!c) continue;
    if (c->IsClosing()) ++found.closing;
    if (!found.lingering && c->MayStopLingering(now)) found.lingering = c;
    if (!c->IsIdle()) continue;
    if (c->HasSentRequest()) {
      const bool idle_longer =
          !found.longest_idle || c->last_active_at() < found.longest_idle->last_active_at();
      if (!c->HasPartialFrame() && idle_longer && !c->HasUnreadInput()) found.longest_idle = c;
    } else {
      const bool old_enough = now - c->opened_at() > kMinAgeToEvictUnused;
      if (!found.unused && old_enough && !c->HasUnreadInput()) found.unused = c;
    }
  }
  return found;
}

// Clients that open a connection for each request leave hundreds of idle ones behind. The protocol lets a
// proxy close a connection without open requests, no matter how briefly it has been idle.
void FrameServer::EvictConnection() {
  const EvictionCandidates found = FindEvictionCandidates();
  if (found.lingering) return found.lingering->StopLingering();
  if (found.closing >= std::max<std::size_t>(1, SpareConnections())) return;
  if (found.unused && found.unused->CloseIfIdle()) return;
  if (found.longest_idle) found.longest_idle->CloseIfIdle();
}

void FrameServer::ReclaimOutput() {
  while (context_.total_unread_bytes > context_.limits.max_total_unread_bytes) {
    ConnectionPtr largest;
    for (const auto& weak : connections_) {
      const ConnectionPtr c = weak.lock();
      if (c && (!largest || c->unread_bytes() > largest->unread_bytes())) largest = c;
    }
    if (!largest || largest->unread_bytes() == 0) return;
    largest->Abort();
  }
}

void FrameServer::ReclaimInput() {
  while (context_.total_unparsed_bytes > context_.limits.max_total_unparsed_bytes) {
    const ConnectionPtr connection = FindInputToReclaim();
    if (!connection) return;
    connection->ReleaseInput();
  }
}

// Clients that use no more than an equal part of the memory keep it. Among the others, an empty buffer is
// preferred, and then the frame that has been partial for the longest time.
FrameServer::ConnectionPtr FrameServer::FindInputToReclaim() const {
  std::vector<ConnectionPtr> users;
  for (const auto& weak : connections_) {
    const ConnectionPtr c = weak.lock();
    if (c && c->input_buffer_bytes() > 0) users.push_back(c);
  }
  if (users.empty()) return nullptr;
  const std::size_t equal_part = context_.total_unparsed_bytes / users.size();
  const auto preference = [equal_part](const ConnectionPtr& c) {
    return std::tuple(c->input_buffer_bytes() < equal_part, c->HasPartialFrame(), c->partial_frame_since());
  };
  return *std::min_element(users.begin(), users.end(), [&](const ConnectionPtr& a, const ConnectionPtr& b) {
    return preference(a) < preference(b);
  });
}

void FrameServer::LogRejectedConnection() {
  ++rejected_connections_;
  if (Now() - rejection_logged_at_ < kRejectionLogInterval) return;
  spdlog::warn("clients: rejected {} connections so far; all {} allowed connections are in use",
               rejected_connections_, context_.limits.max_connections);
  rejection_logged_at_ = Now();
}

// ---- Draining ----

void FrameServer::AnnounceDrain() {
  context_.is_draining = true;
  for (const auto& weak : connections_) {
    if (const ConnectionPtr connection = weak.lock()) connection->AnnounceDrain();
  }
}

void FrameServer::CloseIdleConnections() {
  for (const auto& weak : connections_) {
    const ConnectionPtr connection = weak.lock();
    // The client may regard a partially sent frame as accepted, so the server waits for the rest of it.
    if (connection && !connection->HasPartialFrame()) connection->CloseIfIdle();
  }
}

bool FrameServer::IsFlushed() const {
  return std::all_of(connections_.begin(), connections_.end(), [](const auto& weak) {
    const ConnectionPtr connection = weak.lock();
    return !connection || connection->IsFlushed();
  });
}

}  // namespace lemoncroft::frontend
