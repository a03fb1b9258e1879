#include "briarwood/common/time.h"

#include <time.h>

namespace briarwood::common {

BootClock::time_point BootClock::now() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace briarwood::common
