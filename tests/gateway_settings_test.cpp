// Changes under way: new settings, shutdown, size of the fleet of gateways.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <vector>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

TEST(ApplySettings, WhatIsUnderWayKeepsItsClassAndWhatHasNoAttemptLeftIsAnswered) {
  Settings before = SomeSettings();
  Host host(before);
  host.List({Ready(1)});
  host.Step({Ask(1)});
  host.Step({Ask(2)});
  Settings after = before;
  after.classes.push_back(SomeClass());
  after.classes[1].effect = Effect::kUnsafe;
  after.max_attempts = 2;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0, 0}}});
  host.Step({Ask(3, 1)});
  host.End(3, Outcome::kReset);
  EXPECT_TRUE(host.failed.contains(3)) << "its class allows no repeat";
  host.End(1, Outcome::kReset);
  EXPECT_EQ(host.Attempts(1), 2);
  EngineEntry draining = Ready(1);
  draining.readiness = Readiness::kDraining;
  host.List({draining}, ListKind::kChange);
  host.End(2, Outcome::kFull);
  EXPECT_FALSE(host.rejected.contains(2));
  after.max_attempts = 1;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0, 1}}});
  EXPECT_TRUE(host.rejected.contains(2)) << "held for an attempt that is no more allowed";
}

TEST(Closing, AnswersWhatIsOpenByWhatMayHaveRun) {
  Settings s = SomeSettings();
  s.classes.push_back(SomeClass());
  s.classes[1].effect = Effect::kUnsafe;
  Host host(s);
  host.List({Ready(1)});
  host.Step({Ask(1), Ask(2, 1)});
  ASSERT_EQ(host.sends.size(), 2u);
  EngineEntry draining = Ready(1);
  draining.readiness = Readiness::kDraining;
  host.List({draining}, ListKind::kChange);
  host.Step({Ask(3, 1)});
  host.Step({Shutdown{}});
  EXPECT_TRUE(host.rejected.contains(1));
  EXPECT_TRUE(host.failed.contains(2)) << "it may have run";
  EXPECT_TRUE(host.rejected.contains(3)) << "held: it never ran";
  EXPECT_EQ(host.cancels, (std::set<RequestId>{1, 2}));
}

// The repeat may still wait for its connection when its class becomes unsafe.
TEST(ApplySettings, ARepeatThatIsNoLongerAllowedIsCalledOff) {
  Settings before = SomeSettings();
  Host host(before);
  host.List({Ready(1), Ready(2)});
  host.Step({Ask(1)});
  host.Step({Ask(2)});
  host.End(1, Outcome::kReset);
  ASSERT_EQ(host.Attempts(1), 2);
  Settings after = before;
  after.classes[0].effect = Effect::kUnsafe;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0}}});
  EXPECT_TRUE(host.cancels.contains(1));
  EXPECT_FALSE(host.cancels.contains(2)) << "a first attempt is no repeat";
  host.End(1, Outcome::kNotSent);
  EXPECT_TRUE(host.failed.contains(1)) << "the attempt before may have run";
}

TEST(FleetSize, TakeThePlaceOfWhatTheSettingsTellAlsoOverAReload) {
  Settings s = SomeSettings();
  s.gateway_count = 2;
  const auto used = [&](bool told, bool reloaded) {
    Host host(s);
    if (told) host.Step({FleetSize{100, 3}});
    if (reloaded) host.Step({SettingsChanged{std::make_shared<Settings>(s), {0, 1, 2}}});
    std::vector<EngineEntry> fleet;
    for (EngineId id = 1; id <= 60; ++id) fleet.push_back(Ready(id));
    host.List(fleet);
    std::set<EngineId> engines;
    for (RequestId id = 1; id <= 300; ++id) {
      Request ask = Ask(id, 0, 4 * kSecond, kMs);
      ask.table_group = static_cast<std::uint32_t>(id);
      host.Step({ask});
      if (host.engine_of.contains(id))
        engines.insert(host.engine_of[id]), host.End(id, Outcome::kOk, kMs, kMs);
    }
    return engines.size();
  };
  EXPECT_GT(used(false, false), 30u);
  EXPECT_LE(used(true, false), 15u);
  EXPECT_LE(used(true, true), 15u);
}

}  // namespace
}  // namespace lemoncroft
