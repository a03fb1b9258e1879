#include <gtest/gtest.h>
#include <time.h>

#include "briarwood/common/time.h"
#include "briarwood/common/timer_service.h"

namespace briarwood::common {
namespace {

std::chrono::nanoseconds Read(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

// Guards against a time source that stands still while the VM is suspended: a leader would wake up
// and send orders on a lease that others have let expire.
TEST(BootClockTest, ReadsTheClockThatCountsSuspension) {
  const auto before = Read(CLOCK_BOOTTIME);
  const Time now = BootClock::now();
  const auto after = Read(CLOCK_BOOTTIME);
  EXPECT_GE(now.time_since_epoch(), before);
  EXPECT_LE(now.time_since_epoch(), after);
}

// Guards against a timer service that keeps a time of its own: leases and deadlines compare times
// of both.
TEST(BootClockTest, IsTheTimeOfTheTimerService) {
  const Time before = BootClock::now();
  const Time now = TimerService::Now();
  EXPECT_GE(now, before);
  EXPECT_LE(now, BootClock::now());
}

}  // namespace
}  // namespace briarwood::common
