// Load of engines that a gateway can't see in its attempts in flight: a hung engine accepts attempts,
// responds to none, and may continue to work after a cancellation; a preferred engine is used by other
// gateways too.
#include <gtest/gtest.h>

#include <algorithm>

#include "gateway_host.h"

namespace lemoncroft {
namespace {

constexpr EngineId kHungEngine = 1;
constexpr Nanos kWork = 100 * kMs;

std::vector<EngineEntry> Engines(EngineId count) {
  std::vector<EngineEntry> entries;
  for (EngineId id = 1; id <= count; ++id) entries.push_back(ReadyEngine(id));
  return entries;
}

Settings WithoutReports() {
  Settings settings = DefaultSettings();
  settings.report_fields.clear();
  return settings;
}

// Sends `requests` requests, one per 20 ms, of which the hung engine responds to none. Returns the number of
// its cancelled attempts.
int SendWithHungEngine(Host& host, RequestId first, int requests) {
  int hung = 0;
  std::map<RequestId, Nanos> responses;  // delivered later
  for (int i = 0; i < requests; ++i) {
    const RequestId id = first + static_cast<RequestId>(i);
    host.Step({MakeRequest(id, 0, 4 * kSecond, kWork)});
    host.RunUntil(host.now + 20 * kMs);
    std::vector<RequestId> cancelled;
    for (const RequestId open : host.cancels)
      if (host.engine_of[open] == kHungEngine && host.Attempts(open) == 1) cancelled.push_back(open);
    for (const RequestId open : cancelled) {
      ++hung;
      host.EndAttempt(open, Outcome::kCancelled);  // is retried at another engine
      if (host.engine_of[open] != kHungEngine) host.EndAttempt(open, Outcome::kOk, kWork);
    }
    if (host.engine_of[id] != kHungEngine) host.EndAttempt(id, Outcome::kOk, kWork);
  }
  return hung;
}

TEST(HungEngine, CancelledAttempts_EjectEngine) {
  Host host(WithoutReports());
  host.DeliverList(Engines(4));
  SendWithHungEngine(host, 1, 200);
  const auto before = host.sends.size();
  // 8 s: the circuit breaker opens twice for 4 s, each time followed by one attempt.
  SendWithHungEngine(host, 1000, 400);
  int attempts_after_ejection = 0;
  for (std::size_t i = before; i < host.sends.size(); ++i)
    attempts_after_ejection += host.sends[i].engine == kHungEngine;
  EXPECT_LE(attempts_after_ejection, 5);
}

// The work of an abandoned attempt may continue, so that its engine is loaded although no attempt is in
// flight there.
TEST(AbandonedAttempt, RemainingWork_CountsAsLoadOfEngine) {
  Host host(WithoutReports());
  host.DeliverList(Engines(1));
  for (RequestId id = 1; id <= 4; ++id) host.Step({MakeRequest(id, 0, 5 * kSecond, 2 * kSecond)});
  ASSERT_EQ(host.sends.size(), 4u);
  for (RequestId id = 1; id <= 4; ++id) {
    host.Step({RequestCancelled{id}});
    host.EndAttempt(id, Outcome::kCancelled, kMs, 0, true);
  }
  host.DeliverList(Engines(2));
  int sent_to_loaded = 0;
  for (RequestId id = 10; id < 30; ++id) {
    host.Step({MakeRequest(id)});
    sent_to_loaded += host.engine_of[id] == 1;
    host.EndAttempt(id, Outcome::kOk, kWork);
  }
  EXPECT_EQ(sent_to_loaded, 0);
}

// All gateways prefer the same engines for a table group, and each knows only its own part of their load.
TEST(PreferredEngine, RequestsOfOneTableGroup_AreSentOnlyUpToItsCapacity) {
  // After the warm-up, the demand that a gateway assumes at its start has no effect.
  constexpr int kRequests = 1000, kWarmUpRequests = 3000;
  Settings settings = WithoutReports();
  settings.gateway_count = 8;
  Host host(settings);
  host.DeliverList(Engines(20));
  std::map<EngineId, int> sent;
  for (RequestId id = 1; id <= kWarmUpRequests + kRequests; ++id) {
    Request request = MakeRequest(id);
    request.table_group = 7;  // the same for all requests
    host.Step({request});
    if (id > kWarmUpRequests) ++sent[host.engine_of[id]];
    host.EndAttempt(id, Outcome::kOk, kWork);
    host.now += 10 * kMs;
  }
  int max_count = 0;
  for (const auto& [engine, count] : sent) max_count = std::max(max_count, count);
  // Each gateway sends 100 requests per second of 0.1 s each. Together they use 8 x 10 of 160 cores, so that
  // twice the mean load fills an engine.
  EXPECT_LE(max_count, 2.5 * kRequests / 20);
  EXPECT_GE(max_count, 1.5 * kRequests / 20)
      << "preferred engines get more than they would in a fully loaded fleet";
}

}  // namespace
}  // namespace lemoncroft
