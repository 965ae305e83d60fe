#include "admin/listener.h"

#include <string_view>

#include "admin/admin_protocol.h"
#include "runtime/lingering_close.h"

namespace lemoncroft::admin {

using runtime::IoResult;
using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr auto kCommandTimeout = 2000ms;  // for a complete command
constexpr auto kReplyTimeout = 1000ms;    // for the operator to read the reply
constexpr auto kNoDescriptorsPause = 20ms;
constexpr auto kCapacityRetryInterval = 5ms;
constexpr std::size_t kReadBytes = 512;

std::string Encode(const Reply& reply) {
  std::string text(reply.accepted ? protocol::kReplyAccepted : protocol::kReplyRejected);
  if (!reply.message.empty()) text.append(" ").append(reply.message);
  return text.append("\n").append(reply.body);
}

tl::unexpected<std::string> Failed(std::string_view message) {
  return tl::unexpected<std::string>(std::string(message));
}

}  // namespace

Task<> Listener::Run() {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    if (co_await listener_.Accept(socket) != IoResult::kOk) {
      co_await loop_.Sleep(kNoDescriptorsPause);
      continue;
    }
    while (connections_.size() >= kMaxConnections) {
      EvictOldest();
      co_await loop_.Sleep(kCapacityRetryInterval);
    }
    auto connection = std::make_shared<Connection>();
    connection->socket = std::move(socket);
    connections_.push_back(connection);
    loop_.Spawn(Serve(std::move(connection)));
    co_await loop_.NextTurn();
  }
}

// Asks a connection to end: the oldest that hasn't been asked yet, since it has had the most time.
void Listener::EvictOldest() {
  for (const ConnectionPtr& connection : connections_) {
    if (connection->evicted.cancelled()) continue;
    connection->evicted.Cancel();
    return;
  }
}

Task<> Listener::Serve(ConnectionPtr connection) {
  const Reply reply = co_await ReplyTo(*connection);
  std::size_t written = 0;
  const IoResult io = co_await connection->socket->Write(Encode(reply), written, Now() + kReplyTimeout);
  if (io == IoResult::kOk)
    co_await runtime::LingeringClose(loop_, *connection->socket, kReplyTimeout, &connection->evicted);
  connections_.remove(connection);
}

Task<tl::expected<Command, std::string>> Listener::ReadCommand(Connection& connection) {
  LineReader reader;
  std::string received;
  const auto deadline = Now() + kCommandTimeout;
  for (;;) {
    received.clear();
    const IoResult io = co_await connection.socket->Read(received, kReadBytes, deadline, &connection.evicted);
    if (io == IoResult::kTimeout) co_return Failed(protocol::kErrorTimeout);
    if (io != IoResult::kOk) co_return Failed(protocol::kErrorConnectionEnded);
    const LineReader::State state = reader.Feed(received);
    if (state == LineReader::State::kTooLong) co_return Failed(protocol::kErrorTooLong);
    if (state == LineReader::State::kLine) break;
    co_await loop_.NextTurn();
  }
  co_return ParseCommand(reader.line()).map_error(Describe);
}

Task<Reply> Listener::ReplyTo(Connection& connection) {
  const tl::expected<Command, std::string> command = co_await ReadCommand(connection);
  if (!command) co_return Reply{false, command.error(), {}};
  Reply reply = handler_(*command);
  if (!follow_up) co_return reply;
  co_return co_await follow_up(*command, std::move(reply));
}

}  // namespace lemoncroft::admin
