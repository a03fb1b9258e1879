#include "briarwood/control/agreed_clock.h"

#include <gtest/gtest.h>

namespace briarwood::control {
namespace {

using common::UnixMillis;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr UnixMillis kWall{1'790'000'000'000};

// Guards against usage windows that follow one VM's clock when it steps by seconds.
TEST(AgreedClockTest, IgnoresAStepOfAMinority) {
  AgreedClock clock;
  clock.Observe("a", kWall, kStart);
  clock.Observe("b", kWall + UnixMillis(2), kStart);
  clock.Observe("c", kWall + UnixMillis(5000), kStart);
  EXPECT_EQ(clock.At(kStart), kWall + UnixMillis(2));
}

// Guards against a time that stands still between observations.
TEST(AgreedClockTest, GoesOnWithTheBootClock) {
  AgreedClock clock;
  clock.Observe("a", kWall, kStart);
  EXPECT_EQ(clock.At(kStart + seconds(3)), kWall + UnixMillis(3000));
}

// Guards against a say of processes that are gone.
TEST(AgreedClockTest, ForgetsSilentProcesses) {
  AgreedClock clock;
  clock.Observe("gone-1", kWall + UnixMillis(9000), kStart);
  clock.Observe("gone-2", kWall + UnixMillis(9000), kStart);
  clock.Observe("a", kWall + UnixMillis(60'000), kStart + seconds(60));
  EXPECT_EQ(clock.At(kStart + seconds(60)), kWall + UnixMillis(60'000));
}

TEST(AgreedClockTest, KnowsNoTimeBeforeTheFirstObservation) {
  EXPECT_FALSE(AgreedClock().At(kStart).has_value());
}

}  // namespace
}  // namespace briarwood::control
