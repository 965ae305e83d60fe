// Heavy requests: the capacity credit, load reports, memory and exploration.
#include <gtest/gtest.h>

#include <vector>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

// With hundreds of gateways one heavy request of each at every engine is an overload. Heavy requests are
// charged to the gateway's credit; without credit none leaves unless an engine is idle.
TEST(Share, HeavyQueriesAreHeldToAPartOfTheFleet) {
  Settings s = SomeSettings();
  s.gateway_count = 100;
  s.classes = {SomeClass(5, 4)};
  s.classes[0].client_timeout = 30 * kSecond;
  Host host(s);
  std::vector<EngineEntry> fleet;
  for (EngineId id = 1; id <= 20; ++id) fleet.push_back(Ready(id));
  host.List(fleet);
  std::vector<Event> many;
  for (RequestId id = 1; id <= 50; ++id) many.emplace_back(Ask(id, 0, 30 * kSecond, 2 * kSecond));
  host.Step(many);
  EXPECT_GE(host.sends.size(), 1u);
  EXPECT_LE(host.sends.size(), 8u) << "twenty engines run none of ours, but the share is of all gateways";
}

// Attempts of one request of the class, which takes `time`, while the fleet is slow and a heavy class, whose
// weight is 12 for a thread second, has spent the credit of one gateway of a hundred.
int AttemptsWithoutCredit(const ClassSettings& class_id, Nanos time) {
  Settings s = SomeSettings();
  s.gateway_count = 100;
  s.report_fields.clear();
  s.classes = {class_id, SomeClass(12)};
  s.classes[0].client_timeout = s.classes[1].client_timeout = 60 * kSecond;
  Host host(s);
  std::vector<EngineEntry> fleet;
  for (EngineId id = 1; id <= 20; ++id) fleet.push_back(Ready(id));
  host.List(fleet);
  RequestId id = 0;
  const auto answered = [&](std::uint16_t of, Nanos takes, Nanos estimate) {
    host.Step({Ask(++id, of, 50 * kSecond, estimate)});
    host.RunUntil(host.now + takes);
    if (host.Attempts(id) > 0) host.End(id, Outcome::kOk, takes);
  };
  for (int i = 0; i < 30; ++i) answered(0, time, time), answered(1, kSecond, kSecond);
  for (int i = 0; i < 8; ++i) answered(1, 5 * kSecond, kSecond);  // slow now, ...
  host.Step({Ask(500, 1, 50 * kSecond, 30 * kSecond)});           // ... and the credit is spent
  host.Step({Ask(1000, 0, 50 * kSecond, time)});
  return host.Attempts(1000);
}

// Light requests may be half of the load. If they always went first, requests of a heavy class with a higher
// weight for a thread second would wait behind them.
TEST(Share, ALightClassGoesAheadWithoutCreditOnlyWhereItMakesMoreOfTheEnginesTime) {
  EXPECT_EQ(AttemptsWithoutCredit(SomeClass(2), 100 * kMs), 1);
  EXPECT_EQ(AttemptsWithoutCredit(SomeClass(1), 100 * kMs), 0) << "the heavy class earns a fifth more";
}

// Loads that leave without credit spend it for all heavy classes, also for those with a higher weight for a
// thread second.
TEST(Share, LoadsGoWithoutCreditOnlyWhereNoHeavyClassEarnsMore) {
  ClassSettings load = SomeClass(13);
  load.holds_tables = true;
  EXPECT_EQ(AttemptsWithoutCredit(load, kSecond), 1);
  load.priority_weight = 4;
  EXPECT_EQ(AttemptsWithoutCredit(load, kSecond), 0);
}

// With many gateways nearly all load is that of others, so that a heavy request waits for a load report.
TEST(Share, AHeavyQueryAsksAnEnginesLoadBeforeItGoes) {
  Settings s = SomeSettings();
  s.gateway_count = 100;
  s.may_probe = true;
  s.classes = {SomeClass(1), SomeClass(5, 4)};
  s.classes[0].latency_objective = 100 * kMs;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  host.Step({Ask(1, 1, 4 * kSecond, kSecond), Ask(2, 0, 4 * kSecond, 10 * kMs)});
  EXPECT_EQ(host.Attempts(1), 0);
  EXPECT_EQ(host.Attempts(2), 1) << "a light query doesn't wait";
  ASSERT_EQ(host.probes.size(), 1u);
  ProbeEnded full;
  full.engine = host.probes[0];
  full.load_report.count = 2;
  full.load_report.values = {40, 1.0f};
  host.Step({full});
  EXPECT_EQ(host.Attempts(1), 0) << "others fill it";
  host.RunUntil(host.now + 300 * kMs);
  ASSERT_EQ(host.probes.size(), 2u) << "another look, a beat later";
  ProbeEnded idle = full;
  idle.engine = host.probes[1];
  idle.load_report.values = {0, 0.0f};
  host.Step({idle});
  EXPECT_EQ(host.Attempts(1), 1);
  EXPECT_EQ(host.engine_of[1], idle.engine);
}

ProbeEnded Report(EngineId engine, float inflight, float memory) {
  ProbeEnded probed;
  probed.engine = engine;
  probed.load_report.count = 2;
  probed.load_report.values = {inflight, memory};
  return probed;
}

Settings WithReports() {
  Settings s = SomeSettings();
  s.gateway_count = 4;
  s.report_fields = {ReportField::kInflight, ReportField::kX0};
  s.may_probe = true;
  return s;
}

// All gateways see an engine as idle in the same report, and all send to it before the next one.
TEST(Reports, OtherGatewaysAreTakenToSendAsMuchSinceAReport) {
  Settings s = WithReports();
  Host host(s);
  host.List({Ready(1)});
  host.Step({Report(1, 0, 0)});
  std::vector<Event> requests;
  for (RequestId id = 1; id <= 20; ++id) requests.push_back(Ask(id));
  host.Step(requests);
  EXPECT_GE(host.sends.size(), 3u);
  EXPECT_LE(host.sends.size(), 4u) << "four gateways share 12 threads: one and a half a core";
}

// Engines admit requests beyond their memory, and then all that run there come to a standstill.
TEST(Reports, AnEngineWhoseMemoryIsGrantedTakesNoMore) {
  Settings s = WithReports();
  s.memory_shortage_policy = MemoryShortagePolicy::kSwap;
  Host host(s);
  host.List({Ready(1)});
  Request request = Ask(1);
  host.Step({Report(1, 2, 1.6f), request});
  EXPECT_EQ(host.Attempts(1), 0);
  host.RunUntil(host.now + 200 * kMs);
  EXPECT_EQ(host.Attempts(1), 0);
  host.Step({Report(1, 2, 0.5f)});
  EXPECT_EQ(host.Attempts(1), 1);
}

// A class whose recent responses missed its latency objective is rejected at once. Without an exploratory
// request now and then no response would show that the engines have become idle.
TEST(Reports, AClassThatItsPaceRulesOutSendsATrialNowAndThen) {
  Settings s = SomeSettings();
  s.classes[0].late_weight_share = 0;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  RequestId id = 0;
  for (int i = 0; i < 80; ++i) {
    host.Step({Ask(++id, 0, 4 * kSecond)});
    if (host.Attempts(id) > 0) host.End(id, Outcome::kOk, i < 40 ? 50 * kMs : 20 * kSecond);
  }
  host.RunUntil(host.now + kSecond);
  std::vector<Event> many;
  many.reserve(20);
  for (int i = 0; i < 20; ++i) many.push_back(Ask(++id, 0, 4 * kSecond));
  const std::size_t before = host.sends.size();
  host.Step(many);
  ASSERT_EQ(host.sends.size(), before + 1) << "one tries, nineteen are turned away";
  host.End(host.sends.back().id, Outcome::kOk, 50 * kMs);
  const auto served = [&] {  // of a second's twenty requests, at engines that are fast again
    int count = 0;
    for (int i = 0; i < 20; ++i) {
      host.Step({Ask(++id, 0, 4 * kSecond)});
      host.RunUntil(host.now + 50 * kMs);
      if (host.Attempts(id) == 0) continue;
      host.End(id, Outcome::kOk, 50 * kMs);
      ++count;
    }
    return count;
  };
  for (int i = 0; i < 3; ++i) served();
  EXPECT_EQ(served(), 20) << "trials have shown the pace";
}

// A small gateway has only a dozen responses to learn a class's bias from.
TEST(Memory, AFewAnswersTellHowFarEstimatesLie) {
  Settings s = SomeSettings();
  s.honors_memory_grants = true;
  Host host(s);
  host.List({Ready(1)});
  for (RequestId id = 1; id <= 12; ++id) {
    Request r = Ask(id);
    r.estimated_memory_mb = 100;
    host.Step({r});
    AttemptEnded e;
    e.id = id;
    e.engine = 1;
    e.elapsed = e.work = 100 * kMs;
    e.memory_mb = 200;
    e.request_finished = true;
    host.Step({e});
  }
  EXPECT_GE(host.grants[12].grant_mb, 180);
  EXPECT_LE(host.grants[12].grant_mb, 300);
}

}  // namespace
}  // namespace lemoncroft
