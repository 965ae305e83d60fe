// The endpoint list, operators' ejections, and the watch of the control feed.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "codec/json.h"
#include "discovery/endpoint_directory.h"
#include "discovery/endpoint_watch.h"
#include "runtime/loop.h"
#include "runtime/socket.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;

TEST(EndpointDirectory, EnginesThatLeft_AreNotRetained) {
  settings::ActiveSettings site{settings::Site()};
  discovery::EndpointDirectory directory(site);
  const auto announce = [&](int n, const std::string& id, const std::string& phase) {
    const std::string number = std::to_string(n);
    directory.Apply(codec::Json::Parse(R"({"n":)" + number + R"(,"events":[{"n":)" + number +
                                       R"(,"members":{"complete":false,"members":[{"id":")" + id +
                                       R"(","host_port":"127.0.0.1:80","phase":")" + phase + R"("}]}}]})"),
                    [](const EngineList&) {});
  };
  for (int n = 1; n <= 100; ++n) {
    const std::string id = "s-" + std::to_string(n);
    announce(2 * n, id, "Ready");
    announce(2 * n + 1, id, "Gone");
  }
  announce(300, "never-known", "Gone");
  EXPECT_EQ(directory.retained_entries(), 0u);
  announce(301, "s-1", "Ready");
  EXPECT_EQ(directory.retained_entries(), 3u);
}

TEST(EndpointWatch, FeedIsDown_ReconnectsWithBackoff) {
  runtime::Loop loop;
  settings::ActiveSettings site{settings::Site()};
  discovery::EndpointDirectory directory(site);
  // A listening socket that closes each connection at once.
  runtime::Listener feed(loop, *runtime::Address::Parse("127.0.0.1:0"));
  std::vector<runtime::Time> connected_at;
  const auto close_connections = [&]() -> runtime::Task<> {
    for (std::unique_ptr<runtime::Socket> socket;; socket.reset()) {
      if (co_await feed.Accept(socket) == runtime::IoResult::kOk) connected_at.push_back(runtime::Now());
    }
  };
  const auto stop_later = [&]() -> runtime::Task<> {
    co_await loop.Sleep(std::chrono::milliseconds(1500));
    loop.Stop();
  };
  discovery::EndpointWatch endpoint_watch(
      loop, directory, feed.address().ToString(), [](const EngineList&) {}, 7);
  loop.Spawn(close_connections());
  loop.Spawn(endpoint_watch.Run());
  loop.Spawn(stop_later());
  loop.Run();
  EXPECT_GE(connected_at.size(), 10u)
      << "a feed that is available again must be detected within the drain grace";
  EXPECT_LE(connected_at.size(), 45u);
  for (std::size_t i = 6; i < connected_at.size(); ++i) {
    EXPECT_GE(connected_at[i] - connected_at[i - 1], std::chrono::milliseconds(38)) << i;
  }
}

// The decision module derives slow start from the start time; a return to service counts as a start.
class ManualEjection : public testing::Test {
 protected:
  void Announce(const std::string& phase, int up_since_ms) {
    const std::string n = std::to_string(++revision_);
    directory_.Apply(
        codec::Json::Parse(
            R"({"n":)" + n + R"(,"events":[{"n":)" + n +
            R"(,"members":{"complete":false,"members":[{"id":"s","host_port":"127.0.0.1:80",)" +
            R"("phase":")" + phase + R"(","up_since_ms":)" + std::to_string(up_since_ms) + "}]}}]}"),
        on_update_);
  }
  settings::ActiveSettings site_{settings::Site()};
  discovery::EndpointDirectory directory_{site_};
  EngineEntry last_update_;
  int revision_ = 0, ended_incarnations_ = 0;
  discovery::EndpointDirectory::UpdateCallback on_update_ = [this](const EngineList& list) {
    last_update_ = list.entries->at(0);
  };
};

TEST_F(ManualEjection, ReturnToService_SlowStartSurvivesFurtherFeedUpdates) {
  directory_.on_incarnation_ended = [this](EngineId) { ++ended_incarnations_; };
  Announce("Ready", 0);
  directory_.Eject("s", on_update_);
  EXPECT_EQ(last_update_.readiness, Readiness::kExcluded);
  EXPECT_FALSE(directory_.MaySend(last_update_.engine));
  Announce("Ready", 0);
  EXPECT_EQ(last_update_.readiness, Readiness::kExcluded);
  const auto returned_at = std::chrono::system_clock::time_point(5s);
  directory_.ReturnToService("s", returned_at, on_update_);
  EXPECT_EQ(last_update_.readiness, Readiness::kReady);
  EXPECT_EQ(last_update_.started_at, 5'000'000'000);
  EXPECT_EQ(ended_incarnations_, 1);
  Announce("Ready", 0);
  EXPECT_EQ(last_update_.started_at, 5'000'000'000);
  EXPECT_EQ(ended_incarnations_, 1);  // the new connections are unaffected
  Announce("Ready", 7000);            // a later start
  EXPECT_EQ(last_update_.started_at, 7'000'000'000);
  Announce("Gone", 7000);
  EXPECT_EQ(directory_.retained_entries(), 0u);
}

TEST_F(ManualEjection, Import_TakesEjectionsAndReturnsOfAnotherProcess) {
  const auto returned_at = std::chrono::system_clock::time_point(5s);
  directory_.ImportEjections({"t"}, {{"s", returned_at}}, on_update_);
  Announce("Ready", 0);
  EXPECT_EQ(last_update_.started_at, 5'000'000'000);
  directory_.ImportEjections({"s", "t"}, {}, on_update_);
  EXPECT_EQ(last_update_.readiness, Readiness::kExcluded);
  EXPECT_EQ(directory_.CountEjected({last_update_.engine, 77}), 1u);
  directory_.ImportEjections({}, {{"s", returned_at + 3s}}, on_update_);
  EXPECT_EQ(last_update_.readiness, Readiness::kReady);
  EXPECT_EQ(last_update_.started_at, 8'000'000'000);
}

}  // namespace
}  // namespace lemoncroft
