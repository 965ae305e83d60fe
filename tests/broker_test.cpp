// Tests of broker::Broker in which a cancellation races with a decision. Each attempt that the decision
// module requests must be reported to it exactly once, in either order of the two.
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

settings::Site MakeSite() {
  settings::Site site;
  site.classes = {"lookup"};
  ClassSettings lookup;
  lookup.latency_objective = 1'000'000'000;
  lookup.client_timeout = 3'000'000'000;
  site.module.classes = {lookup};
  site.module.kinds = {{8, 16384}};
  site.module.max_attempts = 3;
  site.module.may_cancel = true;
  return site;
}

// Counts responses.
class CountingSink : public request::ResponseSink {
 public:
  explicit CountingSink(int& responses) : responses_(responses) {}
  void Complete(const request::Response&) override { ++responses_; }

 private:
  int& responses_;
};

class BrokerTest : public testing::Test {
 public:
  ~BrokerTest() override {
    spdlog::set_default_logger(previous_logger_);
    spdlog::set_level(previous_level_);
  }

 protected:
  BrokerTest() : previous_logger_(spdlog::default_logger()), previous_level_(spdlog::get_level()) {
    auto logger =
        std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_st>(log_));
    spdlog::set_default_logger(logger);
    spdlog::set_level(spdlog::level::trace);
    // No server listens on port 9, so that connections are refused immediately.
    directory_.Apply(
        codec::Json::Parse(R"({"n":1,"events":[{"n":1,"members":{"complete":true,"members":[{"id":"s",)"
                           R"("host_port":"127.0.0.1:9","phase":"Ready","up_since_ms":0}]}}]})"),
        [this](const EngineList& list) { broker_.UpdateEndpoints(list); });
    broker_.Start();
  }
  request::ClientRequest MakeRequest() const {
    request::ClientRequest request;
    request.forwarded = {"00000000000000aa", "lookup", "", "select 1"};
    request.deadline = runtime::Now() + 2s;
    return request;
  }
  // Returns the number of occurrences of a text in the log.
  int CountLogged(const std::string& text) const {
    const std::string all = log_.str();
    int n = 0;
    for (std::size_t at = 0; (at = all.find(text, at)) != std::string::npos; ++at) ++n;
    return n;
  }

  std::ostringstream log_;
  std::shared_ptr<spdlog::logger> previous_logger_;
  spdlog::level::level_enum previous_level_;
  runtime::Loop loop_;
  settings::ActiveSettings site_{MakeSite()};
  discovery::EndpointDirectory directory_{site_};
  metrics::Counters counters_;
  backend::Engines engines_{loop_, directory_, backend::ConnectionPool::Limits{16, 5s}, 250ms, counters_};
  broker::Broker broker_{loop_, site_, 7, engines_, counters_, {}};
  int responses_ = 0;
};

// The module decides on an attempt in the turn in which the cancellation is on its way to the module. The
// attempt is not made. If that were not reported to the module, it would count the attempt as running
// forever.
TEST_F(BrokerTest, Attempt_DecidedWhileClientCancels_IsReportedAsNotSent) {
  const auto drive = [&]() -> runtime::Task<> {
    const RequestId id = broker_.Submit(MakeRequest(), std::make_unique<CountingSink>(responses_));
    co_await loop_.NextTurn();  // the module has received the request, and has not decided yet
    broker_.CancelRequest(id);
    co_await loop_.Sleep(100ms);
    loop_.Stop();
  };
  loop_.Spawn(drive());
  loop_.Run();
  EXPECT_EQ(CountLogged("says send"), 1) << "the decision and the cancellation must cross";
  EXPECT_EQ(CountLogged("told ended"), 1) << log_.str();
  EXPECT_EQ(counters_.attempts(), 0u);
  EXPECT_EQ(responses_, 0);
  EXPECT_TRUE(broker_.idle());
}

// The request is cancelled twice, in each of the first turns after its submission. An attempt must neither be
// reported twice nor remain unreported.
TEST_F(BrokerTest, Attempt_RequestCancelledTwiceAtAnyTurn_IsReportedOnce) {
  const auto drive = [&]() -> runtime::Task<> {
    for (int turns = 0; turns < 12; ++turns) {
      const RequestId id = broker_.Submit(MakeRequest(), std::make_unique<CountingSink>(responses_));
      for (int i = 0; i < turns; ++i) co_await loop_.NextTurn();
      broker_.CancelRequest(id);
      broker_.CancelRequest(id);
      co_await loop_.Sleep(20ms);
    }
    loop_.Stop();
  };
  loop_.Spawn(drive());
  loop_.Run();
  EXPECT_EQ(CountLogged("says send"), CountLogged("told ended")) << log_.str();
  EXPECT_TRUE(broker_.idle());
}

}  // namespace
}  // namespace lemoncroft
