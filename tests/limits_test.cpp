// The limits of the decision module (src/decision/limits/).
#include <gtest/gtest.h>

#include <cmath>
#include <optional>
#include <vector>

#include "decision/limits/circuit_breaker.h"
#include "decision/limits/ordering_key_queues.h"
#include "decision/limits/sent_load.h"

namespace lemoncroft {
namespace {

constexpr Nanos kSecond = 1'000'000'000;

TEST(CircuitBreaker, RepeatedFailures_OpenItWithLongerBackoff) {
  limits::CircuitBreaker breaker;
  EXPECT_FALSE(breaker.RecordFailure(0.15, 0));
  EXPECT_TRUE(breaker.RecordFailure(0.15, 0));
  breaker.Open(0, 1);
  EXPECT_TRUE(breaker.IsOpen(limits::CircuitBreaker::kMinBackoff - 1));
  EXPECT_FALSE(breaker.IsOpen(limits::CircuitBreaker::kMinBackoff));
  EXPECT_TRUE(breaker.IsHalfOpen());
  const Nanos later = kSecond;
  EXPECT_TRUE(breaker.RecordFailure(0.15, later)) << "the attempt of the half-open circuit breaker failed";
  breaker.Open(later, 1);
  EXPECT_TRUE(breaker.IsOpen(later + 2 * limits::CircuitBreaker::kMinBackoff - 1));
  for (int i = 0; i < 10; ++i) breaker.RecordSuccess(0.15);
  EXPECT_FALSE(breaker.IsHalfOpen());
}

TEST(SentLoad, AttemptThatMayStillRun_StaysInBacklogUntilWorkedOff) {
  limits::SentLoad load;
  const limits::AttemptCharge charge{true, 2, 100, 6};
  load.RecordSend(charge);
  load.RecordSend(charge);
  EXPECT_EQ(load.threads(), 4);
  EXPECT_EQ(load.threads(false), 0);
  EXPECT_EQ(load.memory_mb(), 200);
  load.RecordEnd(charge, false);
  EXPECT_EQ(load.backlog(), 0);
  load.RecordEnd(charge, true);
  EXPECT_EQ(load.threads(), 0);
  EXPECT_EQ(load.backlog(), 6);
  load.Advance(1, 4);
  EXPECT_EQ(load.backlog(), 2);
  EXPECT_NEAR(load.recent(), 12 * std::exp(-1 / limits::SentLoad::kRecentTimeConstantSeconds), 1e-9);
  load.ResetForRestart();
  EXPECT_EQ(load.recent() + load.backlog(), 0);
}

TEST(OrderingKeyQueues, Requests_OfOneKey_AreReturnedInOrder) {
  limits::OrderingKeyQueues queues;
  queues.Append(7, 1);
  queues.Append(7, 2);
  queues.Append(8, 3);
  EXPECT_EQ(queues.Front(7, 0), std::optional<RequestId>(1));
  EXPECT_EQ(queues.Front(8, 0), std::optional<RequestId>(3));
  queues.Remove(7, 2);
  queues.Remove(7, 1);
  EXPECT_EQ(queues.Front(7, 0), std::nullopt);
  queues.Clear();
  EXPECT_EQ(queues.Front(8, 0), std::nullopt);
}

TEST(OrderingKeyQueues, PausedKey_IsReturnedOnceAfterPause) {
  limits::OrderingKeyQueues queues;
  queues.PauseUntil(7, kSecond);
  queues.Append(7, 1);
  EXPECT_TRUE(queues.TakeResumed(2 * kSecond).empty()) << "Front was not called during the pause";
  EXPECT_EQ(queues.Front(7, kSecond - 1), std::nullopt);
  EXPECT_TRUE(queues.TakeResumed(kSecond - 1).empty());
  EXPECT_EQ(queues.TakeResumed(kSecond), std::vector<limits::OrderingKeyQueues::Key>{7});
  EXPECT_TRUE(queues.TakeResumed(kSecond).empty());
  EXPECT_EQ(queues.Front(7, kSecond), std::optional<RequestId>(1));
}

TEST(OrderingKeyQueues, Pause_OutlastsEmptyQueue) {
  limits::OrderingKeyQueues queues;
  queues.Append(7, 1);
  queues.PauseUntil(7, kSecond);
  queues.Remove(7, 1);
  EXPECT_EQ(queues.Front(7, 0), std::nullopt);
  queues.Clear();
  queues.Append(7, 2);
  EXPECT_EQ(queues.Front(7, kSecond - 1), std::nullopt);
  EXPECT_EQ(queues.Front(7, kSecond), std::optional<RequestId>(2));
}

}  // namespace
}  // namespace lemoncroft
