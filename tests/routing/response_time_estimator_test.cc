#include "briarwood/routing/response_time_estimator.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const common::ClassId kClass("class");

// Guards against a guess for a class of which little is known.
TEST(ResponseTimeEstimatorTest, KnowsNothingBeforeAFewResponses) {
  ResponseTimeEstimator estimator;
  for (int i = 0; i < 40; ++i) {
    estimator.Observe(common::ClassId("other"), 10, milliseconds(100), seconds(1));
  }
  for (int i = 0; i < 31; ++i) estimator.Observe(kClass, 10, milliseconds(100), seconds(1));
  EXPECT_FALSE(estimator.Estimate(kClass, 10));
  estimator.Observe(kClass, 10, milliseconds(100), seconds(1));
  EXPECT_TRUE(estimator.Estimate(kClass, 10));
}

// Guards against an estimate that ignores the length of the output, or that is below what equal
// responses took.
TEST(ResponseTimeEstimatorTest, GrowsWithTheOutput) {
  ResponseTimeEstimator estimator;
  for (int i = 0; i < 50; ++i) estimator.Observe(kClass, 100, milliseconds(200), seconds(2));
  const auto same = estimator.Estimate(kClass, 100);
  const auto longer = estimator.Estimate(kClass, 400);
  ASSERT_TRUE(same && longer);
  EXPECT_GE(*same, seconds(2));
  EXPECT_LT(*same, milliseconds(2500));
  EXPECT_GE(*longer, milliseconds(7400));
  EXPECT_LT(*longer, seconds(9));
}

// Guards against streams that a stopping entry takes because the mean is short, while many last
// several times as long, whatever output their callers expect; and against a single long response
// that makes it reject all others.
TEST(ResponseTimeEstimatorTest, CoversMostOfTheRecentResponses) {
  ResponseTimeEstimator estimator;
  for (int i = 0; i < 60; ++i) {
    estimator.Observe(kClass, 100, milliseconds(100), i % 5 == 0 ? seconds(9) : seconds(2));
  }
  ASSERT_TRUE(estimator.Estimate(kClass, 100));
  EXPECT_GE(*estimator.Estimate(kClass, 100), milliseconds(8990));
  for (int i = 0; i < 60; ++i) {
    estimator.Observe(kClass, 100, milliseconds(100), i == 0 ? seconds(9) : seconds(2));
  }
  EXPECT_LT(*estimator.Estimate(kClass, 100), milliseconds(2100));
}

// Guards against an estimate that one slow response raises for good.
TEST(ResponseTimeEstimatorTest, ForgetsOldResponses) {
  ResponseTimeEstimator estimator;
  estimator.Observe(kClass, 100, milliseconds(100), seconds(60));
  for (int i = 0; i < 100; ++i) estimator.Observe(kClass, 100, milliseconds(100), seconds(1));
  EXPECT_LT(*estimator.Estimate(kClass, 100), seconds(2));
}

// Guards against a table that grows with every class that was ever in force.
TEST(ResponseTimeEstimatorTest, KeepsABoundedNumberOfClasses) {
  ResponseTimeEstimator estimator;
  for (int i = 0; i < 1000; ++i) {
    for (int j = 0; j < 32; ++j) {
      estimator.Observe(common::ClassId("class-" + std::to_string(i)), 1, milliseconds(1),
                        milliseconds(2));
    }
  }
  EXPECT_FALSE(estimator.Estimate(common::ClassId("class-0"), 1));
  EXPECT_TRUE(estimator.Estimate(common::ClassId("class-999"), 1));
}

}  // namespace
}  // namespace briarwood::routing
