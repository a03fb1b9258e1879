#include "briarwood/routing/prompt_backlog.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

// Guards against an engine without observations that counts as backlogged, and against requests
// without a target that wait for one.
TEST(PromptBacklogTest, StartsEmpty) {
  PromptBacklog backlog;
  EXPECT_FALSE(backlog.Exceeds(milliseconds(1), kStart));
  backlog.Observe(seconds(5), kStart);
  EXPECT_FALSE(backlog.Exceeds(milliseconds(0), kStart));
}

// Load: shared prompt parts make one engine read the prompts of all entries. Guards against
// requests with a short target behind them, while those with a long one may still go there.
TEST(PromptBacklogTest, DependsOnTheTarget) {
  PromptBacklog backlog;
  backlog.Observe(milliseconds(500), kStart);
  EXPECT_TRUE(backlog.Exceeds(milliseconds(600), kStart));
  EXPECT_FALSE(backlog.Exceeds(seconds(2), kStart));
}

// Guards against an engine that is avoided for ever because nothing is sent there any more.
TEST(PromptBacklogTest, FallsWithoutObservations) {
  PromptBacklog backlog;
  backlog.Observe(seconds(2), kStart);
  EXPECT_TRUE(backlog.Exceeds(seconds(2), kStart + milliseconds(900)));
  EXPECT_FALSE(backlog.Exceeds(seconds(2), kStart + milliseconds(1100)));
}

// Guards against an engine that is avoided after it has caught up.
TEST(PromptBacklogTest, FollowsShorterDelays) {
  PromptBacklog backlog;
  backlog.Observe(seconds(2), kStart);
  for (int i = 0; i < 4; ++i) backlog.Observe(milliseconds(100), kStart);
  EXPECT_FALSE(backlog.Exceeds(milliseconds(600), kStart));
}

}  // namespace
}  // namespace briarwood::routing
