// Pins the bytes on sockets that have no encoder of their own: replies to operators, and the length prefix of
// each frame on a stream between proxies.
#include <gtest/gtest.h>

#include "admin/listener.h"
#include "golden.h"
#include "peer_transport/link.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

runtime::Address AnyPort() { return *runtime::Address::Parse("127.0.0.1:0"); }

// Returns an address with a port that was just released.
runtime::Address FreeAddress(runtime::Loop& loop) { return runtime::Listener(loop, AnyPort()).address(); }

Task<> Write(runtime::Socket& socket, std::string bytes) {
  std::size_t written = 0;
  co_await socket.Write(bytes, written, Now() + 1s);
}

// Returns all bytes that a caller of the management address receives.
std::string ReplyTo(const std::string& call, const admin::Reply& reply) {
  runtime::Loop loop;
  const runtime::Address address = FreeAddress(loop);
  admin::Listener listener(loop, address, [&](const admin::Command&) { return reply; });
  std::string in;
  const auto ask = [&]() -> Task<> {
    std::unique_ptr<runtime::Socket> socket;
    co_await runtime::Connect(loop, address, Now() + 1s, nullptr, socket);
    if (socket) {
      co_await Write(*socket, call);
      while (co_await socket->Read(in, 4096, Now() + 1s) == runtime::IoResult::kOk) {
      }
    }
    loop.Stop();
  };
  loop.Spawn(listener.Run());
  loop.Spawn(ask());
  loop.Run();
  return in;
}

TEST(OperatorReply_EachForm, HasGoldenBytes) {
  EXPECT_EQ(ReplyTo("readyz\n", {true, "", ""}), "ACK\n");
  EXPECT_EQ(ReplyTo("telemetry\r\n", {true, "", "a=1\nb=2\n"}), "ACK\na=1\nb=2\n");
  EXPECT_EQ(ReplyTo("exclude A\n", {true, "why", "line\n"}), "ACK why\nline\n");
  EXPECT_EQ(ReplyTo("include A\n", {false, "no database has this id", ""}), "NAK no database has this id\n");
  EXPECT_EQ(ReplyTo("readyz\n", {false, "", ""}), "NAK\n");
  EXPECT_EQ(ReplyTo("reboot\n", {true, "", ""}),
            "NAK unknown call; there are readyz, telemetry, exclude ID, include ID\n");
  EXPECT_EQ(ReplyTo(std::string(300, 'a'), {true, "", ""}), "NAK the call is too long\n");
}

// A call and its response on a stream: the length in four little-endian bytes, then the frame.
TEST(PeerStream_CallAndResponse, HaveGoldenBytes) {
  auto golden = golden::ReadFixture("peer_streams.txt");
  runtime::Loop loop;
  runtime::Listener listener(loop, AnyPort());
  const std::string answer = golden::FromHex(golden["answer"]);
  std::string received;
  std::optional<std::string> response;
  const auto serve = [&]() -> Task<> {
    std::unique_ptr<runtime::Socket> socket;
    if (co_await listener.Accept(socket) != runtime::IoResult::kOk) co_return;
    while (received.size() < golden["call"].size() / 2)
      if (co_await socket->Read(received, 4096, Now() + 1s) != runtime::IoResult::kOk) break;
    co_await Write(*socket, answer);
  };
  const auto ask = [&]() -> Task<> {
    const auto received_response = co_await peer_transport::CallPeer(loop, "north", listener.address(),
                                                                     R"({"call":"status"})", Now() + 2s);
    if (received_response) response = *received_response;
    loop.Stop();
  };
  loop.Spawn(serve());
  loop.Spawn(ask());
  loop.Run();
  EXPECT_EQ(golden::ToHex(received), golden["call"]);
  EXPECT_EQ(response, std::string(300, 'x'));
}

}  // namespace
}  // namespace lemoncroft
