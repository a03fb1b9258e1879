#include "briarwood/proposals/usage_reporter.h"

#include <gtest/gtest.h>

namespace briarwood::proposals {
namespace {

// Guards against proposals whose number per second grows with every entry of the fleet, and against
// a period that loses more than 5% of a window of 5 s when half of the entries are killed at once.
TEST(UsageReportPeriodTest, BoundsTheLoadOfTheLeaderAndTheLossAtACrash) {
  EXPECT_EQ(UsageReportPeriod(0), UsageReportPeriod(7));
  EXPECT_LE(70 / std::chrono::duration<double>(UsageReportPeriod(70)).count(), 200);
  for (const unsigned entries : {7U, 23U, 70U, 360U, 5000U}) {
    const double period_s = std::chrono::duration<double>(UsageReportPeriod(entries)).count();
    EXPECT_LE(0.5 * period_s / 5, 0.05) << entries;
  }
}

}  // namespace
}  // namespace briarwood::proposals
