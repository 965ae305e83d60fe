// Tests of frontend::FrameServer on real sockets, with limits that no configuration sets.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <string>
#include <utility>

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
  static settings::Site MakeSite() {
    settings::Site site;
    site.classes = {"lookup"};
    ClassSettings lookup;
    lookup.client_timeout = 3'000'000'000;
    site.module.classes = {lookup};
    return site;
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
  settings::ActiveSettings site_{MakeSite()};
  discovery::EndpointDirectory directory_{site_};
  metrics::Counters counters_;
  backend::Engines engines_{loop_, directory_, {64, 1s, {}}, 100ms, counters_};
  broker::Broker broker_{loop_, site_, 7, engines_, counters_, {60, std::size_t{1} << 20}};
  std::unique_ptr<runtime::Listener> listener_ = std::make_unique<runtime::Listener>(loop_, AnyPort());
  runtime::Address address_ = listener_->address();
  frontend::FrameServer server_{loop_, std::move(listener_), site_, broker_, counters_, MakeLimits()};
};

// Returns a valid request of 20 kB.
std::string MakeRequestFrame(std::uint32_t stream) {
  std::string payload(1, '\3');
  for (const auto& [name, value] : {std::pair<std::string, std::string>{"verb", "lookup"},
                                    {"team", "acme"},
                                    {"txn", std::to_string(1'000'000'000'000'000 + stream)}}) {
    payload += static_cast<char>(name.size()) + name;
    payload += static_cast<char>(value.size());
    payload += '\0' + value;
  }
  std::string frame;
  codec::WriteFrame(frame, codec::kRequestFrame, stream, payload + std::string(20'000, 'x'));
  return frame;
}

// Guards against requests that are sent on although their client has left, with its input still unread. The
// client sends and leaves within one turn of the loop, so that the server reads nothing before.
TEST_F(FrontendTest, RequestsOfClientThatLeft_NotReadYet_AreNotSubmitted) {
  server_.Start();
  const auto send_and_leave = [&]() -> Task<> {
    std::unique_ptr<runtime::Socket> client;
    co_await ConnectClient(client);
    co_await loop_.Sleep(20ms);  // the server has accepted the connection
    const std::string frames = MakeRequestFrame(1) + MakeRequestFrame(2);
    std::size_t written = 0;
    EXPECT_EQ(co_await client->Write(frames, written, Now() + 1s), IoResult::kOk);
    client.reset();
    co_await loop_.Sleep(200ms);
    loop_.Stop();
  };
  loop_.Spawn(send_and_leave());
  loop_.Run();
  EXPECT_EQ(counters_.classes().count("lookup"), 0u);
}

TEST_F(FrontendTest, RequestsOfClientThatWaits_AreSubmitted) {
  server_.Start();
  const auto send = [&]() -> Task<> {
    std::unique_ptr<runtime::Socket> client;
    co_await ConnectClient(client);
    const std::string frames = MakeRequestFrame(1) + MakeRequestFrame(2);
    std::size_t written = 0;
    EXPECT_EQ(co_await client->Write(frames, written, Now() + 1s), IoResult::kOk);
    co_await loop_.Sleep(200ms);
    loop_.Stop();
  };
  loop_.Spawn(send());
  loop_.Run();
  ASSERT_EQ(counters_.classes().count("lookup"), 1u);
  EXPECT_EQ(counters_.classes().at("lookup").received, 2u);
}

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
