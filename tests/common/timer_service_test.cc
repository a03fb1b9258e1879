#include "briarwood/common/timer_service.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace briarwood::common {
namespace {

using std::chrono::milliseconds;

// Guards against a callback that is never called or is called after its subscription has ended.
TEST(TimerServiceTest, CallsSubscriberUntilSubscriptionEnds) {
  TimerService service;
  std::atomic<int> calls = 0;
  {
    const auto subscription = service.Subscribe(milliseconds(2), [&](Time) { ++calls; });
    while (calls < 3) std::this_thread::sleep_for(milliseconds(1));
  }
  const int calls_at_end = calls;
  std::this_thread::sleep_for(milliseconds(20));
  EXPECT_EQ(calls, calls_at_end);
}

}  // namespace
}  // namespace briarwood::common
