#include "soak/response_plan.h"

#include <gtest/gtest.h>

#include <string>

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kRequests = 1000;

std::string Id(int number) { return "s1-call-1-" + std::to_string(number); }

// A caller that expects another number of events than the server sends reports a violation that is
// none.
TEST(ResponsePlanTest, SameIdsGiveTheSameShape) {
  const ResponsePlan first = PlanResponse(Id(1), "llm-1");
  const ResponsePlan second = PlanResponse(Id(1), "llm-1");
  EXPECT_EQ(first.silence, second.silence);
  EXPECT_EQ(first.silent_before, second.silent_before);
  EXPECT_EQ(first.until_close, second.until_close);
  EXPECT_EQ(EventCount(Id(1)), EventCount(Id(1)));
}

// Without streams that last for seconds, no planned stop finds one at work.
TEST(ResponsePlanTest, SomeStreamsLastThreeToSixSeconds) {
  int long_streams = 0;
  for (int i = 0; i < kRequests; ++i) {
    const milliseconds length = EventCount(Id(i)) * PlanResponse(Id(i), "llm-1").event_interval;
    if (length < milliseconds(1000)) continue;
    ++long_streams;
    EXPECT_GE(length, milliseconds(3000));
    EXPECT_LE(length, milliseconds(6000));
  }
  EXPECT_GT(long_streams, kRequests / 10);
  EXPECT_LT(long_streams, kRequests / 4);
}

TEST(ResponsePlanTest, AShareFallsSilentForUpToTwoSecondsBeforeSomeEvent) {
  int silent = 0;
  int silent_before_first = 0;
  for (int i = 0; i < kRequests; ++i) {
    const ResponsePlan plan = PlanResponse(Id(i), "llm-1");
    EXPECT_GE(plan.silence, milliseconds(500));
    EXPECT_LE(plan.silence, milliseconds(2000));
    EXPECT_LE(plan.silent_before, EventCount(Id(i)));
    if (plan.silent_before > 0) ++silent;
    if (plan.silent_before == 1) ++silent_before_first;
  }
  EXPECT_GT(silent, kRequests / 20);
  EXPECT_LT(silent, kRequests / 5);
  EXPECT_GT(silent_before_first, 0);
}

TEST(ResponsePlanTest, AShareEndsWithItsConnection) {
  int until_close = 0;
  for (int i = 0; i < kRequests; ++i) until_close += PlanResponse(Id(i), "app-1").until_close;
  EXPECT_GT(until_close, kRequests / 20);
  EXPECT_LT(until_close, kRequests / 5);
}

}  // namespace
}  // namespace briarwood::soak
