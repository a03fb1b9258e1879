#include "soak/crashing_part_checker.h"

#include <gtest/gtest.h>

namespace briarwood::soak {
namespace {

using std::chrono::seconds;

common::Time At(double since_start) { return common::Time(common::FromSeconds(since_start)); }

class CrashingPartCheckerTest : public ::testing::Test {
 protected:
  /// The part crashes servers from 10 s on, each second.
  void Crash(int times) {
    checker_.Begin(At(10));
    for (int i = 1; i <= times; ++i) checker_.OnCrash(At(10 + i));
  }
  void SoundCalls(double from, int served, int failed) {
    for (int i = 0; i < served + failed; ++i) checker_.OnSoundCall(At(from), i < served);
  }

  ViolationLog log_;
  CrashingPartChecker checker_{log_, {}};
};

TEST_F(CrashingPartCheckerTest, AcceptsThreeArrivalsAfterTheBound) {
  Crash(5);
  for (int i = 0; i < 3; ++i) checker_.OnArrival(At(18.5), /*in_touch=*/true);
  checker_.End(At(30));
  EXPECT_EQ(log_.count(), 0U);
}

// Requests with a part that crashes every server would end one server after the
// other.
TEST_F(CrashingPartCheckerTest, ReportsAFourthArrivalAfterTheBound) {
  Crash(5);
  for (int i = 0; i < 4; ++i) checker_.OnArrival(At(18.5), /*in_touch=*/true);
  checker_.End(At(30));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(CrashingPartCheckerTest, AcceptsArrivalsWithinTheContactPeriodAndOutOfTouch) {
  Crash(5);
  for (int i = 0; i < 20; ++i) checker_.OnArrival(At(17.9), /*in_touch=*/true);
  for (int i = 0; i < 20; ++i) checker_.OnArrival(At(25), /*in_touch=*/false);
  checker_.End(At(30));
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(CrashingPartCheckerTest, AcceptsArrivalsAfterFewerCrashes) {
  Crash(4);
  for (int i = 0; i < 20; ++i) checker_.OnArrival(At(25), /*in_touch=*/true);
  checker_.End(At(30));
  EXPECT_EQ(log_.count(), 0U);
}

// An entry that blames the shared first part or the caller rejects sound
// requests as well.
TEST_F(CrashingPartCheckerTest, ReportsSoundRequestsServedLessThanHalfAsOften) {
  Crash(5);
  SoundCalls(5, /*served=*/40, /*failed=*/0);
  SoundCalls(22, /*served=*/19, /*failed=*/21);
  checker_.End(At(30));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(CrashingPartCheckerTest, AcceptsSoundRequestsServedHalfAsOftenOrFewCalls) {
  Crash(5);
  SoundCalls(5, /*served=*/40, /*failed=*/0);
  SoundCalls(16, /*served=*/0, /*failed=*/40);
  SoundCalls(22, /*served=*/20, /*failed=*/20);
  checker_.End(At(30));
  EXPECT_EQ(log_.count(), 0U);
  CrashingPartChecker few(log_, {});
  few.Begin(At(10));
  few.OnCrash(At(11));
  for (int i = 0; i < 19; ++i) few.OnSoundCall(At(22), /*served=*/false);
  few.End(At(30));
  EXPECT_EQ(log_.count(), 0U);
}

}  // namespace
}  // namespace briarwood::soak
