#pragma once

#include <chrono>
#include <cstdint>

namespace briarwood::common {

/// Monotonic clock that includes the time during which the VM is suspended (CLOCK_BOOTTIME).
///
/// Leases, key freshness and deadlines depend on it. std::chrono::steady_clock does not advance
/// during a suspension, so a resumed leader would still consider its lease valid.
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

/// Time point of BootClock in one process; tests construct it from a duration.
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
