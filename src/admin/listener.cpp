#include "admin/listener.h"

#include <spdlog/spdlog.h>

#include <variant>

#include "runtime/lingering_close.h"

namespace lemoncroft::admin {

using runtime::Io;
using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr auto kCallWithin = 2000ms;   // a call that has not come whole by then gets a no
constexpr auto kTakenWithin = 1000ms;  // an answer that is not taken by then is cut off
constexpr auto kNoDescriptorsPause = 20ms;
constexpr auto kRoomPause = 5ms;
constexpr std::size_t kReadAtOnce = 512;

std::string Text(const Reply& reply) {
  std::string text = reply.accepted ? "ACK" : "NAK";
  if (!reply.message.empty()) text.append(" ").append(reply.message);
  return text.append("\n").append(reply.body);
}

}  // namespace

Task<> Listener::Run() {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    if (co_await listener_.Accept(socket) != Io::kOk) {
      co_await loop_.Sleep(kNoDescriptorsPause);
      continue;
    }
    while (callers_.size() >= kMaxConnections) {
      MakeRoom();
      co_await loop_.Sleep(kRoomPause);
    }
    auto caller = std::make_shared<Caller>();
    caller->socket = std::move(socket);
    callers_.push_back(caller);
    loop_.Spawn(Serve(std::move(caller)));
    co_await loop_.NextTurn();
  }
}

// The oldest that is still there has had the most time for its call.
void Listener::MakeRoom() {
  for (const CallerPtr& caller : callers_) {
    if (caller->cut.cancelled()) continue;
    caller->cut.Cancel();
    return;
  }
}

Task<> Listener::Serve(CallerPtr caller) {
  const Reply reply = co_await Hear(*caller);
  std::size_t written = 0;
  const Io io = co_await caller->socket->Write(Text(reply), written, Now() + kTakenWithin);
  if (io == Io::kOk) co_await runtime::LingeringClose(loop_, *caller->socket, kTakenWithin, &caller->cut);
  callers_.remove(caller);
}

Task<Reply> Listener::Hear(Caller& caller) {
  LineReader reader;
  std::string in;
  const auto until = Now() + kCallWithin;
  for (;;) {
    in.clear();
    const Io io = co_await caller.socket->Read(in, kReadAtOnce, until, &caller.cut);
    if (io == Io::kTimeout) co_return Reply{false, "no whole call in time", {}};
    if (io != Io::kOk) co_return Reply{false, "no whole call", {}};
    const LineReader::State state = reader.Feed(in);
    if (state == LineReader::State::kTooLong) co_return Reply{false, "the call is too long", {}};
    if (state == LineReader::State::kLine) break;
    co_await loop_.NextTurn();
  }
  auto call = ParseCommand(reader.line());
  if (const auto* wrong = std::get_if<std::string>(&call)) co_return Reply{false, *wrong, {}};
  const Command& known = std::get<Command>(call);
  Reply reply = answer_(known);
  if (!follow_up) co_return reply;
  co_return co_await follow_up(known, std::move(reply));
}

}  // namespace lemoncroft::admin
