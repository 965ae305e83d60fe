// Tests of frontend::FrameServer on real sockets, with limits that no configuration sets.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <string>

#include "codec/frame.h"
#include "frontend/frame_server.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;
using runtime::IoResult;
using runtime::Now;
using runtime::Task;

class FrontendTest : public testing::Test {
 protected:
  // A little more than the responses to two reads of requests.
  static constexpr std::size_t kMaxTotalUnreadBytes = std::size_t{64} << 10;

  static frontend::ClientLimits MakeLimits() {
    frontend::ClientLimits limits;
    limits.max_total_unread_bytes = kMaxTotalUnreadBytes;
    return limits;
  }
  static runtime::Address AnyPort() { return *runtime::Address::Parse("127.0.0.1:0"); }

  Task<> ConnectClient(std::unique_ptr<runtime::Socket>& client) {
    EXPECT_EQ(co_await runtime::Connect(loop_, address_, Now() + 1s, nullptr, client), IoResult::kOk);
  }
  // Asks whether the proxy is ready, again and again, until the connection has ended; reads nothing.
  Task<> FloodWithoutReading(runtime::Socket& client) {
    const int receive_buffer_bytes = 4096;
    ::setsockopt(client.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    std::string frames;
    for (int i = 0; i < 4000; ++i) codec::WriteFrame(frames, codec::kReadinessRequestFrame, 1, "");
    std::size_t written = 0;
    while (co_await client.Write(frames, written, Now() + 1s) == IoResult::kOk) co_await loop_.NextTurn();
  }
  // Returns true if the client gets a response to a readiness request.
  Task<bool> AskWhetherReady(runtime::Socket& client) {
    std::string frame, response;
    codec::WriteFrame(frame, codec::kReadinessRequestFrame, 1, "");
    std::size_t written = 0;
    if (co_await client.Write(frame, written, Now() + 1s) != IoResult::kOk) co_return false;
    co_return co_await client.Read(response, 4096, Now() + 1s) == IoResult::kOk;
  }

  runtime::Loop loop_;
  settings::ActiveSettings site_{settings::Site()};
  discovery::EndpointDirectory directory_{site_};
  metrics::Counters counters_;
  backend::Engines engines_{loop_, directory_, {64, 1s, {}}, 100ms, counters_};
  broker::Broker broker_{loop_, site_, 7, engines_, counters_, {60, std::size_t{1} << 20}};
  std::unique_ptr<runtime::Listener> listener_ = std::make_unique<runtime::Listener>(loop_, AnyPort());
  runtime::Address address_ = listener_->address();
  frontend::FrameServer server_{loop_, std::move(listener_), site_, broker_, counters_, MakeLimits()};
};

// Guards against a client that loses its connection since others don't read: the limit on the unread
// output of all clients must fall on those that have caused it.
TEST_F(FrontendTest, UnreadOutput_BeyondTotalLimit_EndsOnlyConnectionsThatDontRead) {
  server_.Start();
  constexpr int kFloodingClients = 8;
  std::unique_ptr<runtime::Socket> reading;
  int floods = 0, responses = 0, requests = 0;
  const auto flood = [&]() -> Task<> {
    std::unique_ptr<runtime::Socket> client;
    co_await ConnectClient(client);
    co_await FloodWithoutReading(*client);
    --floods;
  };
  const auto ask = [&]() -> Task<> {
    co_await ConnectClient(reading);
    for (const runtime::Time end = Now() + 10s; floods > 0 && Now() < end; ++requests) {
      if (co_await AskWhetherReady(*reading)) ++responses;
    }
    loop_.Stop();
  };
  for (; floods < kFloodingClients; ++floods) loop_.Spawn(flood());
  loop_.Spawn(ask());
  loop_.Run();
  EXPECT_EQ(floods, 0) << "their connections end";
  EXPECT_GT(requests, 0);
  EXPECT_EQ(responses, requests);
}

}  // namespace
}  // namespace lemoncroft
