// Tests of the decision module through its interface. Each rule has a test that fails without its guard.
#include "lemoncroft/gateway.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "decision/subset/ranking_cache.h"
#include "decision/subset/subset.h"
#include "gateway_host.h"

namespace lemoncroft {
namespace {

Settings WithColdEngines() {
  Settings s = SomeSettings();
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 15 * kSecond;
  s.overload_factor = 2.5;
  s.overload_window = 1500 * kMs;
  return s;
}

// Makes every engine of the host report itself busy, so that the bounds bind.
void MakeBusy(Host& host, RequestId first, int n) {
  for (int i = 0; i < n; ++i) {
    RequestId id = first + static_cast<RequestId>(i);
    host.Step({Ask(id)});
    AttemptEnded e;
    e.id = id;
    e.engine = host.engine_of.at(id);
    e.outcome = Outcome::kOk;
    e.waited = e.work = 100 * kMs;
    e.finished = true;
    e.load.count = 2;
    e.load.values = {8, 1.0f};
    host.Step({e});
  }
}

TEST(Rule1, AHeldRequestIsAnsweredBeforeItsDeadline) {
  Host host(SomeSettings());
  host.List({});
  host.Step({Ask(1, 0, 2 * kSecond)});
  host.RunUntil(host.now + 2 * kSecond - kMs);
  ASSERT_TRUE(host.refused.contains(1));
  EXPECT_TRUE(host.sends.empty());
  EXPECT_EQ(host.advice[1], 2 * kSecond);
}

TEST(Rule1, ATimeoutAtTheDeadlineIsAnswered) {
  Host host(SomeSettings());
  host.List({Ready(1)});
  host.Step({Ask(1)});
  host.RunUntil(host.now + 4 * kSecond);
  host.End(1, Outcome::kTimeout, 4 * kSecond);
  EXPECT_EQ(host.refused.count(1) + host.failed.count(1), 1u);
}

TEST(Rule1, NothingIsSentOnceTheClientIsGone) {
  Host host(SomeSettings());
  host.List({});
  host.Step({Ask(1)});
  host.Step({ClientGone{1}});
  host.List({Ready(1)});
  EXPECT_TRUE(host.sends.empty());
}

TEST(Rule2, AnUnsafeRequestThatMayHaveRunFails) {
  Settings s = SomeSettings();
  s.classes[0].effect = Effect::kUnsafe;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  host.Step({Ask(1)});
  host.End(1, Outcome::kConnectFailed);
  EXPECT_EQ(host.Attempts(1), 2) << "never ran, so it may be tried again";
  host.End(1, Outcome::kReset);
  EXPECT_EQ(host.Attempts(1), 2);
  EXPECT_TRUE(host.failed.contains(1));
  EXPECT_FALSE(host.refused.contains(1));
}

TEST(Rule2, AKeyedRequestStaysInItsGroupAndWindow) {
  Settings s = SomeSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].group = RepeatGroup::kZone;
  s.classes[0].repeat_window = kSecond;
  Host host(s);
  EngineEntry other = Ready(3);
  other.zone = 1;
  host.List({Ready(1), Ready(2), other});
  for (RequestId id = 1; id <= 30; ++id) {
    host.Step({Ask(id)});
    EngineId first = host.engine_of[id];
    host.End(id, Outcome::kError);
    if (host.Attempts(id) == 2) {
      EXPECT_EQ(first == 3, host.engine_of[id] == 3);
    }
    host.End(id, Outcome::kOk);
  }
  host.Step({Ask(99)});
  host.now += 2 * kSecond;
  host.End(99, Outcome::kReset);
  EXPECT_EQ(host.Attempts(99), 1) << "the window has passed";
  EXPECT_TRUE(host.failed.contains(99));
}

TEST(Rule3, NothingNewGoesToADrainingOrGoneEngine) {
  Host host(SomeSettings());
  EngineEntry draining = Ready(1);
  draining.readiness = Readiness::kDraining;
  host.List({Ready(1), Ready(2)});
  host.List({draining}, ListKind::kChange);
  for (RequestId id = 1; id <= 10; ++id) host.Step({Ask(id)});
  host.List({Ready(3)}, ListKind::kFull);
  for (RequestId id = 11; id <= 20; ++id) host.Step({Ask(id)});
  for (const Host::Sent& s : host.sends) EXPECT_EQ(s.engine, s.id <= 10 ? 2u : 3u);
}

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
  EXPECT_FALSE(host.refused.contains(2));
  after.max_attempts = 1;
  host.Step({SettingsChanged{std::make_shared<const Settings>(after), {0, 1}}});
  EXPECT_TRUE(host.refused.contains(2)) << "held for an attempt that is no more allowed";
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
  host.Step({Closing{}});
  EXPECT_TRUE(host.refused.contains(1));
  EXPECT_TRUE(host.failed.contains(2)) << "it may have run";
  EXPECT_TRUE(host.refused.contains(3)) << "held: it never ran";
  EXPECT_EQ(host.cancels, (std::set<RequestId>{1, 2}));
}

TEST(Rule3, WithEveryEngineOutByHandWhatIsHeldAndWhatComesIsRefusedAtOnce) {
  Host host(SomeSettings());
  EngineEntry out = Ready(1), draining = Ready(2);
  out.readiness = Readiness::kExcluded;
  draining.readiness = Readiness::kDraining;
  host.List({draining});
  host.Step({Ask(1)});
  EXPECT_FALSE(host.refused.contains(1)) << "the feed's engines come and go by themselves";
  host.List({out}, ListKind::kChange);
  EXPECT_TRUE(host.refused.contains(1));
  host.Step({Ask(2)});
  EXPECT_TRUE(host.refused.contains(2));
  EXPECT_EQ(host.advice[2], 2 * kSecond);
  host.List({Ready(1)}, ListKind::kChange);
  host.Step({Ask(3)});
  EXPECT_EQ(host.Attempts(3), 1);
}

TEST(Rule4, AColdEngineGetsItsShareOfTheBudgetInEveryWindow) {
  Settings s = WithColdEngines();
  Host host(s);
  host.List({Ready(1, host.now), Ready(2)});
  for (RequestId id = 1; id <= 400; ++id) {
    host.Step({Ask(id)});
    host.End(id, Outcome::kOk, 100 * kMs);  // as long as its estimate says
    host.now += kMs;
  }
  double sent = 0;
  for (const Host::Sent& x : host.sends) sent += x.engine == 1 ? 0.1 : 0;
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 2.5 * 0.35 * 8 * 1.5 / s.gateways) << "half of what all gateways may send";
}

TEST(Rule4, TwoProcessesOfAGatewayDivideWhatAColdEngineTakes) {
  Settings s = WithColdEngines();
  const auto sent = [&s](int parts) {
    double total = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Host host(s, seed);
      host.Step({ProcessShare{parts}});
      host.List({Ready(1, host.now), Ready(2)});
      for (RequestId id = 1; id <= 400; ++id) {
        host.Step({Ask(id)});
        host.End(id, Outcome::kOk, 100 * kMs);  // as long as its estimate says
        host.now += kMs;
      }
      for (const Host::Sent& x : host.sends) total += x.engine == 1;
    }
    return total;
  };
  EXPECT_LT(sent(2), 0.65 * sent(1));
}

TEST(Rule5, OneKeyRunsOneAtATimeAndRestsAfterAnUnknownEnd) {
  Settings s = SomeSettings();
  s.classes[0].in_order = true;
  s.order_settle = 300 * kMs;
  Host host(s);
  host.List({Ready(1), Ready(2), Ready(3)});
  Request a = Ask(1), b = Ask(2), c = Ask(3);
  a.key = b.key = 5;
  c.key = 6;
  host.Step({a, b, c});
  ASSERT_EQ(host.sends.size(), 2u);
  EXPECT_EQ(host.Attempts(2), 0);
  host.Step({ClientGone{1}});
  EXPECT_EQ(host.Attempts(2), 0) << "the attempt is still out";
  host.End(1, Outcome::kCancelled, kMs, 0, true);
  Nanos ended = host.now;
  host.RunUntil(ended + 299 * kMs);
  EXPECT_EQ(host.Attempts(2), 0) << "the key rests";
  host.RunUntil(ended + 400 * kMs);
  EXPECT_EQ(host.Attempts(2), 1);
}

TEST(Rule6, PlacementHoldsOnEveryAttempt) {
  Settings s = SomeSettings();
  s.classes[0].zones = {1};
  Host host(s);
  EngineEntry mine = Ready(2);
  mine.zone = 1;
  host.List({Ready(1), mine});
  host.Step({Ask(1)});
  EXPECT_EQ(host.engine_of[1], 2u);
  host.End(1, Outcome::kConnectFailed);
  host.List({Ready(1)});
  host.Step({Ask(2)});
  for (const Host::Sent& x : host.sends) EXPECT_EQ(x.engine, 2u);
}

TEST(Rule7, FurtherAttemptsStayWithinTheBudget) {
  Settings s = SomeSettings();
  s.attempt_budget = AttemptBudget{1, 0.1, 10 * kSecond};
  Host host(s);
  host.List({Ready(1), Ready(2), Ready(3), Ready(4)});
  for (RequestId id = 1; id <= 20; ++id) {
    host.Step({Ask(id)});
    host.End(id, Outcome::kFull);
    host.RunUntil(host.now + 510 * kMs);  // an engine that said full rests for half a second
  }
  int further = static_cast<int>(host.sends.size()) - 20;
  EXPECT_GE(further, 1);
  EXPECT_LE(further, 4) << "1 + 0.1 x 20, over a little more than one window";
}

TEST(Release, HighestWorthFirst) {
  Settings s = SomeSettings();
  s.classes = {SomeClass(1), SomeClass(5)};
  Host host(s);
  host.Step({Ask(1, 0), Ask(2, 1), Ask(3, 0), Ask(4, 1)});
  host.List({Ready(1)});
  ASSERT_EQ(host.sends.size(), 4u);
  EXPECT_EQ(host.sends[0].id, 2u);
  EXPECT_EQ(host.sends[1].id, 4u);
}

TEST(Release, LighterFirstAtTheSameWorth) {
  Host host(SomeSettings());
  host.Step({Ask(1, 0, 4 * kSecond, 300 * kMs), Ask(2, 0, 4 * kSecond, 50 * kMs)});
  host.List({Ready(1)});
  ASSERT_EQ(host.sends.size(), 2u);
  EXPECT_EQ(host.sends[0].id, 2u);
}

TEST(Bound, BindsOnlyUnderPressureAndStartsFromTheSeed) {
  Host calm(SomeSettings());
  calm.List({Ready(1)});
  for (RequestId id = 1; id <= 40; ++id) calm.Step({Ask(id)});
  EXPECT_EQ(calm.sends.size(), 12u) << "1.5 threads x 8 cores are pressure in themselves";

  Host busy(SomeSettings());
  busy.List({Ready(1)});
  MakeBusy(busy, 100, 1);
  busy.sends.clear();
  for (RequestId id = 1; id <= 40; ++id) busy.Step({Ask(id)});
  EXPECT_EQ(busy.sends.size(), 6u) << "1.5 threads x 8 cores / 2 gateways";
}

// Many gateways that each add a first heavy query to a full engine bring it down together.
TEST(Bound, NoFirstHeavyQueryOnAnEngineThatOthersCrowd) {
  Settings s = SomeSettings();
  s.classes = {SomeClass(1), SomeClass(5)};
  s.reports_cost = true;
  Host host(s);
  host.List({Ready(1)});
  host.Step({Ask(1, 1, 4 * kSecond, 2 * kSecond)});
  AttemptEnded e;
  e.id = 1;
  e.engine = 1;
  e.waited = e.work = 2 * kSecond;
  e.finished = true;
  e.load.count = 2;
  e.load.values = {30, 0.5f};
  host.Step({e});
  host.Step({Ask(2, 1, 4 * kSecond, 2 * kSecond)});
  EXPECT_EQ(host.Attempts(2), 0);
  host.RunUntil(host.now + 2500 * kMs);
  host.Step({Ask(3, 1, 4 * kSecond, 2 * kSecond)});
  EXPECT_EQ(host.Attempts(3), 1) << "the report is no longer fresh";
}

// While queries are held the bound steps up; without a gain in throughput the step is taken back, and while
// aims hold it doesn't fall under its seed.
TEST(Bound, StepsUpAndTakesBackAStepThatDidNotPay) {
  Settings s = SomeSettings();
  s.classes[0].latency_objective = s.classes[0].deadline = 60 * kSecond;
  s.reports_cost = true;
  Host host(s);
  host.List({Ready(1)});
  MakeBusy(host, 1000, 1);
  std::vector<Event> many;
  for (RequestId id = 1; id <= 400; ++id) many.emplace_back(Ask(id, 0, 60 * kSecond));
  host.Step(many);
  std::size_t ended = 1, least = 100, most = 0;  // MakeBusy's own request has ended
  bool up = false, back = false;
  for (std::size_t next = 1; host.now < 110 * kSecond; ++next) {
    host.RunUntil(host.now + 50 * kMs);
    AttemptEnded e;
    e.id = host.sends[next].id;
    e.engine = 1;
    e.waited = e.work = 100 * kMs;
    e.finished = true;
    e.load.count = 2;
    e.load.values = {14, 1.0f};
    host.Step({e});
    ++ended;
    const std::size_t running = host.sends.size() - ended;
    least = std::min(least, running);
    most = std::max(most, running);
    back = back || (up && running == 6);
    up = up || running == 7;
  }
  EXPECT_TRUE(up);
  EXPECT_TRUE(back);
  EXPECT_EQ(least, 6u);
  EXPECT_LE(most, 8u);
}

// Incident i9a47c6: a class of many short queries must not wait for the heavy lane.
TEST(Bound, LightQueriesAreCountedApart) {
  Settings s = SomeSettings();
  s.classes = {SomeClass(1), SomeClass(5, 4)};
  s.classes[0].latency_objective = 100 * kMs;
  Host host(s);
  host.List({Ready(1)});
  for (RequestId id = 1; id <= 20; ++id) host.Step({Ask(id, 1, 4 * kSecond, kSecond)});
  std::size_t heavy = host.sends.size();
  EXPECT_LT(heavy, 20u);
  host.Step({Ask(100, 0, 4 * kSecond, 10 * kMs)});
  EXPECT_EQ(host.Attempts(100), 1);
}

TEST(Choice, TheLighterEngineGetsMore) {
  Host host(SomeSettings());
  host.List({Ready(1), Ready(2)});
  for (RequestId id = 1; id <= 40; ++id) host.Step({Ask(id)});
  std::map<EngineId, int> count;
  for (const Host::Sent& x : host.sends) ++count[x.engine];
  EXPECT_NEAR(count[1], 20, 8);
}

TEST(Health, AnEngineThatFailsFastIsEjectedAndComesBackByTrials) {
  Host host(SomeSettings());
  host.List({Ready(1), Ready(2), Ready(3), Ready(4)});
  RequestId id = 1;
  auto to_bad = [&](int n, bool bad) {
    int count = 0;
    for (int i = 0; i < n; ++i, ++id) {
      host.Step({Ask(id)});
      count += host.engine_of[id] == 1;
      while (bad && host.engine_of[id] == 1 && host.Attempts(id) < 3) host.End(id, Outcome::kError);
      host.End(id, Outcome::kOk);
      host.now += 2 * kMs;
    }
    return count;
  };
  to_bad(60, true);
  EXPECT_EQ(to_bad(100, true), 0) << "ejected: its fast failures are no low load";
  host.now += 10 * kSecond;
  to_bad(200, false);
  EXPECT_GT(to_bad(100, false), 10);
}

// A client that sends what no engine can use gets errors from all of them, and must not have them ejected.
TEST(Health, AQueryThatIsAnErrorEverywhereEjectsNoEngine) {
  Settings s = SomeSettings();
  s.max_attempts = 5;
  Host host(s);
  host.List({Ready(1), Ready(2), Ready(3), Ready(4)});
  RequestId id = 1;
  for (; id <= 40; ++id) {
    host.Step({Ask(id)});
    while (!host.refused.contains(id)) host.End(id, Outcome::kError);
    EXPECT_EQ(host.Attempts(id), 3) << "three engines agree";
  }
  std::set<EngineId> used;
  for (; id <= 80; ++id) {
    host.Step({Ask(id)});
    ASSERT_TRUE(host.engine_of.contains(id));
    used.insert(host.engine_of[id]);
    host.End(id, Outcome::kOk);
  }
  EXPECT_EQ(used.size(), 4u);
}

// Kigali, retune+scrape: an engine that failed four attempts in five within milliseconds looked idle while
// all others were busy. Held reports went there again and again, 187 of 390 attempts in 5 s, until none was
// left; and since nobody else served them, the engine was not blamed.
TEST(Health, AQueryThatAnEngineFailedWaitsForAnother) {
  Settings s = SomeSettings();
  s.report_fields.clear();
  s.kinds = {{1, 16384}};
  Host host(s);
  host.List({Ready(1), Ready(2)});
  RequestId id = 1;
  const auto bound_binds = [&] { return host.Attempts(id - 1) == 0; };
  do {
    host.Step({Ask(id++)});
  } while (!bound_binds());  // both are full now, and this one waits
  const RequestId waits = id - 1;
  RequestId at_first = 1, at_second = 1;
  while (host.engine_of[at_first] != 1) ++at_first;
  while (host.engine_of[at_second] != 2) ++at_second;
  host.End(at_first, Outcome::kOk, 100 * kMs);
  ASSERT_EQ(host.Attempts(waits), 1);
  ASSERT_EQ(host.engine_of[waits], 1u);
  host.End(waits, Outcome::kError);
  EXPECT_EQ(host.Attempts(waits), 1) << "not there again, though it has room";
  host.End(at_second, Outcome::kOk, 100 * kMs);
  EXPECT_EQ(host.Attempts(waits), 2);
  EXPECT_EQ(host.engine_of[waits], 2u);
}

// Where no other engine is left the same one has to do.
TEST(Health, AQueryThatTheOnlyEngineFailedGoesThereAgain) {
  Host host(SomeSettings());
  host.List({Ready(1)});
  host.Step({Ask(1)});
  host.End(1, Outcome::kError);
  EXPECT_EQ(host.Attempts(1), 2);
}

// Answers are lost on the way from all engines alike: that ejects none, unless nearly all are.
TEST(Health, LostAnswersEjectOnlyAnEngineThatLosesMost) {
  for (const int one_in : {5, 1}) {
    Host host(SomeSettings());
    host.List({Ready(1), Ready(2), Ready(3), Ready(4)});
    int late = 0;
    for (RequestId id = 1; id <= 200; ++id) {
      host.Step({Ask(id)});
      late += id > 100 && host.engine_of[id] == 1;
      if (host.engine_of[id] == 1 && id % one_in == 0) host.End(id, Outcome::kLost);
      host.End(id, Outcome::kOk);
      host.now += 2 * kMs;
    }
    EXPECT_EQ(late > 10, one_in == 5) << late;
  }
}

// A silent engine holds every attempt for long: two are enough.
TEST(Health, AnEngineGoneSilentIsEjected) {
  Host host(SomeSettings());
  host.List({Ready(1), Ready(2), Ready(3), Ready(4)});
  int to_silent = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    host.Step({Ask(id)});
    to_silent += host.engine_of[id] == 1;
    if (host.engine_of[id] == 1) host.End(id, Outcome::kTimeout);
    host.End(id, Outcome::kOk);
    host.now += 2 * kMs;
  }
  EXPECT_LE(to_silent, 3);
}

// What can't be done within its client's patience is no demand: a huge estimate would else buy this gateway
// the whole of a cold engine's budget.
TEST(Rule4, AHugeEstimateIsNoDemand) {
  Settings s = SomeSettings();
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 10 * kSecond;
  s.overload_factor = 4;
  s.overload_window = kSecond;
  std::array<std::size_t, 2> sent{};
  for (const bool huge : {false, true}) {
    Host host(s);
    host.List({Ready(1, host.now)});
    if (huge) host.Step({Ask(1000, 0, 2 * kSecond, 2'000'000 * kSecond)});
    for (RequestId id = 1; id <= 400; ++id) {
      host.Step({Ask(id, 0, 4 * kSecond, 100 * kMs)});
      if (host.engine_of.contains(id)) host.End(id, Outcome::kOk, 100 * kMs, 100 * kMs);
      host.now += 5 * kMs;
    }
    sent[huge] = host.sends.size();
  }
  EXPECT_LE(sent[1], sent[0] + sent[0] / 4) << sent[0];
}

// A load that hangs would do so until its client gives up; while its repeats are discarded it goes elsewhere.
TEST(Health, AHungLoadIsTriedElsewhereWellWithinItsDeadline) {
  Settings s = SomeSettings();
  s.reports_cost = true;
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].deadline = s.classes[0].repeat_window = 20 * kSecond;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  for (RequestId id = 1; id <= 40; ++id) {
    host.Step({Ask(id)});
    host.End(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  host.Step({Ask(99, 0, 20 * kSecond)});
  host.RunUntil(host.now + 380 * kMs);
  EXPECT_FALSE(host.cancels.contains(99));
  host.RunUntil(host.now + kSecond);
  ASSERT_TRUE(host.cancels.contains(99));
  const EngineId hung = host.engine_of[99];
  host.End(99, Outcome::kCancelled);
  EXPECT_EQ(host.Attempts(99), 2);
  EXPECT_NE(host.engine_of[99], hung);
}

// On an engine that is still cold a load takes long without hanging: cut short, all its work would be lost.
TEST(Health, ALoadOnAColdEngineIsLeftToRun) {
  Settings s = SomeSettings();
  s.reports_cost = true;
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 14 * kSecond;
  s.overload_factor = 4;
  s.overload_window = kSecond;
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].deadline = s.classes[0].repeat_window = 20 * kSecond;
  Host host(s);
  host.List({Ready(1)});
  for (RequestId id = 1; id <= 40; ++id) {
    host.Step({Ask(id)});
    host.End(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  host.List({Ready(2, host.now)});
  host.Step({Ask(99, 0, 20 * kSecond)});
  host.RunUntil(host.now + 3 * kSecond);
  ASSERT_EQ(host.engine_of[99], 2u);
  EXPECT_FALSE(host.cancels.contains(99));
}

// An engine that leaves a part of its queries hanging answers the rest as fast as ever: what is heavy, and
// lost when it hangs, keeps away from it.
TEST(Health, HeavyQueriesKeepAwayFromAnEngineThatHangsSome) {
  Settings s = SomeSettings();
  s.reports_cost = true;
  s.report_fields.clear();
  s.classes = {SomeClass(1), SomeClass(10, 2)};
  Host host(s);
  host.List({Ready(1), Ready(2), Ready(3)});
  int heavy_to_sick = 0, heavy = 0, lights_to_sick = 0;
  for (RequestId id = 1; id <= 900; ++id) {
    const bool report = id % 5 == 0;
    const Nanos work = report ? 2 * kSecond : 100 * kMs;
    host.Step({Ask(id, report, 4 * kSecond, work)});
    heavy += report && id > 300;
    heavy_to_sick += report && id > 300 && host.engine_of[id] == 1;
    if (!report && host.engine_of[id] == 1 && ++lights_to_sick % 10 == 0) {  // cancelled once it is overdue
      host.RunUntil(host.now + 900 * kMs);
      if (host.cancels.contains(id)) host.End(id, Outcome::kCancelled);
    }
    const Nanos waited = work / (report ? 2 : 1);
    host.End(id, Outcome::kOk, host.engine_of[id] == 1 ? waited * 2 / 3 : waited, work);
    host.now += 5 * kMs;
  }
  EXPECT_LT(heavy_to_sick, heavy / 8) << heavy;
}

// An engine that accepts and never answers looks idle but for its attempts being overdue.
TEST(Health, OverdueAttemptsWeighOnTheirEngine) {
  Settings s = SomeSettings();
  s.may_cancel = false;
  s.reports_cost = true;
  Host host(s);
  host.List({Ready(1)});
  host.Step({Ask(1)});
  host.now += 900 * kMs;
  host.List({Ready(1), Ready(2)});
  for (RequestId id = 2; host.engine_of[id - 1] != 2; ++id) {
    host.Step({Ask(id, 0, 4 * kSecond, 150 * kMs)});
    if (host.engine_of[id] == 1) host.End(id, Outcome::kOk, 150 * kMs, 150 * kMs);
  }
  int to_hung = 0;
  for (RequestId id = 100; id < 134; ++id) {
    host.Step({Ask(id)});
    to_hung += host.engine_of[id] == 1;
    host.End(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  EXPECT_EQ(to_hung, 0);
}

// Boxoffice, calm+mass: a quarter of the light attempts were called off at 2.5 to 4 times what an estimate
// said that lay by half and scattered, and their work was done again.
TEST(Health, WhereCostsAreUntoldTheTimesTellHowFarAnHonestAttemptMayStray) {
  Settings s = SomeSettings();
  s.classes[0].deadline = 60 * kSecond;
  s.may_cancel = true;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  for (RequestId id = 1; id <= 60; ++id) {  // neither is the other's hint
    const double scatter = id % 2 == 0 ? 2.7 : 1 / 2.7;
    host.Step({Ask(id, 0, 50 * kSecond, id % 4 < 2 ? 20 * kMs : 150 * kMs)});
    host.End(id, Outcome::kOk, static_cast<Nanos>(scatter * 100 * kMs));
  }
  host.Step({Ask(100, 0, 50 * kSecond, 20 * kMs)});
  host.RunUntil(host.now + 400 * kMs);
  EXPECT_FALSE(host.cancels.contains(100)) << "others took nearly as long";
  host.RunUntil(host.now + 3 * kSecond);
  EXPECT_TRUE(host.cancels.contains(100)) << "it hangs";
}

// Found by a bench day that ended in a fault: a class that turns heavy while a light attempt of it runs lost
// its time limit, and its check came due again and again within one step.
TEST(Health, AClassThatTurnsHeavyLeavesNoEndlessCheck) {
  Settings s = SomeSettings();
  s.classes = {SomeClass(1), SomeClass(5)};
  s.classes[1].latency_objective = 8 * kSecond;
  s.progress_every = 500 * kMs;
  s.reports_cost = true;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  host.Step({Ask(1)});
  for (RequestId id = 2; id <= 40; ++id) {
    host.Step({Ask(id, 1)});
    host.End(id, Outcome::kOk, 100 * kMs, 100 * kMs);
  }
  host.RunUntil(host.now + 3 * kSecond);
  host.End(1, Outcome::kOk, 3 * kSecond, 3 * kSecond);
  EXPECT_EQ(host.Attempts(1), 1);
}

// Incident i4f0e97: a query whose aim is out of reach at the present pace is turned away, not sent to be
// late.
TEST(Release, NothingIsSentThatCannotMeetItsAimAtThePresentPace) {
  Settings s = SomeSettings();
  s.classes[0].late_weight_share = 0;
  s.reports_cost = true;
  Host host(s);
  host.List({Ready(1)});
  for (RequestId id = 1; id <= 60; ++id) {  // ten times the time of an idle engine
    host.Step({Ask(id)});
    if (host.refused.contains(id)) continue;
    host.End(id, Outcome::kOk, kSecond, 100 * kMs);
  }
  host.List({});
  host.Step({Ask(100)});
  host.RunUntil(host.now + 500 * kMs);
  EXPECT_TRUE(host.refused.contains(100));
}

// Incident i4016ea: with hundreds of gateways one query each at every engine is a flood. A gateway's heavy
// queries pay for their thread seconds, and without credit none leaves unless an engine is seen to be idle.
TEST(Share, HeavyQueriesAreHeldToAPartOfTheFleet) {
  Settings s = SomeSettings();
  s.gateways = 100;
  s.classes = {SomeClass(5, 4)};
  s.classes[0].deadline = 30 * kSecond;
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

// Attempts of one query of a class, each of `time`, while the fleet is slow and a heavy class, which is worth
// 12 for a second of one thread, has spent the credit of one gateway of a hundred.
int AttemptsWithoutCredit(const ClassSettings& class_id, Nanos time) {
  Settings s = SomeSettings();
  s.gateways = 100;
  s.report_fields.clear();
  s.classes = {class_id, SomeClass(12)};
  s.classes[0].deadline = s.classes[1].deadline = 60 * kSecond;
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

// Boxoffice, calm+mass: light queries made half of the load, and each went out at once while the fleet was
// slow; those of the heavy class, worth three times as much a thread second, were held behind them for 5 to
// 11 s.
TEST(Share, ALightClassGoesAheadWithoutCreditOnlyWhereItMakesMoreOfTheEnginesTime) {
  EXPECT_EQ(AttemptsWithoutCredit(SomeClass(2), 100 * kMs), 1);
  EXPECT_EQ(AttemptsWithoutCredit(SomeClass(1), 100 * kMs), 0) << "the heavy class earns a fifth more";
}

// Kigali, retune+scrape: loads, which earned a third of what reports did in the engines' time, left without
// credit and spent it for both; reports were held, and served 0.63 where loads were served 0.88.
TEST(Share, LoadsGoWithoutCreditOnlyWhereNoHeavyClassEarnsMore) {
  ClassSettings load = SomeClass(13);
  load.holds_tables = true;
  EXPECT_EQ(AttemptsWithoutCredit(load, kSecond), 1);
  load.priority_weight = 4;
  EXPECT_EQ(AttemptsWithoutCredit(load, kSecond), 0);
}

// The same incident: nearly all load is others', so a heavy query waits to be told of an engine's load.
TEST(Share, AHeavyQueryAsksAnEnginesLoadBeforeItGoes) {
  Settings s = SomeSettings();
  s.gateways = 100;
  s.may_probe = true;
  s.classes = {SomeClass(1), SomeClass(5, 4)};
  s.classes[0].latency_objective = 100 * kMs;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  host.Step({Ask(1, 1, 4 * kSecond, kSecond), Ask(2, 0, 4 * kSecond, 10 * kMs)});
  EXPECT_EQ(host.Attempts(1), 0);
  EXPECT_EQ(host.Attempts(2), 1) << "a light query doesn't wait";
  ASSERT_EQ(host.probes.size(), 1u);
  Probed full;
  full.engine = host.probes[0];
  full.load.count = 2;
  full.load.values = {40, 1.0f};
  host.Step({full});
  EXPECT_EQ(host.Attempts(1), 0) << "others fill it";
  host.RunUntil(host.now + 300 * kMs);
  ASSERT_EQ(host.probes.size(), 2u) << "another look, a beat later";
  Probed idle = full;
  idle.engine = host.probes[1];
  idle.load.values = {0, 0.0f};
  host.Step({idle});
  EXPECT_EQ(host.Attempts(1), 1);
  EXPECT_EQ(host.engine_of[1], idle.engine);
}

Probed Report(EngineId engine, float inflight, float memory) {
  Probed probed;
  probed.engine = engine;
  probed.load.count = 2;
  probed.load.values = {inflight, memory};
  return probed;
}

Settings WithReports() {
  Settings s = SomeSettings();
  s.gateways = 4;
  s.report_fields = {ReportField::kInflight, ReportField::kX0};
  s.may_probe = true;
  return s;
}

// Kigali, big-2 of the simulator: four gateways read of an idle engine in the same report and sent it 27, 26,
// 21 and 20 queries before the next one.
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

// The same day: engines let queries in beyond their memory, and all that ran there stood nearly still (memory
// granted 3.0, disks busy 0.04).
TEST(Reports, AnEngineWhoseMemoryIsGrantedTakesNoMore) {
  Settings s = WithReports();
  s.memory_short = MemoryShort::kSwap;
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

// The same day: once a class's answers had been slower than its aim, all of it was turned away at once,
// nothing was sent whose answer would have told otherwise, and 1,100 requests were refused beside idle
// engines.
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

// Found on a bench day: a cold engine that was left alone for 13 s had credit saved up at every gateway and
// was rushed. All gateways together send no more than its budget in any window, and still send something.
TEST(Rule4, AllGatewaysTogetherKeepAColdEnginesBudget) {
  Settings s = SomeSettings();
  s.gateways = 100;
  s.slow_start_initial_share = 0.3;
  s.slow_start_duration = 15 * kSecond;
  s.overload_factor = 2.5;
  s.overload_window = 1500 * kMs;
  double sent = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Host host(s, seed);
    host.List({Ready(1, host.now)});
    host.now += 10 * kSecond;
    for (RequestId id = 1; id <= 5; ++id) host.Step({Ask(id)});
    sent += 0.1 * static_cast<double>(host.sends.size());
  }
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 2.5 * 0.76 * 8 * 1.5) << "multiple x present share x cores x window";
}

// The process that it takes the place of may have spent the window a moment ago.
TEST(Rule4, ARestartedGatewayHasNothingToSpendOnAColdEngineAtFirst) {
  Settings s = WithColdEngines();
  int at_once = 0, later = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Host host(s, seed);
    host.List({Ready(1, host.now - 5 * kSecond)});
    for (RequestId id = 1; id <= 5; ++id) host.Step({Ask(id)});
    at_once += static_cast<int>(host.sends.size());
    host.RunUntil(host.now + kSecond);
    host.Step({Ask(9)});
    later += static_cast<int>(host.sends.size());
  }
  EXPECT_EQ(at_once, 0);
  EXPECT_GT(later, 40) << "a window's worth is earned within the window";
}

// A fifth of oslo-main-later's sends met a load that held their table group at another gateway's word.
TEST(Choice, LoadsAndReadersOfATableGroupNeverShareAnEngine) {
  Settings s = SomeSettings();
  s.classes = {SomeClass(1), SomeClass(5, 2)};
  s.classes[0].blocked_by_loads = true;
  s.classes[1].holds_tables = true;
  for (std::uint32_t tables = 0; tables < 40; ++tables) {
    std::set<EngineId> readers, loads;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      Host host(s, seed);
      host.List({Ready(1), Ready(2), Ready(3), Ready(4), Ready(5), Ready(6)});
      Request reader = Ask(1, 0), load = Ask(2, 1);
      reader.tables = load.tables = tables;
      host.Step({reader, load});
      ASSERT_EQ(host.sends.size(), 2u) << "each side has an engine";
      readers.insert(host.engine_of[1]);
      loads.insert(host.engine_of[2]);
    }
    for (EngineId id : loads) EXPECT_FALSE(readers.contains(id)) << "tables " << tables;
  }
}

// Half of oslo-main-later's reports spilled: a small gateway has a dozen answers to learn a class's bias
// from.
TEST(Memory, AFewAnswersTellHowFarEstimatesLie) {
  Settings s = SomeSettings();
  s.honors_memory_grants = true;
  Host host(s);
  host.List({Ready(1)});
  for (RequestId id = 1; id <= 12; ++id) {
    Request r = Ask(id);
    r.est_memory_mb = 100;
    host.Step({r});
    AttemptEnded e;
    e.id = id;
    e.engine = 1;
    e.waited = e.work = 100 * kMs;
    e.memory_mb = 200;
    e.finished = true;
    host.Step({e});
  }
  EXPECT_GE(host.terms[12].grant_mb, 180);
  EXPECT_LE(host.terms[12].grant_mb, 300);
}

// Lost answers: a keyed attempt that stays silent is called off while its repeat is still discarded, not
// before.
TEST(Rule2, ASilentKeyedAttemptIsRepeatedAtTheEndOfItsWindow) {
  Settings s = SomeSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].deadline = 20 * kSecond;
  s.classes[0].latency_objective = 10 * kSecond;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  const Nanos start = host.now;
  host.Step({Ask(1, 0, 20 * kSecond)});
  host.RunUntil(start + 4500 * kMs);
  EXPECT_FALSE(host.cancels.contains(1)) << "a load cut short is much work lost";
  host.RunUntil(start + 4920 * kMs);
  ASSERT_TRUE(host.cancels.contains(1));
  host.End(1, Outcome::kCancelled);
  ASSERT_EQ(host.Attempts(1), 2);
  EXPECT_LE(host.sends.back().at, start + s.classes[0].repeat_window);
}

// A connection that comes up late must not carry a repeat past the window in which engines discard it.
TEST(Rule2, AKeyedRepeatLeavesWithinItsWindowCountedFromTheFirstSend) {
  Settings s = SomeSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].repeat_window = kSecond;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  const Nanos start = host.now;
  host.Step({Ask(1)});
  EXPECT_EQ(host.sends.back().not_after, kNoLimit) << "nothing has run yet";
  host.now += 200 * kMs;
  host.End(1, Outcome::kReset);
  ASSERT_EQ(host.Attempts(1), 2);
  EXPECT_GT(host.sends.back().not_after, host.now);
  EXPECT_LT(host.sends.back().not_after, start + kSecond);
  const Nanos first = host.sends.back().not_after;
  host.now += 200 * kMs;
  host.End(1, Outcome::kNotSent);  // an attempt that never left starts no window of its own
  ASSERT_EQ(host.Attempts(1), 3);
  EXPECT_EQ(host.sends.back().not_after, first);
}

TEST(Rule2, ASafeRepeatMayLeaveAtAnyTime) {
  Host host(SomeSettings());
  host.List({Ready(1), Ready(2)});
  host.Step({Ask(1)});
  host.End(1, Outcome::kReset);
  ASSERT_EQ(host.Attempts(1), 2);
  EXPECT_EQ(host.sends.back().not_after, kNoLimit);
}

// A load that should take longer than its window is no runaway at the window's end.
TEST(Rule2, AKeyedAttemptExpectedToOutlastItsWindowIsLeftToRun) {
  Settings s = SomeSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].repeat_window = kSecond;
  s.classes[0].deadline = 20 * kSecond;
  s.classes[0].latency_objective = 10 * kSecond;
  Host host(s);
  host.List({Ready(1), Ready(2)});
  host.Step({Ask(1, 0, 20 * kSecond, 5 * kSecond)});
  host.RunUntil(host.now + 4 * kSecond);
  EXPECT_FALSE(host.cancels.contains(1));
}

// The repeat may still wait for its connection when its class turns unsafe.
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

// Found by a hunt (hd39902): full answers were tried again at once, 22,000 in five seconds, and each was work
// for a cold engine.
TEST(Health, AnEngineThatSaidFullRests) {
  Settings s = SomeSettings();
  s.max_attempts = 6;
  Host host(s);
  host.List({Ready(1)});
  host.Step({Ask(1)});
  host.End(1, Outcome::kFull);
  host.RunUntil(host.now + 400 * kMs);
  EXPECT_EQ(host.Attempts(1), 1);
  host.RunUntil(host.now + 200 * kMs);
  EXPECT_EQ(host.Attempts(1), 2);
}

// Where every class is keyed, an ejected engine must come back all the same.
TEST(Health, AnEngineOfKeyedClassesComesBackFromProbation) {
  Settings s = SomeSettings();
  s.classes[0].effect = Effect::kKeyed;
  Host host(s);
  host.List({Ready(1), Ready(2), Ready(3)});
  RequestId id = 1;
  for (; id <= 60; ++id) {
    host.Step({Ask(id)});
    if (host.engine_of[id] == 1) host.End(id, Outcome::kReset);
    host.End(id, Outcome::kOk, 100 * kMs);
  }
  host.now += 10 * kSecond;
  int back = 0;
  for (; id <= 160; ++id) {
    host.Step({Ask(id)});
    back += host.engine_of[id] == 1;
    host.End(id, Outcome::kOk, 100 * kMs);
  }
  EXPECT_GT(back, 5);
}

// Days at size: a hundred gateways that each sent to all sixty engines met every one seldom, and paid a
// handshake at nearly every attempt. Each sends to a subset of its own, and every engine is in some.
std::set<EngineId> EnginesUsed(Settings s, int self, int engines) {
  s.self = self;
  s.report_fields = {};
  Host host(s);
  std::vector<EngineEntry> fleet;
  for (EngineId id = 1; id <= static_cast<EngineId>(engines); ++id) fleet.push_back(Ready(id));
  host.List(fleet);
  std::set<EngineId> used;
  for (RequestId id = 1; id <= 300; ++id) {
    Request ask = Ask(id, 0, 4 * kSecond, kMs);
    ask.tables = static_cast<std::uint32_t>(id);  // a group each: no engine is a home
    host.Step({ask});
    if (host.engine_of.contains(id)) used.insert(host.engine_of[id]), host.End(id, Outcome::kOk, kMs, kMs);
  }
  return used;
}

TEST(Subset, EachOfManyGatewaysSendsToAPartOfTheFleet) {
  Settings s = SomeSettings();
  s.gateways = 100;
  std::map<EngineId, int> sharing;
  for (int self = 0; self < 100; ++self) {
    const std::set<EngineId> used = EnginesUsed(s, self, 60);
    EXPECT_GE(used.size(), 5u) << "gateway " << self;
    EXPECT_LE(used.size(), 15u) << "gateway " << self << ": sixty engines by twenty-five gateways each";
    for (EngineId id : used) ++sharing[id];
  }
  EXPECT_EQ(sharing.size(), 60u) << "no engine is left out of all subsets";
  for (const auto& [id, gateways] : sharing) EXPECT_LE(gateways, 50) << "engine " << id;
}

TEST(Subset, FewGatewaysUseTheWholeFleet) {
  Settings s = SomeSettings();
  EXPECT_GT(EnginesUsed(s, 1, 60).size(), 30u) << "two gateways share every engine";
}

struct RankedEngine {
  bool listed = true;
  std::size_t rank = 0;
};
using RankedEngines = std::map<EngineId, RankedEngine>;

RankedEngines EnginesTo(EngineId last) {
  RankedEngines engines;
  for (EngineId id = 1; id <= last; ++id) engines[id * 977] = {};
  return engines;
}

// The engines in the order that the ranks give.
std::vector<EngineId> ByRank(const RankedEngines& engines, std::size_t ranked) {
  std::vector<EngineId> order(ranked);
  for (const auto& [id, engine] : engines)
    if (engine.listed && engine.rank < ranked) order[engine.rank] = id;
  return order;
}

std::vector<EngineId> Listed(const RankedEngines& engines) {
  std::vector<EngineId> listed;
  for (const auto& [id, engine] : engines)
    if (engine.listed) listed.push_back(id);
  return listed;
}

TEST(RankingCache, RanksAsRendezvousHashingDoesForEveryKey) {
  RankedEngines engines = EnginesTo(200);
  subset::RankingCache<RankedEngine> cache;
  for (const std::uint64_t key : {1u, 2u, 1u, 3u, 2u}) {
    const std::size_t ranked = cache.Rank(engines, key, [](const RankedEngine&) { return true; });
    EXPECT_EQ(ByRank(engines, ranked), subset::Ranked(Listed(engines), key)) << key;
  }
}

TEST(RankingCache, RanksTheAllowedAlone) {
  RankedEngines engines = EnginesTo(200);
  subset::RankingCache<RankedEngine> cache;
  const auto is_even = [&](EngineId id) { return id % 2 == 0; };
  std::vector<EngineId> even;
  for (const EngineId id : Listed(engines))
    if (is_even(id)) even.push_back(id);
  std::map<const RankedEngine*, EngineId> id_of;
  for (auto& [id, engine] : engines) engine.rank = 1000, id_of[&engine] = id;
  const std::size_t ranked =
      cache.Rank(engines, 7, [&](const RankedEngine& engine) { return is_even(id_of.at(&engine)); });
  EXPECT_EQ(ByRank(engines, ranked), subset::Ranked(even, 7));
}

TEST(RankingCache, RanksAnewOnceCleared) {
  RankedEngines engines = EnginesTo(200);
  subset::RankingCache<RankedEngine> cache;
  const auto all = [](const RankedEngine&) { return true; };
  EXPECT_EQ(cache.Rank(engines, 7, all), 200u);
  engines.begin()->second.listed = false;
  cache.Clear();
  const std::size_t ranked = cache.Rank(engines, 7, all);
  EXPECT_EQ(ranked, 199u);
  EXPECT_EQ(ByRank(engines, ranked), subset::Ranked(Listed(engines), 7));
}

TEST(RankingCache, IsBoundedHoweverManyKeysThereAre) {
  RankedEngines engines = EnginesTo(4400);
  subset::RankingCache<RankedEngine> cache;
  const std::size_t keys = 2 * cache.kMaxCachedPlaces / engines.size();
  for (std::uint64_t key = 0; key < keys; ++key) {
    cache.Rank(engines, key, [](const RankedEngine&) { return true; });
    ASSERT_LE(cache.places(), cache.kMaxCachedPlaces);
  }
}

// Loads go to the last half of the order alone: an engine that came after the order was made has its place.
TEST(RankingCache, TheModuleRanksAnewWhenTheListChanges) {
  Settings s = SomeSettings();
  s.gateways = 1;
  ClassSettings load = SomeClass(), reader = SomeClass();
  load.holds_tables = true;
  reader.blocked_by_loads = true;
  s.classes = {load, reader};
  Host host(s);
  host.List({Ready(1), Ready(2)});
  Request first = Ask(1), second = Ask(2);
  first.tables = second.tables = 5;
  host.Step({first});
  ASSERT_TRUE(host.engine_of.contains(1));
  host.End(1, Outcome::kOk);
  std::vector<EngineEntry> changed;
  for (EngineId id = 1; id <= 10; ++id) changed.push_back(Ready(id));
  changed[0].readiness = changed[1].readiness = Readiness::kDraining;
  host.List(changed);
  host.Step({second});
  EXPECT_TRUE(host.engine_of.contains(2)) << "three of the five that take loads are ready";
}

// By place every engine is in as many subsets as any other, but for one, and little moves when one comes or
// goes.
TEST(Subset, ByPlaceIsEvenAndMovesLittle) {
  std::vector<EngineId> engines;
  for (EngineId id = 1; id <= 80; ++id) engines.push_back(id * 977);
  for (const int gateways : {1, 2, 7, 100, 299, 300}) {
    std::map<EngineId, int> sharing;
    for (const EngineId id : engines) sharing[id] = 0;
    std::size_t moved_by_gateway = 0, moved_by_engine = 0;
    std::vector<EngineId> fewer(engines.begin() + 1, engines.end());
    for (int place = 0; place < gateways; ++place) {
      const auto own = subset::ByPlace(engines, gateways, place);
      EXPECT_EQ(own.size(), subset::Size(engines.size(), gateways));
      for (const EngineId id : own) ++sharing[id];
      const std::set<EngineId> now(own.begin(), own.end());
      EXPECT_EQ(now.size(), own.size());
      for (const EngineId id : subset::ByPlace(engines, gateways + 1, place))
        moved_by_gateway += !now.contains(id);
      for (const EngineId id : subset::ByPlace(fewer, gateways, place)) moved_by_engine += !now.contains(id);
    }
    int least = gateways, most = 0;
    for (const auto& [id, count] : sharing) least = std::min(least, count), most = std::max(most, count);
    EXPECT_LE(most - least, gateways <= 25 ? 0 : static_cast<int>(subset::Size(80, gateways) / 5 + 1))
        << gateways;
    EXPECT_LE(most, subset::Sharers(engines.size(), gateways)) << gateways;
    if (gateways < 100) continue;
    EXPECT_LE(moved_by_gateway, 2u * static_cast<std::size_t>(gateways)) << "a gateway more";
    EXPECT_LE(moved_by_engine, 2u * static_cast<std::size_t>(gateways)) << "an engine less";
  }
}

TEST(FleetSize, TakeThePlaceOfWhatTheSettingsTellAlsoOverAReload) {
  Settings s = SomeSettings();
  s.gateways = 2;
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
      ask.tables = static_cast<std::uint32_t>(id);
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

// A cold engine's budget, divided by who is known to live: all gateways together stay within what it bears,
// also when every one of them is flooded and would guess that the whole demand is its own.
TEST(FleetSize, TogetherKeepWithinAColdEnginesBudget) {
  Settings s = SomeSettings();
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
    EngineEntry cold = Ready(1);
    cold.started_at = host.now;
    host.List({cold});
    for (RequestId id = 1; id <= 200; ++id) {
      host.Step({Ask(id, 0, 4 * kSecond, 100 * kMs)});
      host.RunUntil(host.now + 5 * kMs);
    }
    work += 0.1 * static_cast<double>(host.sends.size());
  }
  const double cores = s.kinds.empty() || s.kinds[0].cores <= 0 ? 1 : s.kinds[0].cores;
  EXPECT_LE(work, s.overload_factor * s.slow_start_initial_share * cores * 1.15)
      << "of " << kGateways << " gateways";
  EXPECT_GT(work, 0);
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  auto run = [] {
    Host host(SomeSettings(), 11);
    host.List({Ready(1), Ready(2), Ready(3)});
    for (RequestId id = 1; id <= 200; ++id) {
      host.Step({Ask(id)});
      if (id % 3 == 0) host.End(id, id % 2 ? Outcome::kError : Outcome::kOk);
      host.RunUntil(host.now + 3 * kMs);
    }
    std::vector<std::pair<RequestId, EngineId>> out;
    for (const Host::Sent& s : host.sends) out.emplace_back(s.id, s.engine);
    return out;
  };
  EXPECT_EQ(run(), run());
}

TEST(OddInput, IsIgnored) {
  Host host(SomeSettings());
  host.Step({});
  AttemptEnded stray;
  stray.id = 77;
  host.Step({stray, ClientGone{78}, ProgressNotice{79, 0, NoticeKind::kProgress, 0.5}, Probed{},
             TimerFired{5}, EngineList{ListKind::kFailed, nullptr}});
  EXPECT_TRUE(host.sends.empty());
  host.Step({Ask(1, 9)});
  EXPECT_TRUE(host.failed.contains(1)) << "a class that the settings do not have";
}

}  // namespace
}  // namespace lemoncroft
