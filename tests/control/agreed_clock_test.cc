#include "briarwood/control/agreed_clock.h"

#include <gtest/gtest.h>

namespace briarwood::control {
namespace {

using common::UnixMillis;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr UnixMillis kWall{1'790'000'000'000};

// Guards against usage windows that are shifted when the clock of one VM steps by seconds.
TEST(AgreedClockTest, IgnoresAStepOfAMinority) {
  AgreedClock clock;
  clock.Observe("a", kWall, kStart);
  clock.Observe("b", kWall + UnixMillis(2), kStart);
  clock.Observe("c", kWall + UnixMillis(5000), kStart);
  EXPECT_EQ(clock.At(kStart), kWall + UnixMillis(2));
}

// Guards against a time that does not advance between observations.
TEST(AgreedClockTest, AdvancesWithTheBootClock) {
  AgreedClock clock;
  clock.Observe("a", kWall, kStart);
  EXPECT_EQ(clock.At(kStart + seconds(3)), kWall + UnixMillis(3000));
}

// Guards against removed processes that affect the median.
TEST(AgreedClockTest, RemovesOldSamples) {
  AgreedClock clock;
  clock.Observe("gone-1", kWall + UnixMillis(9000), kStart);
  clock.Observe("gone-2", kWall + UnixMillis(9000), kStart);
  clock.Observe("a", kWall + UnixMillis(60'000), kStart + seconds(60));
  EXPECT_EQ(clock.At(kStart + seconds(60)), kWall + UnixMillis(60'000));
}

TEST(AgreedClockTest, HasNoTimeBeforeTheFirstObservation) {
  EXPECT_FALSE(AgreedClock().At(kStart).has_value());
}

}  // namespace
}  // namespace briarwood::control
