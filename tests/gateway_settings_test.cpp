// Changes at run time: new settings, shutdown, and the size of the fleet of gateways.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <vector>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

TEST(ApplySettings, OpenRequests_KeepTheirClassAndEndWithoutAttemptsLeft) {
  Settings before = DefaultSettings();
  Host host(before);
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(1)});
  host.Step({MakeRequest(2)});
  Settings after = before;
  after.classes.push_back(DefaultClass());
  after.classes[1].effect = Effect::kUnsafe;
  after.max_attempts = 2;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0, 0}}});
  host.Step({MakeRequest(3, 1)});
  host.EndAttempt(3, Outcome::kReset);
  EXPECT_TRUE(host.failed.contains(3)) << "its class doesn't allow retries";
  host.EndAttempt(1, Outcome::kReset);
  EXPECT_EQ(host.Attempts(1), 2);
  EngineEntry draining = ReadyEngine(1);
  draining.readiness = Readiness::kDraining;
  host.DeliverList({draining}, ListKind::kChange);
  host.EndAttempt(2, Outcome::kFull);
  EXPECT_FALSE(host.rejected.contains(2));
  after.max_attempts = 1;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0, 1}}});
  EXPECT_TRUE(host.rejected.contains(2)) << "it waited for a retry that is no longer allowed";
}

TEST(GatewayShutdown, OpenRequests_AreFailedOnlyIfTheyMayHaveRun) {
  Settings s = DefaultSettings();
  s.classes.push_back(DefaultClass());
  s.classes[1].effect = Effect::kUnsafe;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(1), MakeRequest(2, 1)});
  ASSERT_EQ(host.sends.size(), 2u);
  EngineEntry draining = ReadyEngine(1);
  draining.readiness = Readiness::kDraining;
  host.DeliverList({draining}, ListKind::kChange);
  host.Step({MakeRequest(3, 1)});
  host.Step({Shutdown{}});
  EXPECT_TRUE(host.rejected.contains(1));
  EXPECT_TRUE(host.failed.contains(2)) << "it may have run";
  EXPECT_TRUE(host.rejected.contains(3)) << "it was pending and never ran";
  EXPECT_EQ(host.cancels, (std::set<RequestId>{1, 2}));
}

// Guards against an exception of the module: a late request was looked for in the group that the new settings
// name, and stayed in its former one after its end.
TEST(ApplySettings, WeightOfLateRequestsChanges_PendingLateRequestIsRemoved) {
  Settings before = DefaultSettings();
  before.classes[0].late_weight_share = 0.5;
  before.classes[0].latency_objective_stretch = 0;
  Host host(before);
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(2)});  // so that the other one isn't sent to explore
  EngineEntry draining = ReadyEngine(1);
  draining.readiness = Readiness::kDraining;
  host.DeliverList({draining}, ListKind::kChange);
  host.Step({MakeRequest(1, 0, 4 * kSecond, 900 * kMs)});
  host.RunUntil(host.now + 200 * kMs);
  ASSERT_TRUE(host.rejected.empty()) << "it waits although it is late";
  Settings after = before;
  after.classes[0].late_weight_share = 0.25;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0}}});
  host.Step({RequestCancelled{1}});
  EXPECT_NO_THROW(host.DeliverList({ReadyEngine(1)}, ListKind::kChange));
  EXPECT_EQ(host.sends.size(), 1u) << "only the other one";
}

// A retry may still be waiting for its connection when its class becomes unsafe.
TEST(ApplySettings, Retry_NoLongerAllowed_IsCancelled) {
  Settings before = DefaultSettings();
  Host host(before);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  host.Step({MakeRequest(1)});
  host.Step({MakeRequest(2)});
  host.EndAttempt(1, Outcome::kReset);
  ASSERT_EQ(host.Attempts(1), 2);
  Settings after = before;
  after.classes[0].effect = Effect::kUnsafe;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0}}});
  EXPECT_TRUE(host.cancels.contains(1));
  EXPECT_FALSE(host.cancels.contains(2)) << "a first attempt is not a retry";
  host.EndAttempt(1, Outcome::kNotSent);
  EXPECT_TRUE(host.failed.contains(1)) << "the previous attempt may have run";
}

TEST(FleetSize, Event_ReplacesSettings_AlsoAfterReload) {
  Settings s = DefaultSettings();
  s.gateway_count = 2;
  const auto engines_used = [&](bool with_fleet_size, bool reloaded) {
    Host host(s);
    if (with_fleet_size) host.Step({FleetSize{100, 3}});
    if (reloaded) host.Step({SettingsChanged{std::make_shared<Settings>(s), {0, 1, 2}}});
    std::vector<EngineEntry> fleet;
    for (EngineId id = 1; id <= 60; ++id) fleet.push_back(ReadyEngine(id));
    host.DeliverList(fleet);
    std::set<EngineId> engines;
    for (RequestId id = 1; id <= 300; ++id) {
      Request request = MakeRequest(id, 0, 4 * kSecond, kMs);
      request.table_group = static_cast<std::uint32_t>(id);
      host.Step({request});
      if (host.engine_of.contains(id))
        engines.insert(host.engine_of[id]), host.EndAttempt(id, Outcome::kOk, kMs, kMs);
    }
    return engines.size();
  };
  EXPECT_GT(engines_used(false, false), 30u);
  EXPECT_LE(engines_used(true, false), 15u);
  EXPECT_LE(engines_used(true, true), 15u);
}

}  // namespace
}  // namespace lemoncroft
