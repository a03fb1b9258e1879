#include "soak/disturbance_log.h"

#include <gtest/gtest.h>

namespace briarwood::soak {
namespace {

using std::chrono::seconds;

common::Time At(seconds since_start) { return common::Time(since_start); }

TEST(DisturbanceLogTest, FaultWithoutDurationAffectsThePeriodAroundIt) {
  DisturbanceLog log;
  log.Add("entry-1", At(seconds(5)));
  EXPECT_TRUE(log.Affected("entry-1", At(seconds(4)), At(seconds(6))));
  EXPECT_FALSE(log.Affected("entry-1", At(seconds(6)), At(seconds(7))));
  EXPECT_FALSE(log.Affected("entry-2", At(seconds(4)), At(seconds(6))));
}

TEST(DisturbanceLogTest, FaultWithDurationAffectsAllOfIt) {
  DisturbanceLog log;
  log.Begin("link", At(seconds(2)));
  EXPECT_TRUE(log.Affected("link", At(seconds(8)), At(seconds(9))));
  log.End("link", At(seconds(5)));
  EXPECT_TRUE(log.Affected("link", At(seconds(3)), At(seconds(4))));
  EXPECT_FALSE(log.Affected("link", At(seconds(6)), At(seconds(9))));
  EXPECT_FALSE(log.Affected("link", At(seconds(0)), At(seconds(1))));
}

TEST(DisturbanceLogTest, OverlappingFaultsEndOneByOne) {
  DisturbanceLog log;
  log.Begin("link", At(seconds(2)));
  log.Begin("link", At(seconds(3)));
  log.End("link", At(seconds(4)));
  EXPECT_TRUE(log.Affected("link", At(seconds(7)), At(seconds(8))));
  log.End("link", At(seconds(9)));
  EXPECT_FALSE(log.Affected("link", At(seconds(10)), At(seconds(11))));
}

}  // namespace
}  // namespace briarwood::soak
