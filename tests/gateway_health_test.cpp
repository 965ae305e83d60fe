// Health: ejection of outliers, cancelled runaway attempts, and requests that fail at all engines.
#include <gtest/gtest.h>

#include <set>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

TEST(Health, FastFailingEngine_IsEjectedAndRecoversAfterBackoff) {
  Host host(DefaultSettings());
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3), ReadyEngine(4)});
  RequestId id = 1;
  auto requests_to_failing = [&](int n, bool failing) {
    int count = 0;
    for (int i = 0; i < n; ++i, ++id) {
      host.Step({MakeRequest(id)});
      count += host.engine_of[id] == 1;
      while (failing && host.engine_of[id] == 1 && host.Attempts(id) < 3)
        host.EndAttempt(id, Outcome::kError);
      host.EndAttempt(id, Outcome::kOk);
      host.now += 2 * kMs;
    }
    return count;
  };
  requests_to_failing(60, true);
  EXPECT_EQ(requests_to_failing(100, true), 0)
      << "the engine is ejected: fast failures don't count as low load";
  host.now += 10 * kSecond;
  requests_to_failing(200, false);
  EXPECT_GT(requests_to_failing(100, false), 10);
}

// A request that no engine can serve must not eject any engine.
TEST(Health, Request_FailingOnAllEngines_EjectsNoEngine) {
  Settings s = DefaultSettings();
  s.max_attempts = 5;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3), ReadyEngine(4)});
  RequestId id = 1;
  for (; id <= 40; ++id) {
    host.Step({MakeRequest(id)});
    while (!host.rejected.contains(id)) host.EndAttempt(id, Outcome::kError);
    EXPECT_EQ(host.Attempts(id), 3) << "the request ends after errors at three engines";
  }
  std::set<EngineId> used;
  for (; id <= 80; ++id) {
    host.Step({MakeRequest(id)});
    ASSERT_TRUE(host.engine_of.contains(id));
    used.insert(host.engine_of[id]);
    host.EndAttempt(id, Outcome::kOk);
  }
  EXPECT_EQ(used.size(), 4u);
}

// An engine that fails most attempts within milliseconds looks idle. Its failed requests must not be sent to
// it again while another engine is available; otherwise the errors would never count against it.
TEST(Health, FailedRequest_WaitsForAnotherEngine) {
  Settings s = DefaultSettings();
  s.report_fields.clear();
  s.kinds = {{1, 16384}};
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  RequestId id = 1;
  const auto limit_reached = [&] { return host.Attempts(id - 1) == 0; };
  do {
    host.Step({MakeRequest(id++)});
  } while (!limit_reached());  // both engines are full now, and this request waits
  const RequestId waiting = id - 1;
  RequestId at_first = 1, at_second = 1;
  while (host.engine_of[at_first] != 1) ++at_first;
  while (host.engine_of[at_second] != 2) ++at_second;
  host.EndAttempt(at_first, Outcome::kOk, 100 * kMs);
  ASSERT_EQ(host.Attempts(waiting), 1);
  ASSERT_EQ(host.engine_of[waiting], 1u);
  host.EndAttempt(waiting, Outcome::kError);
  EXPECT_EQ(host.Attempts(waiting), 1) << "not retried at the same engine, although it has capacity";
  host.EndAttempt(at_second, Outcome::kOk, 100 * kMs);
  EXPECT_EQ(host.Attempts(waiting), 2);
  EXPECT_EQ(host.engine_of[waiting], 2u);
}

// Without another engine, the request is retried at the same one.
TEST(Health, FailedRequest_WithOnlyOneEngine_IsRetriedThere) {
  Host host(DefaultSettings());
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(1)});
  host.EndAttempt(1, Outcome::kError);
  EXPECT_EQ(host.Attempts(1), 2);
}

// Responses are lost on the way from all engines. They eject an engine only if nearly all of its responses
// are lost.
TEST(Health, LostResponses_EjectOnlyEngineThatLosesMost) {
  for (const int one_in : {5, 1}) {
    Host host(DefaultSettings());
    host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3), ReadyEngine(4)});
    int requests_in_second_half = 0;
    for (RequestId id = 1; id <= 200; ++id) {
      host.Step({MakeRequest(id)});
      requests_in_second_half += id > 100 && host.engine_of[id] == 1;
      if (host.engine_of[id] == 1 && id % one_in == 0) host.EndAttempt(id, Outcome::kLost);
      host.EndAttempt(id, Outcome::kOk);
      host.now += 2 * kMs;
    }
    EXPECT_EQ(requests_in_second_half > 10, one_in == 5) << requests_in_second_half;
  }
}

// An unresponsive engine delays each attempt for a long time, so that two attempts are enough to eject it.
TEST(Health, UnresponsiveEngine_IsEjected) {
  Host host(DefaultSettings());
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3), ReadyEngine(4)});
  int to_unresponsive = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    host.Step({MakeRequest(id)});
    to_unresponsive += host.engine_of[id] == 1;
    if (host.engine_of[id] == 1) host.EndAttempt(id, Outcome::kTimeout);
    host.EndAttempt(id, Outcome::kOk);
    host.now += 2 * kMs;
  }
  EXPECT_LE(to_unresponsive, 3);
}

// A hung attempt with an idempotency key is cancelled and retried at another engine while its repeats are
// still recognised.
TEST(Health, HungKeyedAttempt_IsRetriedAtAnotherEngineBeforeDeadline) {
  Settings s = DefaultSettings();
  s.reports_cost = true;
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].client_timeout = s.classes[0].repeat_window = 20 * kSecond;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  for (RequestId id = 1; id <= 40; ++id) {
    host.Step({MakeRequest(id)});
    host.EndAttempt(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  host.Step({MakeRequest(99, 0, 20 * kSecond)});
  host.RunUntil(host.now + 380 * kMs);
  EXPECT_FALSE(host.cancels.contains(99));
  host.RunUntil(host.now + kSecond);
  ASSERT_TRUE(host.cancels.contains(99));
  const EngineId hung = host.engine_of[99];
  host.EndAttempt(99, Outcome::kCancelled);
  EXPECT_EQ(host.Attempts(99), 2);
  EXPECT_NE(host.engine_of[99], hung);
}

// During slow start, a table load takes long without hanging. Cancelling it would waste its work.
TEST(Health, KeyedAttempt_OnColdEngine_IsNotCancelled) {
  Settings s = DefaultSettings();
  s.reports_cost = true;
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 14 * kSecond;
  s.overload_factor = 4;
  s.overload_window = kSecond;
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].client_timeout = s.classes[0].repeat_window = 20 * kSecond;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  for (RequestId id = 1; id <= 40; ++id) {
    host.Step({MakeRequest(id)});
    host.EndAttempt(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  host.DeliverList({ReadyEngine(2, host.now)});
  host.Step({MakeRequest(99, 0, 20 * kSecond)});
  host.RunUntil(host.now + 3 * kSecond);
  ASSERT_EQ(host.engine_of[99], 2u);
  EXPECT_FALSE(host.cancels.contains(99));
}

// An engine on which some requests hang responds fast to the others. Heavy requests lose most by hanging and
// must avoid it.
TEST(Health, HeavyRequests_AvoidEngineWithHungAttempts) {
  Settings s = DefaultSettings();
  s.reports_cost = true;
  s.report_fields.clear();
  s.classes = {DefaultClass(1), DefaultClass(10, 2)};
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3)});
  int heavy_to_hanging = 0, heavy = 0, light_to_hanging = 0;
  for (RequestId id = 1; id <= 900; ++id) {
    const bool is_heavy = id % 5 == 0;
    const Nanos work = is_heavy ? 2 * kSecond : 100 * kMs;
    host.Step({MakeRequest(id, is_heavy, 4 * kSecond, work)});
    heavy += is_heavy && id > 300;
    heavy_to_hanging += is_heavy && id > 300 && host.engine_of[id] == 1;
    if (!is_heavy && host.engine_of[id] == 1 &&
        ++light_to_hanging % 10 == 0) {  // cancelled once it is overdue
      host.RunUntil(host.now + 900 * kMs);
      if (host.cancels.contains(id)) host.EndAttempt(id, Outcome::kCancelled);
    }
    const Nanos waited = work / (is_heavy ? 2 : 1);
    host.EndAttempt(id, Outcome::kOk, host.engine_of[id] == 1 ? waited * 2 / 3 : waited, work);
    host.now += 5 * kMs;
  }
  EXPECT_LT(heavy_to_hanging, heavy / 8) << heavy;
}

// An engine that accepts requests and never responds is detected only by its overdue attempts.
TEST(Health, EngineWithOverdueAttempt_GetsNoRequests) {
  Settings s = DefaultSettings();
  s.may_cancel = false;
  s.reports_cost = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(1)});
  host.now += 900 * kMs;
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  for (RequestId id = 2; host.engine_of[id - 1] != 2; ++id) {
    host.Step({MakeRequest(id, 0, 4 * kSecond, 150 * kMs)});
    if (host.engine_of[id] == 1) host.EndAttempt(id, Outcome::kOk, 150 * kMs, 150 * kMs);
  }
  int to_hung = 0;
  for (RequestId id = 100; id < 134; ++id) {
    host.Step({MakeRequest(id)});
    to_hung += host.engine_of[id] == 1;
    host.EndAttempt(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  EXPECT_EQ(to_hung, 0);
}

// Estimates may be biased and scatter. Normal attempts must not be cancelled for that reason, since their
// work would be done twice.
TEST(Health, RunawayTimeout_WithoutReportedCosts_AllowsForSpreadOfTimes) {
  Settings s = DefaultSettings();
  s.classes[0].client_timeout = 60 * kSecond;
  s.may_cancel = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  for (RequestId id = 1; id <= 60; ++id) {  // time and estimate are uncorrelated
    const double scatter = id % 2 == 0 ? 2.7 : 1 / 2.7;
    host.Step({MakeRequest(id, 0, 50 * kSecond, id % 4 < 2 ? 20 * kMs : 150 * kMs)});
    host.EndAttempt(id, Outcome::kOk, static_cast<Nanos>(scatter * 100 * kMs));
  }
  host.Step({MakeRequest(100, 0, 50 * kSecond, 20 * kMs)});
  host.RunUntil(host.now + 400 * kMs);
  EXPECT_FALSE(host.cancels.contains(100)) << "other attempts took nearly as long";
  host.RunUntil(host.now + 3 * kSecond);
  EXPECT_TRUE(host.cancels.contains(100)) << "the attempt hangs";
}

// When a class becomes heavy while an attempt of it is in flight, the attempt loses its runaway timeout. The
// check of that attempt must not become due repeatedly within one step.
TEST(Health, ClassTurningHeavy_DoesNotRepeatCheckEndlessly) {
  Settings s = DefaultSettings();
  s.classes = {DefaultClass(1), DefaultClass(5)};
  s.classes[1].latency_objective = 8 * kSecond;
  s.progress_interval = 500 * kMs;
  s.reports_cost = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  host.Step({MakeRequest(1)});
  for (RequestId id = 2; id <= 40; ++id) {
    host.Step({MakeRequest(id, 1)});
    host.EndAttempt(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  host.RunUntil(host.now + 3 * kSecond);
  host.EndAttempt(1, Outcome::kOk, 3 * kSecond, 3 * kSecond);
  EXPECT_EQ(host.Attempts(1), 1);
}

// Attempts rejected by a full engine must not be retried there at once, since each rejection is work for it.
TEST(Health, FullEngine_IsNotRetriedBeforeBackoff) {
  Settings s = DefaultSettings();
  s.max_attempts = 6;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(1)});
  host.EndAttempt(1, Outcome::kFull);
  host.RunUntil(host.now + 400 * kMs);
  EXPECT_EQ(host.Attempts(1), 1);
  host.RunUntil(host.now + 200 * kMs);
  EXPECT_EQ(host.Attempts(1), 2);
}

// An ejected engine must be used again after its backoff even if all classes have idempotency keys.
TEST(Health, EjectedEngine_WithKeyedClassesOnly_RecoversAfterBackoff) {
  Settings s = DefaultSettings();
  s.classes[0].effect = Effect::kKeyed;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3)});
  RequestId id = 1;
  for (; id <= 60; ++id) {
    host.Step({MakeRequest(id)});
    if (host.engine_of[id] == 1) host.EndAttempt(id, Outcome::kReset);
    host.EndAttempt(id, Outcome::kOk, 100 * kMs);
  }
  host.now += 10 * kSecond;
  int recovered = 0;
  for (; id <= 160; ++id) {
    host.Step({MakeRequest(id)});
    recovered += host.engine_of[id] == 1;
    host.EndAttempt(id, Outcome::kOk, 100 * kMs);
  }
  EXPECT_GT(recovered, 5);
}

}  // namespace
}  // namespace lemoncroft
