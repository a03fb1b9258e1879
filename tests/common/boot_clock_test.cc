#include <gtest/gtest.h>
#include <time.h>

#include "briarwood/common/time.h"
#include "briarwood/common/timer_service.h"

namespace briarwood::common {
namespace {

std::chrono::nanoseconds ReadClock(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

// Guards against a clock that stops while the VM is suspended: a resumed leader would send orders
// under a lease that has already expired for the other members.
TEST(BootClockTest, IncludesSuspendedTime) {
  const auto before = ReadClock(CLOCK_BOOTTIME);
  const Time now = BootClock::now();
  const auto after = ReadClock(CLOCK_BOOTTIME);
  EXPECT_GE(now.time_since_epoch(), before);
  EXPECT_LE(now.time_since_epoch(), after);
}

// Guards against a timer service on another clock: leases and deadlines compare the times of
// both.
TEST(BootClockTest, IsUsedByTimerService) {
  const Time before = BootClock::now();
  const Time now = TimerService::Now();
  EXPECT_GE(now, before);
  EXPECT_LE(now, BootClock::now());
}

}  // namespace
}  // namespace briarwood::common
