// Estimates for a class of requests, learnt from responses.
#include "decision/estimates/class_estimates.h"

#include <gtest/gtest.h>

#include <cmath>

namespace lemoncroft::estimates {
namespace {

TEST(ClassEstimates, WithoutResponses_ClientEstimatesAndAssumedWorkAreUsed) {
  const ClassEstimates estimates(0.25, false);
  EXPECT_NEAR(estimates.ExpectedWork(0), 0.25, 1e-9);
  EXPECT_NEAR(estimates.ExpectedWork(0.4), 0.4, 1e-9);
  EXPECT_NEAR(estimates.ExpectedTime(0.4), 0.4, 1e-9);
  EXPECT_FALSE(estimates.best_slowdown_known());
}

TEST(ClassEstimates, ReportedCosts_CorrectBiasedEstimates) {
  ClassEstimates estimates(0.25, true);
  for (int i = 0; i < 300; ++i) {
    const double work = 0.05 * std::exp(0.1 * (i % 10));
    estimates.Learn({.estimated_work = 3 * work, .reported_work = work, .time = 2 * work});
  }
  EXPECT_NEAR(estimates.ExpectedWork(0.3), 0.1, 0.02);
  EXPECT_NEAR(estimates.ExpectedTime(0.1), 0.2, 0.01);  // all responses took twice their work
  EXPECT_LT(estimates.deviation(), 0.1);
}

// Learns from times that scatter on their own and whose estimates scatter too, on a fleet with the given
// slowdown.
void LearnTimes(ClassEstimates& estimates, int responses, double slowdown) {
  for (int i = 0; i < responses; ++i) {
    const double work = 0.2 * std::exp(0.3 * (i % 5 - 2));
    const double estimate = 3 * work * std::exp(0.6 * (i % 7 - 3));
    estimates.Learn({.estimated_work = estimate, .time = slowdown * work});
  }
}

TEST(ClassEstimates, WithoutReportedCosts_TimesCorrectEstimates) {
  ClassEstimates estimates(1, false);
  LearnTimes(estimates, 350, 1);
  EXPECT_NEAR(estimates.ExpectedWork(0.6), 0.2, 0.05);
  EXPECT_GT(estimates.ExpectedWork(0.06), 0.08) << "an inaccurate estimate is corrected towards the mean";
  EXPECT_LT(estimates.ExpectedWork(6), 0.6);
  EXPECT_GT(estimates.deviation(), 0.2);
  EXPECT_LT(estimates.deviation(), 0.5);
}

// With a fixed margin over the client's estimate, many requests would get too little memory and spill.
TEST(ClassEstimates, UnreportedMemory_IsExpectedWithErrorOfWorkEstimates) {
  ClassEstimates estimates(1, false);
  for (int i = 0; i < 350; ++i) {
    const double scatter = std::exp(i % 2 == 0 ? 1 : -1);  // uncorrelated with the time
    estimates.Learn({.estimated_work = 0.2 * scatter,
                     .time = 0.2 * std::exp(i % 4 < 2 ? 0.6 : -0.6),
                     .estimated_memory_mb = 200 * scatter});
  }
  EXPECT_GT(estimates.ExpectedMemoryMb(200 / 2.7), 300)
      << "corrected towards the mean of 200, plus a margin for the scatter";
  EXPECT_LT(estimates.ExpectedMemoryMb(200 * 2.7), 800);
  EXPECT_EQ(estimates.ExpectedMemoryMb(0), 0) << "without an estimate, the engine chooses the grant";
}

TEST(ClassEstimates, WithoutEstimates_DeviationIsSpreadOfTimes) {
  ClassEstimates estimates(1, false);
  for (int i = 0; i < 200; ++i) estimates.Learn({.time = 0.1 * std::exp(i % 2 == 0 ? 1.2 : -1.2)});
  EXPECT_NEAR(estimates.deviation(), 1.2, 0.15);
}

TEST(ClassEstimates, SlowFleet_IncreasesTimesAndNotWork) {
  ClassEstimates estimates(1, false);
  LearnTimes(estimates, 350, 1);
  const double work = estimates.ExpectedWork(0.6);
  LearnTimes(estimates, 70, 3);
  EXPECT_NEAR(estimates.ExpectedWork(0.6), work, 0.15 * work);
  EXPECT_NEAR(estimates.ExpectedTime(work), 3 * work, 0.6 * work);
}

// Times divided by reported work and plain times have different units. A class must not mix them.
TEST(ClassEstimates, CostsReportedByFewResponses_AreNotMixedWithTimes) {
  for (const bool settings_report : {true, false}) {
    ClassEstimates estimates(0.25, settings_report);
    for (int i = 0; i < 30; ++i) estimates.Learn({.time = 8});
    for (int i = 0; i < 200; ++i) estimates.Learn({.reported_work = i % 3 == 0 ? 4.0 : 0.0, .time = 8});
    EXPECT_NEAR(estimates.ExpectedTime(4), 8, 0.8) << settings_report;
  }
}

TEST(ClassEstimates, Response_IsComparedWithBestRecentMean) {
  ClassEstimates estimates(0.25, false);
  for (int i = 0; i < 200; ++i) estimates.Learn({.reported_work = 0.1, .time = 0.1});
  EXPECT_TRUE(estimates.best_slowdown_known());
  EXPECT_NEAR(estimates.Learn({.reported_work = 0.1, .time = 0.3}), 3, 0.1);
}

TEST(ClassEstimates, ExpectedMemory_MarginNarrowsWithResponses) {
  ClassEstimates estimates(0.25, false);
  EXPECT_GT(estimates.ExpectedMemoryMb(100), 120);
  for (int i = 0; i < 100; ++i)
    estimates.Learn({.time = 0.1, .estimated_memory_mb = 100, .reported_memory_mb = 50});
  EXPECT_NEAR(estimates.ExpectedMemoryMb(100), 50, 5);
}

}  // namespace
}  // namespace lemoncroft::estimates
