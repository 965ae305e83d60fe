// The invariant of the counters: each received request is counted as exactly one result, no matter how it
// ends. Clients and engines with random behavior run against the front end, the broker and the back end on
// one event loop.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "broker/broker.h"
#include "codec/frame.h"
#include "codec/json.h"
#include "frontend/frame_server.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;
using runtime::IoResult;
using runtime::Now;
using runtime::Socket;
using runtime::Task;
using SocketPtr = std::unique_ptr<Socket>;

std::string TextOf(const runtime::Address& address) {
  return "127.0.0.1:" + std::to_string(ntohs(address.raw.sin_port));
}

settings::Site SettingsWithTwoClasses() {
  settings::Site site;
  site.classes = {"lookup", "load"};
  site.tenants = {"acme"};
  site.kinds = {"std"};
  Settings& s = site.module;
  s.classes.resize(2);
  for (ClassSettings& c : s.classes) {
    c.latency_objective = 200'000'000;
    c.client_timeout = 400'000'000;
  }
  s.classes[1].effect = Effect::kUnsafe;
  s.tenants.resize(1);
  s.kinds = {{8, 1000}};
  s.tick = 1'000'000;
  s.may_cancel = s.may_send_retry_after = true;
  s.max_attempts = 3;
  s.max_retry_after = 100'000'000;
  s.connect_timeout = 100'000'000;
  return site;
}

class RandomTraffic {
 public:
  explicit RandomTraffic(unsigned seed) : random_(seed) {
    for (auto& engine : engines_) loop_.Spawn(Engine(*engine));
    directory_.Apply(codec::Json::Parse(EndpointListJson()),
                     [this](EngineList list) { broker_.UpdateEndpoints(std::move(list)); });
    broker_.Start();
    server_->Start();
    loop_.Spawn(Clients());
    loop_.Run();
  }

  const metrics::Counters& counters() const { return counters_; }
  int responses(int code) const { return responses_[code]; }
  std::size_t open() const { return broker_.open_requests(); }

 private:
  int Pick(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

  std::string EndpointListJson() const {
    std::string members;
    for (const auto& engine : engines_) {
      members += std::string(members.empty() ? "" : ",") + R"({"id":"s)" + TextOf(engine->address()) +
                 R"(","host_port":")" + TextOf(engine->address()) + R"(","flavor":"std","phase":"Ready"})";
    }
    return R"({"n":1,"events":[{"n":1,"members":{"complete":true,"members":[)" + members + "]}}]}";
  }

  Task<> Engine(runtime::Listener& listener) {
    for (SocketPtr socket; co_await listener.Accept(socket) == IoResult::kOk;)
      loop_.Spawn(Answer(std::move(socket)));
  }

  // Answers HTTP requests one after another, each with a random one of the ways in which a request may end.
  Task<> Answer(SocketPtr socket) {
    std::string in;
    std::size_t written = 0;
    for (;;) {
      const std::size_t end = in.find("\r\n\r\n");
      const std::size_t content_length = in.find("Content-Length: ");
      const std::size_t body = content_length < end ? std::stoul(in.substr(content_length + 16)) : 0;
      if (end == std::string::npos || in.size() < end + 4 + body) {
        if (co_await socket->Read(in, 4096, runtime::kNever) != IoResult::kOk) co_return;
        continue;
      }
      in.erase(0, end + 4 + body);
      static const std::string kResponses[] = {
          "HTTP/1.1 200 X\r\nChunks: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n",
          "HTTP/1.1 200 X\r\nChunks: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n",
          "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 503 X\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 X\r\nChu"};
      const int kind = Pick(8);
      if (kind == 7) co_return;  // closes the connection
      if (kind == 6) continue;   // sends no response
      if (kind == 4) co_await loop_.Sleep(5ms);
      co_await socket->Write(kResponses[kind], written, Now() + 1s);
    }
  }

  std::string Request(std::uint32_t stream) {
    const int kind = Pick(10);
    const std::string txn = std::to_string(1'000'000'000'000'000 + (kind == 0 ? 0 : ++ids_));
    const std::pair<std::string, std::string> fields[] = {{"verb", kind == 1  ? "nonesuch"
                                                                   : kind < 6 ? "lookup"
                                                                              : "load"},
                                                          {"team", "acme"},
                                                          {"txn", txn},
                                                          {"limit", std::to_string(30 + Pick(300))},
                                                          {"cpu", kind == 2 ? "many" : "10"}};
    std::string payload(1, static_cast<char>(std::size(fields)));
    for (const auto& [name, value] : fields) {
      payload += static_cast<char>(name.size()) + name;
      payload += static_cast<char>(value.size());
      payload += '\0' + value;
    }
    std::string out;
    codec::WriteFrame(out, codec::kRequestFrame, stream, payload + "select 1");
    return out;
  }

  Task<> Client() {
    SocketPtr socket;
    if (co_await Connect(loop_, address_, Now() + 1s, nullptr, socket) == IoResult::kOk) {
      const int requests = 1 + Pick(40);
      std::size_t written = 0;
      std::string in;
      for (int i = 1; i <= requests; ++i) {
        const auto stream = static_cast<std::uint32_t>(i);
        std::string frame = Request(stream);
        if (Pick(6) == 0) codec::WriteFrame(frame, codec::kCancelFrame, stream, {});
        if (Pick(40) == 0) frame.resize(frame.size() / 2), i = requests;
        co_await socket->Write(frame, written, Now() + 1s);
        if (Pick(4) == 0) co_await loop_.Sleep(3ms);
      }
      const auto until = Now() + (Pick(3) == 0 ? 20ms : 700ms);
      codec::FrameReader reader;
      codec::Frame frame;
      while (co_await socket->Read(in, 4096, until) == IoResult::kOk) {
        while (reader.Next(in, frame) == codec::FrameReader::Result::kFrame)
          if (frame.type == codec::kResponseFrame && frame.stream != 0) ++responses_[frame.payload[0]];
        reader.Compact(in);
      }
    }
    --clients_;
  }

  Task<> Clients() {
    for (int i = 0; i < 24; ++i) {
      ++clients_;
      loop_.Spawn(Client());
      co_await loop_.Sleep(5ms);
    }
    while (clients_ > 0 || broker_.open_requests() > 0) co_await loop_.Sleep(10ms);
    loop_.Stop();
  }

  static runtime::Address AnyPort() { return *runtime::Address::Parse("127.0.0.1:0"); }

  std::mt19937 random_;
  runtime::Loop loop_;
  settings::ActiveSettings site_{SettingsWithTwoClasses()};
  discovery::EndpointDirectory directory_{site_};
  metrics::Counters counters_;
  backend::Engines backend_{loop_, directory_, {64, 1s, {}}, 100ms, counters_};
  broker::Broker broker_{loop_, site_, 7, backend_, counters_, {60, std::size_t{1} << 20}};
  std::unique_ptr<runtime::Listener> listener_ = std::make_unique<runtime::Listener>(loop_, AnyPort());
  runtime::Address address_ = listener_->address();
  std::unique_ptr<frontend::FrameServer> server_ = std::make_unique<frontend::FrameServer>(
      loop_, std::move(listener_), site_, broker_, counters_, frontend::FrameServer::Limits());
  std::unique_ptr<runtime::Listener> engines_[2] = {std::make_unique<runtime::Listener>(loop_, AnyPort()),
                                                    std::make_unique<runtime::Listener>(loop_, AnyPort())};
  int clients_ = 0, ids_ = 0;
  int responses_[16] = {};
};

TEST(Counters, ReceivedRequest_UnderRandomTraffic_IsCountedOnce) {
  for (unsigned seed = 1; seed <= 4; ++seed) {
    const RandomTraffic traffic(seed);
    EXPECT_EQ(traffic.open(), 0u);
    std::uint64_t served = 0, rejected = 0, failed = 0, cancelled = 0;
    EXPECT_EQ(traffic.counters().classes().size(), 2u) << "an unknown class has no counters";
    for (const auto& [name, c] : traffic.counters().classes()) {
      EXPECT_EQ(c.received, c.ended()) << name << ", seed " << seed;
      EXPECT_GT(c.received, 50u);
      served += c.served, rejected += c.rejected, failed += c.failed, cancelled += c.cancelled;
    }
    // Every response that a client read was counted; responses left unread may have been counted as well.
    EXPECT_GE(served, static_cast<std::uint64_t>(traffic.responses(codec::kServedCode)));
    EXPECT_GE(rejected, static_cast<std::uint64_t>(traffic.responses(codec::kRejectedCode)));
    EXPECT_GT(traffic.responses(codec::kServedCode), 0);
    EXPECT_GT(traffic.responses(codec::kRejectedCode), 0);
    EXPECT_GT(failed, 0u);
    EXPECT_GT(cancelled, 0u);
    EXPECT_GE(traffic.counters().attempts(), served);
  }
}

}  // namespace
}  // namespace lemoncroft
