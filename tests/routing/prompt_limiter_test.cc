#include "briarwood/routing/prompt_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
const common::Tier kLowTier{2};

TEST(PromptLimiterTest, HoldsBackBeyondTheLimit) {
  PromptLimiter limiter({.initial_limit = 10, .min_limit = 1});
  EXPECT_TRUE(limiter.Admits(6, kLowTier));
  limiter.OnSent(6);
  EXPECT_FALSE(limiter.Admits(6, kLowTier));
  limiter.OnDone(6);
  EXPECT_TRUE(limiter.Admits(6, kLowTier));
}

// Guards against a prompt that is larger than the limit and is never sent.
TEST(PromptLimiterTest, AdmitsOneLargePrompt) {
  PromptLimiter limiter({.initial_limit = 10, .min_limit = 1});
  EXPECT_TRUE(limiter.Admits(50, kLowTier));
}

TEST(PromptLimiterTest, TopTierMayExceedTheLimit) {
  PromptLimiter limiter({.initial_limit = 10, .min_limit = 1});
  limiter.OnSent(8);
  EXPECT_FALSE(limiter.Admits(4, kLowTier));
  EXPECT_TRUE(limiter.Admits(4, common::Tier(0)));
}

TEST(PromptLimiterTest, FallsWhileFirstTokensAreLateAndGrowsWhileItHoldsBack) {
  PromptLimiter limiter({.initial_limit = 100});
  common::Time now = kStart;
  limiter.OnSent(80);
  for (int i = 0; i < 40; ++i) limiter.Observe(true, 2, now += milliseconds(50));
  EXPECT_LT(limiter.limit(), 80);
  // Ends the interval that includes late observations.
  for (int i = 0; i < 8; ++i) limiter.Observe(false, 2, now += milliseconds(50));
  const double fallen = limiter.limit();
  for (int i = 0; i < 40; ++i) limiter.Observe(false, 2, now += milliseconds(50));
  EXPECT_DOUBLE_EQ(limiter.limit(), fallen) << "nothing was held back";
  for (int i = 0; i < 40; ++i) {
    EXPECT_FALSE(limiter.Admits(100, kLowTier));
    limiter.Observe(false, 2, now += milliseconds(50));
  }
  EXPECT_GT(limiter.limit(), fallen);
}

/// Simulates engines that interleave the prefill of their prompts, and one entry that uses them.
class EngineModel {
 public:
  static constexpr milliseconds kStep{5};
  static constexpr double kWorkPerStep = 4 * 0.5;  // four engines prefill 0.5 each
  static constexpr milliseconds kTarget{800};
  static constexpr milliseconds kMaxWait{300};

  struct Prompt {
    common::Time arrived;
    common::Time sent;
    double left;
  };

  /// \param rate  load of the arriving prompts relative to the prefill capacity of the engines
  /// \returns the share of prompts whose first token was within the target
  static double OnTimeShare(bool limited, double rate) {
    constexpr double kWork = 5;
    PromptLimiter limiter;
    std::deque<Prompt> queue;
    std::vector<Prompt> prefilling;
    double arriving = 0;
    int all = 0;
    int on_time = 0;
    for (common::Time now = kStart; now < kStart + seconds(20); now += kStep) {
      for (arriving += rate * kWorkPerStep / kWork; arriving >= 1; arriving -= 1) {
        queue.push_back({.arrived = now, .sent = now, .left = kWork});
        ++all;
      }
      // The scheduler queues prompts that can no longer be on time behind the others; they are left
      // out here.
      while (!queue.empty() && now - queue.front().arrived > kMaxWait) queue.pop_front();
      while (!queue.empty() && (!limited || limiter.Admits(kWork, kLowTier))) {
        limiter.OnSent(kWork);
        queue.front().sent = now;
        prefilling.push_back(queue.front());
        queue.pop_front();
      }
      const double share =
          kWorkPerStep / std::max<double>(1, static_cast<double>(prefilling.size()));
      for (Prompt& prompt : prefilling) prompt.left -= share;
      std::erase_if(prefilling, [&](const Prompt& prompt) {
        if (prompt.left > 0) return false;
        limiter.OnDone(kWork);
        limiter.Observe(now - prompt.sent > kTarget * 6 / 10, 4, now);
        if (now - prompt.arrived <= kTarget) ++on_time;
        return true;
      });
    }
    return static_cast<double>(on_time) / all;
  }
};

// Load pattern: a burst of one class with long prompts, at 1.5 times the prefill capacity of the
// engines. Guards against sending all prompts at once, so that their prefill is interleaved and all
// of them are late.
TEST(PromptLimiterTest, ServesMostOfTheCapacityInABurstOfLongPrompts) {
  EXPECT_LT(EngineModel::OnTimeShare(/*limited=*/false, 1.5), 0.3);
  EXPECT_GT(EngineModel::OnTimeShare(/*limited=*/true, 1.5), 0.5);
}

// Guards against a limit that leaves engines idle at low load.
TEST(PromptLimiterTest, HoldsNothingBackAtLowLoad) {
  EXPECT_GT(EngineModel::OnTimeShare(/*limited=*/true, 0.7), 0.999);
}

}  // namespace
}  // namespace briarwood::routing
