// The life of a request where two things cross: what the module was told and what it says must agree in the
// end, whichever came first.
#include "broker/broker.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "backend/engines.h"
#include "discovery/endpoint_directory.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;

settings::Site SomeSite() {
  settings::Site site;
  site.classes = {"lookup"};
  ClassSettings lookup;
  lookup.latency_objective = 1'000'000'000;
  lookup.deadline = 3'000'000'000;
  site.module.classes = {lookup};
  site.module.kinds = {{8, 16384}};
  site.module.max_attempts = 3;
  site.module.may_cancel = true;
  return site;
}

// Where an answer goes that the test looks at.
class Kept : public request::ResponseSink {
 public:
  explicit Kept(int& answers) : answers_(answers) {}
  void Complete(const request::Response&) override { ++answers_; }

 private:
  int& answers_;
};

class BrokerTest : public testing::Test {
 public:
  ~BrokerTest() override {
    spdlog::set_default_logger(before_);
    spdlog::set_level(level_);
  }

 protected:
  BrokerTest() : before_(spdlog::default_logger()), level_(spdlog::get_level()) {
    auto logger =
        std::make_shared<spdlog::logger>("kept", std::make_shared<spdlog::sinks::ostream_sink_st>(log_));
    spdlog::set_default_logger(logger);
    spdlog::set_level(spdlog::level::trace);
    // Port 9 of this machine: nobody listens, so a connection is refused at once.
    directory_.Apply(
        codec::Json::Parse(R"({"n":1,"events":[{"n":1,"members":{"complete":true,"members":[{"id":"s",)"
                           R"("host_port":"127.0.0.1:9","phase":"Ready","up_since_ms":0}]}}]})"),
        [this](const EngineList& list) { broker_.UpdateEndpoints(list); });
    broker_.Start();
  }
  request::ClientRequest Request() const {
    request::ClientRequest request;
    request.forwarded = {"00000000000000aa", "lookup", "", "select 1"};
    request.deadline = runtime::Now() + 2s;
    return request;
  }
  int Logged(const std::string& text) const {
    const std::string all = log_.str();
    int n = 0;
    for (std::size_t at = 0; (at = all.find(text, at)) != std::string::npos; ++at) ++n;
    return n;
  }

  std::ostringstream log_;
  std::shared_ptr<spdlog::logger> before_;
  spdlog::level::level_enum level_;
  runtime::Loop loop_;
  settings::ActiveSettings site_{SomeSite()};
  discovery::EndpointDirectory directory_{site_};
  metrics::Counters counters_;
  backend::Engines engines_{loop_, directory_, backend::ConnectionPool::Limits{16, 5s}, 250ms, counters_};
  broker::Broker broker_{loop_, site_, 7, engines_, counters_, {}};
  int answers_ = 0;
};

// The module decides on an attempt in the very turn in which the client's leaving is on its way to it. The
// attempt isn't made, and the module has to hear that, or it holds it for running for ever.
TEST_F(BrokerTest, AnAttemptThatCrossesItsClientsLeavingEndsUnsent) {
  const auto drive = [&]() -> runtime::Task<> {
    const RequestId id = broker_.Submit(Request(), std::make_unique<Kept>(answers_));
    co_await loop_.NextTurn();  // the module has been told of the request, and has not decided yet
    broker_.CancelRequest(id);
    co_await loop_.Sleep(100ms);
    loop_.Stop();
  };
  loop_.Spawn(drive());
  loop_.Run();
  EXPECT_EQ(Logged("says send"), 1) << "the crossing has to come about";
  EXPECT_EQ(Logged("told ended"), 1) << log_.str();
  EXPECT_EQ(counters_.tries(), 0u);
  EXPECT_EQ(answers_, 0);
  EXPECT_TRUE(broker_.idle());
}

// What each attempt brings is told once, however often its request is given up.
TEST_F(BrokerTest, EveryAttemptEndsOnce) {
  const auto drive = [&]() -> runtime::Task<> {
    for (int turns = 0; turns < 12; ++turns) {
      const RequestId id = broker_.Submit(Request(), std::make_unique<Kept>(answers_));
      for (int i = 0; i < turns; ++i) co_await loop_.NextTurn();
      broker_.CancelRequest(id);
      broker_.CancelRequest(id);
      co_await loop_.Sleep(20ms);
    }
    loop_.Stop();
  };
  loop_.Spawn(drive());
  loop_.Run();
  EXPECT_EQ(Logged("says send"), Logged("told ended")) << log_.str();
  EXPECT_TRUE(broker_.idle());
}

}  // namespace
}  // namespace lemoncroft
