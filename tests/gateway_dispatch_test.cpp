// Dispatch: choice of engine, order of requests and concurrency limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

// Makes the engines of the host report themselves busy, so that the concurrency limits apply.
void MakeBusy(Host& host, RequestId first, int n) {
  for (int i = 0; i < n; ++i) {
    RequestId id = first + static_cast<RequestId>(i);
    host.Step({MakeRequest(id)});
    AttemptEnded e;
    e.id = id;
    e.engine = host.engine_of.at(id);
    e.outcome = Outcome::kOk;
    e.elapsed = e.work = 100 * kMs;
    e.request_finished = true;
    e.load_report.count = 2;
    e.load_report.values = {8, 1.0f};
    host.Step({e});
  }
}

TEST(EndpointList, DrainingOrRemovedEngine_GetsNoNewAttempts) {
  Host host(DefaultSettings());
  EngineEntry draining = ReadyEngine(1);
  draining.readiness = Readiness::kDraining;
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  host.DeliverList({draining}, ListKind::kChange);
  for (RequestId id = 1; id <= 10; ++id) host.Step({MakeRequest(id)});
  host.DeliverList({ReadyEngine(3)}, ListKind::kFull);
  for (RequestId id = 11; id <= 20; ++id) host.Step({MakeRequest(id)});
  for (const Host::Sent& s : host.sends) EXPECT_EQ(s.engine, s.id <= 10 ? 2u : 3u);
}

TEST(EndpointList, NoEngineServesAndOneIsManuallyEjected_RequestsAreRejectedAtOnce) {
  Host host(DefaultSettings());
  EngineEntry ejected = ReadyEngine(1), draining = ReadyEngine(2);
  ejected.readiness = Readiness::kExcluded;
  draining.readiness = Readiness::kDraining;
  host.DeliverList({draining});
  host.Step({MakeRequest(1)});
  EXPECT_FALSE(host.rejected.contains(1)) << "a draining engine may be replaced without an operator";
  host.DeliverList({ejected}, ListKind::kChange);
  EXPECT_TRUE(host.rejected.contains(1));
  host.Step({MakeRequest(2)});
  EXPECT_TRUE(host.rejected.contains(2));
  EXPECT_EQ(host.retry_after[2], 2 * kSecond);
  host.DeliverList({ReadyEngine(1)}, ListKind::kChange);
  host.Step({MakeRequest(3)});
  EXPECT_EQ(host.Attempts(3), 1);
}

TEST(Placement, EveryAttempt_StaysInAllowedZone) {
  Settings s = DefaultSettings();
  s.classes[0].zones = {1};
  Host host(s);
  EngineEntry allowed = ReadyEngine(2);
  allowed.zone = 1;
  host.DeliverList({ReadyEngine(1), allowed});
  host.Step({MakeRequest(1)});
  EXPECT_EQ(host.engine_of[1], 2u);
  host.EndAttempt(1, Outcome::kConnectFailed);
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(2)});
  for (const Host::Sent& x : host.sends) EXPECT_EQ(x.engine, 2u);
}

TEST(RetryBudget, Retries_StayWithinBudget) {
  Settings s = DefaultSettings();
  s.retry_budget = RetryBudgetSettings{1, 0.1, 10 * kSecond};
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3), ReadyEngine(4)});
  for (RequestId id = 1; id <= 20; ++id) {
    host.Step({MakeRequest(id)});
    host.EndAttempt(id, Outcome::kFull);
    host.RunUntil(host.now + 510 * kMs);  // the backoff of a full engine is 500 ms
  }
  int retries = static_cast<int>(host.sends.size()) - 20;
  EXPECT_GE(retries, 1);
  EXPECT_LE(retries, 4) << "1 + 0.1 x 20 retries, over slightly more than one window";
}

TEST(DispatchOrder, HighestPriorityWeightFirst) {
  Settings s = DefaultSettings();
  s.classes = {DefaultClass(1), DefaultClass(5)};
  Host host(s);
  host.Step({MakeRequest(1, 0), MakeRequest(2, 1), MakeRequest(3, 0), MakeRequest(4, 1)});
  host.DeliverList({ReadyEngine(1)});
  ASSERT_EQ(host.sends.size(), 4u);
  EXPECT_EQ(host.sends[0].id, 2u);
  EXPECT_EQ(host.sends[1].id, 4u);
}

TEST(DispatchOrder, EqualPriorityWeights_LeastWorkFirst) {
  Host host(DefaultSettings());
  host.Step({MakeRequest(1, 0, 4 * kSecond, 300 * kMs), MakeRequest(2, 0, 4 * kSecond, 50 * kMs)});
  host.DeliverList({ReadyEngine(1)});
  ASSERT_EQ(host.sends.size(), 2u);
  EXPECT_EQ(host.sends[0].id, 2u);
}

TEST(ConcurrencyLimit, Limit_AppliesOnlyUnderPressureAndStartsFromSeed) {
  Host calm(DefaultSettings());
  calm.DeliverList({ReadyEngine(1)});
  for (RequestId id = 1; id <= 40; ++id) calm.Step({MakeRequest(id)});
  EXPECT_EQ(calm.sends.size(), 12u) << "1.5 threads x 8 cores already put the engine under pressure";

  Host busy(DefaultSettings());
  busy.DeliverList({ReadyEngine(1)});
  MakeBusy(busy, 100, 1);
  busy.sends.clear();
  for (RequestId id = 1; id <= 40; ++id) busy.Step({MakeRequest(id)});
  EXPECT_EQ(busy.sends.size(), 6u) << "1.5 threads x 8 cores / 2 gateways";
}

// Many gateways that each send a first heavy request to a full engine would overload it together.
TEST(ConcurrencyLimit, HeavyRequest_OnEngineCrowdedByOtherGateways_Waits) {
  Settings s = DefaultSettings();
  s.classes = {DefaultClass(1), DefaultClass(5)};
  s.reports_cost = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(1, 1, 4 * kSecond, 2 * kSecond)});
  AttemptEnded e;
  e.id = 1;
  e.engine = 1;
  e.elapsed = e.work = 2 * kSecond;
  e.request_finished = true;
  e.load_report.count = 2;
  e.load_report.values = {30, 0.5f};
  host.Step({e});
  host.Step({MakeRequest(2, 1, 4 * kSecond, 2 * kSecond)});
  EXPECT_EQ(host.Attempts(2), 0);
  host.RunUntil(host.now + 2500 * kMs);
  host.Step({MakeRequest(3, 1, 4 * kSecond, 2 * kSecond)});
  EXPECT_EQ(host.Attempts(3), 1) << "the report is no longer fresh";
}

// While requests are pending, the limit is raised; without a gain in throughput, the step is reverted. While
// latency objectives are met, the limit doesn't fall below its seed.
TEST(ConcurrencyLimit, Raise_WithoutThroughputGain_IsReverted) {
  Settings s = DefaultSettings();
  s.classes[0].latency_objective = s.classes[0].client_timeout = 60 * kSecond;
  s.reports_cost = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  MakeBusy(host, 1000, 1);
  std::vector<Event> many;
  for (RequestId id = 1; id <= 400; ++id) many.emplace_back(MakeRequest(id, 0, 60 * kSecond));
  host.Step(many);
  std::size_t ended = 1, min_running = 100, max_running = 0;  // the request of MakeBusy has ended
  bool raised = false, reverted = false;
  for (std::size_t next = 1; host.now < 110 * kSecond; ++next) {
    host.RunUntil(host.now + 50 * kMs);
    AttemptEnded e;
    e.id = host.sends[next].id;
    e.engine = 1;
    e.elapsed = e.work = 100 * kMs;
    e.request_finished = true;
    e.load_report.count = 2;
    e.load_report.values = {14, 1.0f};
    host.Step({e});
    ++ended;
    const std::size_t running = host.sends.size() - ended;
    min_running = std::min(min_running, running);
    max_running = std::max(max_running, running);
    reverted = reverted || (raised && running == 6);
    raised = raised || running == 7;
  }
  EXPECT_TRUE(raised);
  EXPECT_TRUE(reverted);
  EXPECT_EQ(min_running, 6u);
  EXPECT_LE(max_running, 8u);
}

// A few heavy requests must not make many light requests wait.
TEST(ConcurrencyLimit, LightRequests_AreCountedSeparately) {
  Settings s = DefaultSettings();
  s.classes = {DefaultClass(1), DefaultClass(5, 4)};
  s.classes[0].latency_objective = 100 * kMs;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  for (RequestId id = 1; id <= 20; ++id) host.Step({MakeRequest(id, 1, 4 * kSecond, kSecond)});
  std::size_t heavy = host.sends.size();
  EXPECT_LT(heavy, 20u);
  host.Step({MakeRequest(100, 0, 4 * kSecond, 10 * kMs)});
  EXPECT_EQ(host.Attempts(100), 1);
}

TEST(EngineChoice, EqualEngines_ShareRequestsEvenly) {
  Host host(DefaultSettings());
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  for (RequestId id = 1; id <= 40; ++id) host.Step({MakeRequest(id)});
  std::map<EngineId, int> count;
  for (const Host::Sent& x : host.sends) ++count[x.engine];
  EXPECT_NEAR(count[1], 20, 8);
}

// A request that can't meet its latency objective at the recent slowdown must be rejected instead of being
// sent too late.
TEST(LatencyObjective, Request_ThatCannotMeetIt_IsRejected) {
  Settings s = DefaultSettings();
  s.classes[0].late_weight_share = 0;
  s.reports_cost = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  for (RequestId id = 1; id <= 60; ++id) {  // ten times the response time of an idle engine
    host.Step({MakeRequest(id)});
    if (host.rejected.contains(id)) continue;
    host.EndAttempt(id, Outcome::kOk, kSecond, 100 * kMs);
  }
  host.DeliverList({});
  host.Step({MakeRequest(100)});
  host.RunUntil(host.now + 500 * kMs);
  EXPECT_TRUE(host.rejected.contains(100));
}

// At a shared engine, a reader would wait for the load of another gateway that holds its table group.
TEST(EngineChoice, LoadsAndReadersOfTableGroup_UseDifferentEngines) {
  Settings s = DefaultSettings();
  s.classes = {DefaultClass(1), DefaultClass(5, 2)};
  s.classes[0].blocked_by_loads = true;
  s.classes[1].holds_tables = true;
  for (std::uint32_t tables = 0; tables < 40; ++tables) {
    std::set<EngineId> readers, loads;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      Host host(s, seed);
      host.DeliverList(
          {ReadyEngine(1), ReadyEngine(2), ReadyEngine(3), ReadyEngine(4), ReadyEngine(5), ReadyEngine(6)});
      Request reader = MakeRequest(1, 0), load = MakeRequest(2, 1);
      reader.table_group = load.table_group = tables;
      host.Step({reader, load});
      ASSERT_EQ(host.sends.size(), 2u) << "there is an engine for the reader and one for the load";
      readers.insert(host.engine_of[1]);
      loads.insert(host.engine_of[2]);
    }
    for (EngineId id : loads) EXPECT_FALSE(readers.contains(id)) << "table group " << tables;
  }
}

}  // namespace
}  // namespace lemoncroft
