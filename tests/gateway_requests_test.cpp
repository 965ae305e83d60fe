// Requests from arrival to response: deadlines, retries that could repeat an effect, and ordering keys.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

TEST(RequestEnd, PendingRequest_WithoutEngines_IsRejectedBeforeItsDeadline) {
  Host host(DefaultSettings());
  host.DeliverList({});
  host.Step({MakeRequest(1, 0, 2 * kSecond)});
  host.RunUntil(host.now + 2 * kSecond - kMs);
  ASSERT_TRUE(host.rejected.contains(1));
  EXPECT_TRUE(host.sends.empty());
  EXPECT_EQ(host.retry_after[1], 2 * kSecond);
}

TEST(RequestEnd, AttemptTimeout_AtDeadline_EndsRequest) {
  Host host(DefaultSettings());
  host.DeliverList({ReadyEngine(1)});
  host.Step({MakeRequest(1)});
  host.RunUntil(host.now + 4 * kSecond);
  host.EndAttempt(1, Outcome::kTimeout, 4 * kSecond);
  EXPECT_EQ(host.rejected.count(1) + host.failed.count(1), 1u);
}

TEST(RequestEnd, PendingRequest_Cancelled_IsNotSent) {
  Host host(DefaultSettings());
  host.DeliverList({});
  host.Step({MakeRequest(1)});
  host.Step({RequestCancelled{1}});
  host.DeliverList({ReadyEngine(1)});
  EXPECT_TRUE(host.sends.empty());
}

TEST(Repeats, UnsafeRequest_ThatMayHaveRun_Fails) {
  Settings s = DefaultSettings();
  s.classes[0].effect = Effect::kUnsafe;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  host.Step({MakeRequest(1)});
  host.EndAttempt(1, Outcome::kConnectFailed);
  EXPECT_EQ(host.Attempts(1), 2) << "the attempt never ran, so that a retry is safe";
  host.EndAttempt(1, Outcome::kReset);
  EXPECT_EQ(host.Attempts(1), 2);
  EXPECT_TRUE(host.failed.contains(1));
  EXPECT_FALSE(host.rejected.contains(1));
}

TEST(Repeats, KeyedRequest_Retried_StaysInRepeatGroupAndWindow) {
  Settings s = DefaultSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].repeat_group = RepeatGroup::kZone;
  s.classes[0].repeat_window = kSecond;
  Host host(s);
  EngineEntry other = ReadyEngine(3);
  other.zone = 1;
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), other});
  for (RequestId id = 1; id <= 30; ++id) {
    host.Step({MakeRequest(id)});
    EngineId first = host.engine_of[id];
    host.EndAttempt(id, Outcome::kError);
    if (host.Attempts(id) == 2) {
      EXPECT_EQ(first == 3, host.engine_of[id] == 3);
    }
    host.EndAttempt(id, Outcome::kOk);
  }
  host.Step({MakeRequest(99)});
  host.now += 2 * kSecond;
  host.EndAttempt(99, Outcome::kReset);
  EXPECT_EQ(host.Attempts(99), 1) << "the repeat window has passed";
  EXPECT_TRUE(host.failed.contains(99));
}

TEST(OrderingKey, Requests_OfOneKey_RunOneAtATimeWithPauseAfterUnknownEnd) {
  Settings s = DefaultSettings();
  s.classes[0].in_order = true;
  s.ordering_key_pause = 300 * kMs;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3)});
  Request a = MakeRequest(1), b = MakeRequest(2), c = MakeRequest(3);
  a.ordering_key = b.ordering_key = 5;
  c.ordering_key = 6;
  host.Step({a, b, c});
  ASSERT_EQ(host.sends.size(), 2u);
  EXPECT_EQ(host.Attempts(2), 0);
  host.Step({RequestCancelled{1}});
  EXPECT_EQ(host.Attempts(2), 0) << "the attempt is still in flight";
  host.EndAttempt(1, Outcome::kCancelled, kMs, 0, true);
  Nanos ended = host.now;
  host.RunUntil(ended + 299 * kMs);
  EXPECT_EQ(host.Attempts(2), 0) << "the ordering key is paused";
  host.RunUntil(ended + 400 * kMs);
  EXPECT_EQ(host.Attempts(2), 1);
}

// Another process of the gateway has an earlier request of the key.
TEST(OrderingKey, HeldRequest_IsSentOnceReleasedAndBlocksLaterOnes) {
  Settings s = DefaultSettings();
  s.classes[0].in_order = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3)});
  Request held = MakeRequest(1), later = MakeRequest(2);
  held.ordering_key = later.ordering_key = 5;
  held.held = true;
  host.Step({held, later});
  EXPECT_TRUE(host.sends.empty());
  host.Step({RequestReleased{1}, RequestReleased{77}});
  EXPECT_EQ(host.Attempts(1), 1);
  EXPECT_EQ(host.Attempts(2), 0);
  host.EndAttempt(1, Outcome::kOk, kMs, 0, true);
  EXPECT_EQ(host.Attempts(2), 1);
}

TEST(OrderingKey, HeldRequest_NeverReleased_IsRejectedBeforeItsDeadline) {
  Settings s = DefaultSettings();
  s.classes[0].in_order = true;
  Host host(s);
  host.DeliverList({ReadyEngine(1)});
  Request held = MakeRequest(1, 0, 2 * kSecond);
  held.ordering_key = 5;
  held.held = true;
  host.Step({held});
  host.RunUntil(host.now + 2 * kSecond - kMs);
  EXPECT_TRUE(host.rejected.contains(1));
  EXPECT_TRUE(host.sends.empty());
}

// An attempt with an idempotency key and without a response is cancelled near the end of its repeat window
// and not earlier.
TEST(Repeats, KeyedAttempt_WithoutResponse_IsRetriedAtEndOfRepeatWindow) {
  Settings s = DefaultSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].client_timeout = 20 * kSecond;
  s.classes[0].latency_objective = 10 * kSecond;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  const Nanos start = host.now;
  host.Step({MakeRequest(1, 0, 20 * kSecond)});
  host.RunUntil(start + 4500 * kMs);
  EXPECT_FALSE(host.cancels.contains(1)) << "cancelling a table load wastes much work";
  host.RunUntil(start + 4920 * kMs);
  ASSERT_TRUE(host.cancels.contains(1));
  host.EndAttempt(1, Outcome::kCancelled);
  ASSERT_EQ(host.Attempts(1), 2);
  EXPECT_LE(host.sends.back().at, start + s.classes[0].repeat_window);
}

// A slow connection must not delay a retry beyond the repeat window, in which engines recognise it as a
// repeat.
TEST(Repeats, KeyedRetry_IsLimitedToRepeatWindowOfFirstSend) {
  Settings s = DefaultSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].repeat_window = kSecond;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  const Nanos start = host.now;
  host.Step({MakeRequest(1)});
  EXPECT_EQ(host.sends.back().not_after, kNoLimit) << "no attempt has run yet";
  host.now += 200 * kMs;
  host.EndAttempt(1, Outcome::kReset);
  ASSERT_EQ(host.Attempts(1), 2);
  EXPECT_GT(host.sends.back().not_after, host.now);
  EXPECT_LT(host.sends.back().not_after, start + kSecond);
  const Nanos first = host.sends.back().not_after;
  host.now += 200 * kMs;
  host.EndAttempt(1, Outcome::kNotSent);  // an attempt that was never sent doesn't start a repeat window
  ASSERT_EQ(host.Attempts(1), 3);
  EXPECT_EQ(host.sends.back().not_after, first);
}

TEST(Repeats, SafeRetry_IsSentWithoutTimeLimit) {
  Host host(DefaultSettings());
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  host.Step({MakeRequest(1)});
  host.EndAttempt(1, Outcome::kReset);
  ASSERT_EQ(host.Attempts(1), 2);
  EXPECT_EQ(host.sends.back().not_after, kNoLimit);
}

// A table load that is expected to run longer than its repeat window isn't a runaway at the end of the
// window.
TEST(Repeats, KeyedAttempt_ExpectedToOutlastRepeatWindow_IsNotCancelled) {
  Settings s = DefaultSettings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].repeat_window = kSecond;
  s.classes[0].client_timeout = 20 * kSecond;
  s.classes[0].latency_objective = 10 * kSecond;
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  host.Step({MakeRequest(1, 0, 20 * kSecond, 5 * kSecond)});
  host.RunUntil(host.now + 4 * kSecond);
  EXPECT_FALSE(host.cancels.contains(1));
}

TEST(Determinism, SameEvents_GiveSameActions) {
  auto run = [] {
    Host host(DefaultSettings(), 11);
    host.DeliverList({ReadyEngine(1), ReadyEngine(2), ReadyEngine(3)});
    for (RequestId id = 1; id <= 200; ++id) {
      host.Step({MakeRequest(id)});
      if (id % 3 == 0) host.EndAttempt(id, id % 2 ? Outcome::kError : Outcome::kOk);
      host.RunUntil(host.now + 3 * kMs);
    }
    std::vector<std::pair<RequestId, EngineId>> out;
    for (const Host::Sent& s : host.sends) out.emplace_back(s.id, s.engine);
    return out;
  };
  EXPECT_EQ(run(), run());
}

TEST(InvalidEvents, UnknownIds_AreIgnored) {
  Host host(DefaultSettings());
  host.Step({});
  AttemptEnded unknown_attempt;
  unknown_attempt.id = 77;
  host.Step({unknown_attempt, RequestCancelled{78}, ProgressNotice{79, 0, NoticeKind::kProgress, 0.5},
             ProbeEnded{}, TimerFired{5}, EngineList{ListKind::kFailed, nullptr}});
  EXPECT_TRUE(host.sends.empty());
  host.Step({MakeRequest(1, 9)});
  EXPECT_TRUE(host.failed.contains(1)) << "the settings have no such class";
}

}  // namespace
}  // namespace lemoncroft
