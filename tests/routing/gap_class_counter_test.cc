#include "briarwood/routing/gap_class_counter.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr milliseconds kShort{300};
constexpr milliseconds kLong{1200};

// Guards against streams that count for ever, and against streams that ended too early to show
// anything counting as streams in time.
TEST(GapClassCounterTest, CountsOpenAndRecentStreams) {
  GapClassCounter counter;
  for (int i = 0; i < 4; ++i) counter.OnOpened(kShort);
  counter.OnOpened(kLong);
  counter.OnLateGap(kShort, kStart);
  counter.OnEnded(kShort, /*had_gaps=*/true, kStart);
  counter.OnEnded(kShort, /*had_gaps=*/true, kStart + seconds(1));
  counter.OnEnded(kShort, /*had_gaps=*/false, kStart + seconds(1));
  const std::vector<GapClass> expected = {{.gap_target = kShort, .open = 1, .ended = 2, .late = 1},
                                          {.gap_target = kLong, .open = 1}};
  EXPECT_EQ(counter.Classes(kStart + seconds(1)), expected);
  const std::vector<GapClass> later = {{.gap_target = kShort, .open = 1, .ended = 1},
                                       {.gap_target = kLong, .open = 1}};
  EXPECT_EQ(counter.Classes(kStart + milliseconds(4500)), later);
}

// Guards against classes of removed routes that stay in every heartbeat.
TEST(GapClassCounterTest, ForgetsClassesWithoutStreams) {
  GapClassCounter counter;
  counter.OnOpened(kShort);
  counter.OnEnded(kShort, /*had_gaps=*/true, kStart);
  EXPECT_TRUE(counter.Classes(kStart + seconds(10)).empty());
}

}  // namespace
}  // namespace briarwood::routing
