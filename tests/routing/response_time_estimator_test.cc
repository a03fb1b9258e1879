#include "briarwood/routing/response_time_estimator.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const common::ClassId kClass("class");

// Guards against a guess for a class of which nothing is known.
TEST(ResponseTimeEstimatorTest, KnowsNothingBeforeTheFirstResponse) {
  ResponseTimeEstimator estimator;
  estimator.Observe(common::ClassId("other"), 10, milliseconds(100), seconds(1));
  EXPECT_FALSE(estimator.Estimate(kClass, 10));
}

// Guards against an estimate that ignores the length of the output, or that is below what equal
// responses took.
TEST(ResponseTimeEstimatorTest, GrowsWithTheOutput) {
  ResponseTimeEstimator estimator;
  for (int i = 0; i < 50; ++i) estimator.Observe(kClass, 100, milliseconds(200), seconds(2));
  const auto same = estimator.Estimate(kClass, 100);
  const auto longer = estimator.Estimate(kClass, 400);
  ASSERT_TRUE(same && longer);
  EXPECT_GE(*same, milliseconds(1990));
  EXPECT_LT(*same, milliseconds(2200));
  EXPECT_GE(*longer, milliseconds(7300));
  EXPECT_LT(*longer, seconds(8));
}

// Guards against an estimate that only covers the mean of responses that vary.
TEST(ResponseTimeEstimatorTest, CoversResponsesThatVary) {
  ResponseTimeEstimator estimator;
  for (int i = 0; i < 100; ++i) {
    estimator.Observe(kClass, 100, milliseconds(100), i % 2 == 0 ? seconds(1) : seconds(3));
  }
  const auto estimate = estimator.Estimate(kClass, 100);
  ASSERT_TRUE(estimate);
  EXPECT_GE(*estimate, seconds(3));
}

// Guards against a table that grows with every class that was ever in force.
TEST(ResponseTimeEstimatorTest, KeepsABoundedNumberOfClasses) {
  ResponseTimeEstimator estimator;
  for (int i = 0; i < 1000; ++i) {
    estimator.Observe(common::ClassId("class-" + std::to_string(i)), 1, milliseconds(1),
                      milliseconds(2));
  }
  EXPECT_FALSE(estimator.Estimate(common::ClassId("class-0"), 1));
  EXPECT_TRUE(estimator.Estimate(common::ClassId("class-999"), 1));
}

}  // namespace
}  // namespace briarwood::routing
