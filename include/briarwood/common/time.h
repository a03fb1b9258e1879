#pragma once

#include <chrono>
#include <cstdint>

namespace briarwood::common {

/// Monotonic clock that also counts the time in which the VM is suspended (CLOCK_BOOTTIME).
///
/// Leases, key freshness and deadlines hang on it: on std::chrono::steady_clock, which stands still
/// during a suspension, a leader that wakes up would still believe in its lease.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required of a clock
  static constexpr bool is_steady = true;

  // NOLINTNEXTLINE(readability-identifier-naming): required of a clock
  [[nodiscard]] static time_point now() noexcept;
};

/// Point on the boot clock of one process; tests build it from a duration.
using Time = BootClock::time_point;
using Duration = BootClock::duration;

/// Wall clock time in milliseconds since the Unix epoch.
using UnixMillis = std::chrono::duration<std::int64_t, std::milli>;

/// Length of `duration` in seconds.
[[nodiscard]] constexpr double ToSeconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

/// Duration of `seconds`, rounded towards zero.
[[nodiscard]] constexpr Duration FromSeconds(double seconds) noexcept {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace briarwood::common
