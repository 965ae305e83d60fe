// Tests of what answers teach about a class of queries.
#include "estimates/class_estimates.h"

#include <gtest/gtest.h>

#include <cmath>

namespace lemoncroft::estimates {
namespace {

TEST(ClassEstimates, BeforeAnyAnswerEstimatesAndTheAssumedWorkAreTaken) {
  const ClassEstimates estimates(0.25);
  EXPECT_NEAR(estimates.Work(0), 0.25, 1e-9);
  EXPECT_NEAR(estimates.Work(0.4), 0.4, 1e-9);
  EXPECT_NEAR(estimates.Time(0.4, true), 0.4, 1e-9);
  EXPECT_FALSE(estimates.known());
}

TEST(ClassEstimates, ToldCostsCorrectEstimatesThatLieByClass) {
  ClassEstimates estimates(0.25);
  for (int i = 0; i < 300; ++i) {
    const double work = 0.05 * std::exp(0.1 * (i % 10));
    estimates.Learn({.estimated_work = 3 * work, .told_work = work, .time = 2 * work});
  }
  EXPECT_NEAR(estimates.Work(0.3), 0.1, 0.02);
  EXPECT_NEAR(estimates.Time(0.1, true), 0.2, 0.01);  // twice its work, as all answers took
  EXPECT_LT(estimates.deviation(), 0.1);
}

TEST(ClassEstimates, AnAnswerIsSetAgainstTheBestRecentMean) {
  ClassEstimates estimates(0.25);
  for (int i = 0; i < 200; ++i) estimates.Learn({.told_work = 0.1, .time = 0.1});
  EXPECT_TRUE(estimates.known());
  EXPECT_NEAR(estimates.Learn({.told_work = 0.1, .time = 0.3}), 3, 0.1);
}

TEST(ClassEstimates, MemoryIsExpectedWithAMarginThatFewAnswersNarrow) {
  ClassEstimates estimates(0.25);
  EXPECT_GT(estimates.MemoryMb(100), 120);
  for (int i = 0; i < 100; ++i)
    estimates.Learn({.time = 0.1, .estimated_memory_mb = 100, .told_memory_mb = 50});
  EXPECT_NEAR(estimates.MemoryMb(100), 50, 5);
}

}  // namespace
}  // namespace lemoncroft::estimates
