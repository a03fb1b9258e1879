#include "briarwood/routing/second_attempt_policy.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr common::Duration kMax = milliseconds(1000);

/// Records answers of `time` once every 10 ms.
void Answer(SecondAttemptPolicy& policy, int count, milliseconds time,
            common::Time start = kStart) {
  for (int i = 0; i < count; ++i) policy.OnAnswer("read", time, start + milliseconds(10 * i));
}

// Guards against second attempts for sound servers: one slow server among ten must not raise the
// delay to its own answers, nor lower it to the usual ones.
TEST(SecondAttemptPolicyTest, WaitsForMostAnswersOfSoundServers) {
  SecondAttemptPolicy policy({.ratio = 0.05});
  for (int i = 0; i < 100; ++i) {
    const bool slow = i % 25 == 0;
    policy.OnAnswer("read", milliseconds(slow ? 900 : 50 + i % 10), kStart);
  }
  const auto delay = policy.Delay("read", kMax, kStart);
  ASSERT_TRUE(delay);
  EXPECT_GE(*delay, milliseconds(59));
  EXPECT_LT(*delay, milliseconds(200));
}

// Guards against a delay from a few answers, from answers of another route, or from old ones.
TEST(SecondAttemptPolicyTest, HasNoDelayWithoutRecentAnswers) {
  SecondAttemptPolicy policy({.ratio = 0.05});
  EXPECT_FALSE(policy.Delay("read", kMax, kStart));
  Answer(policy, 3, milliseconds(50));
  EXPECT_FALSE(policy.Delay("read", kMax, kStart));
  Answer(policy, 50, milliseconds(50));
  EXPECT_TRUE(policy.Delay("read", kMax, kStart + seconds(1)));
  EXPECT_FALSE(policy.Delay("write", kMax, kStart + seconds(1)));
  EXPECT_FALSE(policy.Delay("read", kMax, kStart + seconds(120)));
}

// Guards against second attempts within the noise of fast and equal answers, and against a delay
// beyond the time after which a server counts as stalled.
TEST(SecondAttemptPolicyTest, BoundsTheDelay) {
  SecondAttemptPolicy policy({.ratio = 0.05});
  Answer(policy, 128, milliseconds(1));
  EXPECT_GE(*policy.Delay("read", kMax, kStart + seconds(2)), milliseconds(20));
  Answer(policy, 128, milliseconds(100));
  EXPECT_EQ(*policy.Delay("read", kMax, kStart + seconds(2)), milliseconds(200));
  Answer(policy, 128, milliseconds(3000));
  EXPECT_EQ(*policy.Delay("read", kMax, kStart + seconds(2)), kMax);
}

// Guards against a burst of failures that becomes a burst of second attempts, and against more of
// them than the operator allows.
TEST(SecondAttemptPolicyTest, KeepsToItsShareInABurst) {
  SecondAttemptPolicy policy({.ratio = 0.05});
  int started = 0;
  for (int i = 1; i <= 2000; ++i) {
    policy.OnRequest("app");
    // All requests of the second half are slow.
    if (i <= 1000 || !policy.MayStart("app")) continue;
    policy.OnStarted("app");
    ++started;
    EXPECT_LE(started, 3 + 0.05 * (i - 1000));
  }
  EXPECT_GE(started, 50);
  EXPECT_FALSE(policy.MayStart("other"));
}

// Guards against second attempts of a service at its limit, and against switching with each short
// queue.
TEST(SecondAttemptPolicyTest, StopsUntilTheServiceHasBeenCalmForAWhile) {
  SecondAttemptPolicy policy({.ratio = 0.5});
  for (int i = 0; i < 10; ++i) policy.OnRequest("app");
  ASSERT_TRUE(policy.MayStart("app"));
  EXPECT_TRUE(policy.OnLoadSign("app", kStart));
  EXPECT_FALSE(policy.MayStart("app"));
  EXPECT_FALSE(policy.OnLoadSign("app", kStart + milliseconds(1500)));
  EXPECT_FALSE(policy.Resume("app", kStart + milliseconds(2500)));
  EXPECT_FALSE(policy.MayStart("app"));
  EXPECT_TRUE(policy.Resume("app", kStart + milliseconds(3500)));
  EXPECT_TRUE(policy.MayStart("app"));
}

// Guards against a second attempt that uses up the last attempt of a route, which a retry may need.
TEST(SecondAttemptPolicyTest, LeavesTheLastAttempt) {
  const SecondAttemptPolicy policy({.ratio = 0.05});
  EXPECT_FALSE(policy.LeavesAttempts(0, 1));
  EXPECT_FALSE(policy.LeavesAttempts(1, 1));
  EXPECT_FALSE(policy.LeavesAttempts(2, 1));
  EXPECT_TRUE(policy.LeavesAttempts(3, 1));
  EXPECT_FALSE(policy.LeavesAttempts(3, 2));
}

// Guards against state of routes that no configuration has any more: the memory stays bounded.
TEST(SecondAttemptPolicyTest, ForgetsTheRouteThatWasSilentLongest) {
  SecondAttemptPolicy policy({.ratio = 0.05});
  Answer(policy, 10, milliseconds(50));
  for (int route = 0; route < 300; ++route) {
    for (int i = 0; i < 8; ++i) {
      policy.OnAnswer("r" + std::to_string(route), milliseconds(50),
                      kStart + seconds(1) + milliseconds(route));
    }
  }
  EXPECT_FALSE(policy.Delay("read", kMax, kStart + seconds(2)));
  EXPECT_TRUE(policy.Delay("r299", kMax, kStart + seconds(2)));
}

}  // namespace
}  // namespace briarwood::routing
