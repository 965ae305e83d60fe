// Heavy requests: capacity credit, load reports, memory and exploratory requests.
#include <gtest/gtest.h>

#include <vector>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

// With hundreds of gateways, one heavy request of each gateway at every engine is an overload. Heavy requests
// are charged to the gateway's credit. Without credit, they are sent only to an idle engine.
TEST(CapacityCredit, HeavyRequests_StayWithinGatewaysPartOfFleet) {
  Settings s = DefaultSettings();
  s.gateway_count = 100;
  s.classes = {DefaultClass(5, 4)};
  s.classes[0].client_timeout = 30 * kSecond;
  Host host(s);
  std::vector<EngineEntry> fleet;
  for (EngineId id = 1; id <= 20; ++id) fleet.push_back(ReadyEngine(id));
  host.DeliverList(fleet);
  std::vector<Event> many;
  for (RequestId id = 1; id <= 50; ++id) many.emplace_back(MakeRequest(id, 0, 30 * kSecond, 2 * kSecond));
  host.Step(many);
  EXPECT_GE(host.sends.size(), 1u);
  EXPECT_LE(host.sends.size(), 8u) << "20 engines run no request of this gateway, but its part is one of 100";
}

// Returns the number of attempts of a request that takes `time`, of a class with `class_settings`, at one of
// 100 gateways. The fleet is slow, and a heavy class with a priority weight of 12 per thread second has spent
// the credit of the gateway.
int AttemptsWithoutCredit(const ClassSettings& class_settings, Nanos time) {
  Settings s = DefaultSettings();
  s.gateway_count = 100;
  s.report_fields.clear();
  s.classes = {class_settings, DefaultClass(12)};
  s.classes[0].client_timeout = s.classes[1].client_timeout = 60 * kSecond;
  Host host(s);
  std::vector<EngineEntry> fleet;
  for (EngineId id = 1; id <= 20; ++id) fleet.push_back(ReadyEngine(id));
  host.DeliverList(fleet);
  RequestId id = 0;
  const auto run_request = [&](std::uint16_t class_number, Nanos duration, Nanos estimate) {
    host.Step({MakeRequest(++id, class_number, 50 * kSecond, estimate)});
    host.RunUntil(host.now + duration);
    if (host.Attempts(id) > 0) host.EndAttempt(id, Outcome::kOk, duration);
  };
  for (int i = 0; i < 30; ++i) run_request(0, time, time), run_request(1, kSecond, kSecond);
  for (int i = 0; i < 8; ++i) run_request(1, 5 * kSecond, kSecond);  // the fleet becomes slow
  host.Step({MakeRequest(500, 1, 50 * kSecond, 30 * kSecond)});      // spends the credit
  host.Step({MakeRequest(1000, 0, 50 * kSecond, time)});
  return host.Attempts(1000);
}

// Light requests may be half of the load. If they were always sent first, requests of a heavy class with a
// higher priority weight per thread second would wait behind them.
TEST(CapacityCredit, LightRequest_WithoutCredit_IsSentUnlessHeavyClassEarnsMore) {
  EXPECT_EQ(AttemptsWithoutCredit(DefaultClass(2), 100 * kMs), 1);
  EXPECT_EQ(AttemptsWithoutCredit(DefaultClass(1), 100 * kMs), 0)
      << "the heavy class earns 20 % more per thread second";
}

// Loads that are sent without credit spend the credit of all heavy classes, including those with a higher
// priority weight per thread second.
TEST(CapacityCredit, TableLoad_WithoutCredit_IsSentUnlessHeavyClassEarnsMore) {
  ClassSettings load = DefaultClass(13);
  load.holds_tables = true;
  EXPECT_EQ(AttemptsWithoutCredit(load, kSecond), 1);
  load.priority_weight = 4;
  EXPECT_EQ(AttemptsWithoutCredit(load, kSecond), 0);
}

// With many gateways, nearly all load at an engine is that of other gateways, so that a heavy request waits
// for a load report.
TEST(CapacityCredit, HeavyRequest_WithoutLoadReport_WaitsForProbe) {
  Settings s = DefaultSettings();
  s.gateway_count = 100;
  s.may_probe = true;
  s.classes = {DefaultClass(1), DefaultClass(5, 4)};
  s.classes[0].latency_objective = 100 * kMs;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  host.Step({MakeRequest(1, 1, 4 * kSecond, kSecond), MakeRequest(2, 0, 4 * kSecond, 10 * kMs)});
  EXPECT_EQ(host.Attempts(1), 0);
  EXPECT_EQ(host.Attempts(2), 1) << "a light request doesn't wait";
  ASSERT_EQ(host.probes.size(), 1u);
  ProbeEnded full;
  full.engine = host.probes[0];
  full.load_report.count = 2;
  full.load_report.values = {40, 1.0f};
  host.Step({full});
  EXPECT_EQ(host.Attempts(1), 0) << "requests of other gateways fill the engine";
  host.RunUntil(host.now + 300 * kMs);
  ASSERT_EQ(host.probes.size(), 2u) << "the second probe follows after the probe interval";
  ProbeEnded idle = full;
  idle.engine = host.probes[1];
  idle.load_report.values = {0, 0.0f};
  host.Step({idle});
  EXPECT_EQ(host.Attempts(1), 1);
  EXPECT_EQ(host.engine_of[1], idle.engine);
}

ProbeEnded Report(EngineId engine, float inflight, float memory) {
  ProbeEnded probe;
  probe.engine = engine;
  probe.load_report.count = 2;
  probe.load_report.values = {inflight, memory};
  return probe;
}

Settings WithReports() {
  Settings s = DefaultSettings();
  s.gateway_count = 4;
  s.report_fields = {ReportField::kInflight, ReportField::kX0};
  s.may_probe = true;
  return s;
}

// All gateways see the same report of an idle engine, and all send to it before the next report.
TEST(LoadReports, OtherGateways_AreAssumedToSendAsMuchSinceReport) {
  Settings s = WithReports();
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  host.Step({Report(1, 0, 0)});
  std::vector<Event> requests;
  for (RequestId id = 1; id <= 20; ++id) requests.push_back(MakeRequest(id));
  host.Step(requests);
  EXPECT_GE(host.sends.size(), 3u);
  EXPECT_LE(host.sends.size(), 4u) << "four gateways share 12 threads: 1.5 threads per core";
}

// Engines admit requests beyond their memory, and then all of their requests make no progress.
TEST(LoadReports, EngineWithTooMuchMemoryGranted_GetsNoRequest) {
  Settings s = WithReports();
  s.memory_shortage_policy = MemoryShortagePolicy::kSwap;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  Request request = MakeRequest(1);
  host.Step({Report(1, 2, 1.6f), request});
  EXPECT_EQ(host.Attempts(1), 0);
  host.RunUntil(host.now + 200 * kMs);
  EXPECT_EQ(host.Attempts(1), 0);
  host.Step({Report(1, 2, 0.5f)});
  EXPECT_EQ(host.Attempts(1), 1);
}

// Requests of a class whose recent responses missed the latency objective are rejected at once. Without
// occasional exploratory requests, no response would show that the engines have become idle.
TEST(LoadReports, ClassWithSlowResponses_SendsExploratoryRequests) {
  Settings s = DefaultSettings();
  s.classes[0].late_weight_share = 0;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  RequestId id = 0;
  for (int i = 0; i < 80; ++i) {
    host.Step({MakeRequest(++id, 0, 4 * kSecond)});
    if (host.Attempts(id) > 0) host.EndAttempt(id, Outcome::kOk, i < 40 ? 50 * kMs : 20 * kSecond);
  }
  host.RunUntil(host.now + kSecond);
  std::vector<Event> many;
  many.reserve(20);
  for (int i = 0; i < 20; ++i) many.push_back(MakeRequest(++id, 0, 4 * kSecond));
  const std::size_t before = host.sends.size();
  host.Step(many);
  ASSERT_EQ(host.sends.size(), before + 1) << "one exploratory request is sent and 19 requests are rejected";
  host.EndAttempt(host.sends.back().id, Outcome::kOk, 50 * kMs);
  const auto count_served = [&] {  // of 20 requests in one second, with engines that are fast again
    int count = 0;
    for (int i = 0; i < 20; ++i) {
      host.Step({MakeRequest(++id, 0, 4 * kSecond)});
      host.RunUntil(host.now + 50 * kMs);
      if (host.Attempts(id) == 0) continue;
      host.EndAttempt(id, Outcome::kOk, 50 * kMs);
      ++count;
    }
    return count;
  };
  for (int i = 0; i < 3; ++i) count_served();
  EXPECT_EQ(count_served(), 20) << "exploratory requests have shown that the engines are fast";
}

// A gateway with little traffic has only a dozen responses from which to learn the bias of a class.
TEST(MemoryGrant, BiasedEstimates_AreCorrectedAfterFewResponses) {
  Settings s = DefaultSettings();
  s.honors_memory_grants = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  for (RequestId id = 1; id <= 12; ++id) {
    Request r = MakeRequest(id);
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
