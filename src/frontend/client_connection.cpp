#include "frontend/client_connection.h"

#include <utility>

#include "runtime/lingering_close.h"

namespace lemoncroft::frontend {

using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr auto kLingerTimeout = 500ms;  // for the client to close its side
constexpr auto kMinLinger = 50ms;       // longer than a round trip

}  // namespace

ClientConnection::ClientConnection(ConnectionContext& context, std::unique_ptr<runtime::Socket> socket)
    : context_(context), socket_(std::move(socket)) {}

Task<> ClientConnection::Serve() {
  context_.loop.Spawn(WriteOutput(shared_from_this()));
  co_await ReadFrames();
  std::string().swap(input_);  // an assignment would keep the buffer
  AccountInput();
  // Open requests still get their responses, unless the client has disconnected.
  if (!peer_closed_ && !aborted_ && !open_streams_.empty()) co_await DiscardInput();
  CancelOpenRequests();
  output_closed_ = true;
  output_appended_.Notify();
  while (!aborted_ && !IsFlushed()) {  // WriteOutput aborts if the client stops reading
    co_await runtime::Waiter(context_.loop, &output_flushed_, runtime::kNever);
  }
  if (!peer_closed_ && !aborted_) {
    if (!std::exchange(closing_, true)) closing_since_ = Now();
    co_await runtime::LingeringClose(context_.loop, *socket_, kLingerTimeout, &stop_lingering_);
  }
}

// Checks for unread input and shuts the socket down in the same turn of the loop. A request that arrives
// later has crossed the shutdown, and its client sends it again.
bool ClientConnection::CloseIfIdle() {
  if (output_closed_ || !open_streams_.empty() || !IsFlushed() || HasUnreadInput()) return false;
  socket_->ShutdownWrite();
  closing_ = true;
  output_closed_ = true;
  closing_since_ = Now();
  stop_reading_.Cancel();
  return true;
}

bool ClientConnection::MayStopLingering(runtime::Time now) const {
  return closing_ && !stop_lingering_.cancelled() && now - closing_since_ > kMinLinger;
}

bool ClientConnection::IsIdle() const {
  return !output_closed_ && !stop_reading_.cancelled() && open_streams_.empty() && IsFlushed();
}

void ClientConnection::AnnounceDrain() {
  if (output_closed_ || aborted_ || drain_announced_) return;
  drain_announced_ = true;
  codec::WriteFrame(output_, codec::kDrainFrame, 0);
  output_appended_.Notify();
}

}  // namespace lemoncroft::frontend
