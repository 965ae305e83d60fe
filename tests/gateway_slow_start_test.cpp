// Slow start: the work that an engine gets while it warms up, from one gateway and from all gateways.
#include <gtest/gtest.h>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

Settings WithColdEngines() {
  Settings s = DefaultSettings();
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 15 * kSecond;
  s.overload_factor = 2.5;
  s.overload_window = 1500 * kMs;
  return s;
}

TEST(SlowStart, ColdEngine_UnderLoad_GetsGatewaysShareOfBudget) {
  Settings s = WithColdEngines();
  Host host(s);
  host.DeliverList({ReadyEngine(1, host.now), ReadyEngine(2)});
  for (RequestId id = 1; id <= 400; ++id) {
    host.Step({MakeRequest(id)});
    host.EndAttempt(id, Outcome::kOk, 100 * kMs);  // as estimated
    host.now += kMs;
  }
  double sent = 0;
  for (const Host::Sent& x : host.sends) sent += x.engine == 1 ? 0.1 : 0;
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 2.5 * 0.35 * 8 * 1.5 / s.gateway_count) << "half of what both gateways may send together";
}

TEST(SlowStart, TwoProcesses_OfOneGateway_DivideBudget) {
  Settings s = WithColdEngines();
  const auto sent = [&s](int parts) {
    double total = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Host host(s, seed);
      host.Step({ProcessCount{parts}});
      host.DeliverList({ReadyEngine(1, host.now), ReadyEngine(2)});
      for (RequestId id = 1; id <= 400; ++id) {
        host.Step({MakeRequest(id)});
        host.EndAttempt(id, Outcome::kOk, 100 * kMs);  // as estimated
        host.now += kMs;
      }
      for (const Host::Sent& x : host.sends) total += x.engine == 1;
    }
    return total;
  };
  EXPECT_LT(sent(2), 0.65 * sent(1));
}

// Work beyond the client's timeout must not count as demand. Otherwise a huge estimate would give this
// gateway the whole slow-start budget of an engine.
TEST(SlowStart, HugeEstimate_IsNotCountedAsDemand) {
  Settings s = DefaultSettings();
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 10 * kSecond;
  s.overload_factor = 4;
  s.overload_window = kSecond;
  std::array<std::size_t, 2> sent{};
  for (const bool huge : {false, true}) {
    Host host(s);
    host.DeliverList({ReadyEngine(1, host.now)});
    if (huge) host.Step({MakeRequest(1000, 0, 2 * kSecond, 2'000'000 * kSecond)});
    for (RequestId id = 1; id <= 400; ++id) {
      host.Step({MakeRequest(id, 0, 4 * kSecond, 100 * kMs)});
      if (host.engine_of.contains(id)) host.EndAttempt(id, Outcome::kOk, 100 * kMs, 100 * kMs);
      host.now += 5 * kMs;
    }
    sent[huge] = host.sends.size();
  }
  EXPECT_LE(sent[1], sent[0] + sent[0] / 4) << sent[0];
}

// Gateways must not accumulate credit for an engine that receives nothing. All gateways together send at most
// its budget in any window, and more than nothing.
TEST(SlowStart, AllGateways_AfterIdleTime_KeepToBudgetTogether) {
  Settings s = DefaultSettings();
  s.gateway_count = 100;
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 15 * kSecond;
  s.overload_factor = 2.5;
  s.overload_window = 1500 * kMs;
  double sent = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Host host(s, seed);
    host.DeliverList({ReadyEngine(1, host.now)});
    host.now += 10 * kSecond;
    for (RequestId id = 1; id <= 5; ++id) host.Step({MakeRequest(id)});
    sent += 0.1 * static_cast<double>(host.sends.size());
  }
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 2.5 * 0.76 * 8 * 1.5) << "overload factor x current capacity share x cores x window";
}

// The previous process of the gateway may just have spent the budget of the window.
TEST(SlowStart, RestartedGateway_HasNoCreditAtFirst) {
  Settings s = WithColdEngines();
  int at_once = 0, later = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Host host(s, seed);
    host.DeliverList({ReadyEngine(1, host.now - 5 * kSecond)});
    for (RequestId id = 1; id <= 5; ++id) host.Step({MakeRequest(id)});
    at_once += static_cast<int>(host.sends.size());
    host.RunUntil(host.now + kSecond);
    host.Step({MakeRequest(9)});
    later += static_cast<int>(host.sends.size());
  }
  EXPECT_EQ(at_once, 0);
  EXPECT_GT(later, 40) << "within a window, the gateway accrues the credit of one window";
}

// The slow-start budget is divided by the number of live gateways, so that they keep to it together even if
// each of them is overloaded and assumes that the whole demand is its own.
TEST(FleetSize, OverloadedGateways_KeepToSlowStartBudgetTogether) {
  Settings s = DefaultSettings();
  s.overload_window = kSecond;
  s.overload_factor = 4;
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 14 * kSecond;
  constexpr int kGateways = 20;
  double work = 0;  // thread seconds sent to the cold engine within its first second
  for (int place = 0; place < kGateways; ++place) {
    Host host(s, 5 + place);
    host.Step({FleetSize{kGateways, place}});
    host.now = kSecond;
    EngineEntry cold = ReadyEngine(1);
    cold.started_at = host.now;
    host.DeliverList({cold});
    for (RequestId id = 1; id <= 200; ++id) {
      host.Step({MakeRequest(id, 0, 4 * kSecond, 100 * kMs)});
      host.RunUntil(host.now + 5 * kMs);
    }
    work += 0.1 * static_cast<double>(host.sends.size());
  }
  const double cores = s.kinds.empty() || s.kinds[0].cores <= 0 ? 1 : s.kinds[0].cores;
  EXPECT_LE(work, s.overload_factor * s.slow_start_initial_share * cores * 1.15)
      << "of " << kGateways << " gateways";
  EXPECT_GT(work, 0);
}

}  // namespace
}  // namespace lemoncroft
