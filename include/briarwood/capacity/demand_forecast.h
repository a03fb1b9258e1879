#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "briarwood/common/time.h"

namespace briarwood::capacity {

/// Forecasts demand from the trend over the last minutes and from the demand at the same time of
/// the previous day.
///
/// The peak hour shifts by a few minutes per day with the sunset, and by more with the weather.
/// Therefore the forecast uses the maximum of the previous day within a margin around the requested
/// time. Time is Unix time; demand is in tokens per second. Not thread-safe.
class DemandForecast {
 public:
  static constexpr std::chrono::minutes kSlotLength{5};
  static constexpr std::size_t kSlotsPerDay = 288;
  /// Margin around the time of day on the previous day.
  static constexpr std::chrono::minutes kPeakShiftMargin{20};

  /// Records the current demand. Call it at least once per slot.
  void Record(common::UnixMillis now, double tokens_per_second);

  /// \returns the highest demand expected between `now` and `now + horizon`.
  [[nodiscard]] double PeakWithin(common::UnixMillis now, std::chrono::milliseconds horizon) const;

 private:
  struct Slot {
    /// Number of the slot since the Unix epoch; -1 before the first record.
    std::int64_t number = -1;
    double sum = 0;
    double count = 0;
    double peak = 0;

    [[nodiscard]] double mean() const noexcept { return count == 0 ? 0 : sum / count; }
  };

  /// \returns the slot with this number, or nullptr if it is not stored.
  [[nodiscard]] const Slot* Find(std::int64_t number) const noexcept;
  [[nodiscard]] double ExtrapolateTrend(std::int64_t slot, double slots_ahead) const noexcept;
  [[nodiscard]] double PeakOnPreviousDay(std::int64_t first, std::int64_t last) const noexcept;
  [[nodiscard]] double DayToDayRatio(std::int64_t slot) const noexcept;

  /// Slots of two days, indexed by slot number modulo the size.
  std::array<Slot, 2 * kSlotsPerDay> slots_;
  double latest_ = 0;
};

}  // namespace briarwood::capacity
