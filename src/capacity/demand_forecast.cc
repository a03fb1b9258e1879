#include "briarwood/capacity/demand_forecast.h"

#include <algorithm>

namespace briarwood::capacity {
namespace {

// Bounds of the day-to-day ratio. A larger difference from the previous day is left to the trend.
constexpr double kMinDayRatio = 0.5;
constexpr double kMaxDayRatio = 2.0;
// Number of slots compared with the previous day: half an hour.
constexpr std::int64_t kRatioSlots = 6;
// Distance, in slots, to the earlier slot from which the trend is calculated.
constexpr std::int64_t kTrendSlots = 2;

std::int64_t SlotNumber(common::UnixMillis time) {
  return time.count() / std::chrono::milliseconds(DemandForecast::kSlotLength).count();
}

}  // namespace

void DemandForecast::Record(common::UnixMillis now, double tokens_per_second) {
  const std::int64_t number = SlotNumber(now);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number != number) slot = {.number = number};
  slot.sum += tokens_per_second;
  slot.count += 1;
  slot.peak = std::max(slot.peak, tokens_per_second);
  latest_ = tokens_per_second;
}

const DemandForecast::Slot* DemandForecast::Find(std::int64_t number) const noexcept {
  if (number < 0) return nullptr;
  const Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  return slot.number == number ? &slot : nullptr;
}

double DemandForecast::PeakWithin(common::UnixMillis now, std::chrono::milliseconds horizon) const {
  const std::int64_t slot = SlotNumber(now);
  const std::int64_t last = SlotNumber(now + horizon);
  const auto margin_slots = static_cast<std::int64_t>(kPeakShiftMargin / kSlotLength);
  const double slots_ahead = static_cast<double>(horizon.count()) /
                             static_cast<double>(std::chrono::milliseconds(kSlotLength).count());
  return std::max(
      {latest_, ExtrapolateTrend(slot, slots_ahead),
       PeakOnPreviousDay(slot - margin_slots, last + margin_slots) * DayToDayRatio(slot)});
}

double DemandForecast::ExtrapolateTrend(std::int64_t slot, double slots_ahead) const noexcept {
  const Slot* before = Find(slot - kTrendSlots);
  if (before == nullptr) return latest_;
  const double per_slot = (latest_ - before->mean()) / static_cast<double>(kTrendSlots);
  return latest_ + std::max(per_slot, 0.0) * slots_ahead;
}

double DemandForecast::PeakOnPreviousDay(std::int64_t first, std::int64_t last) const noexcept {
  double peak = 0;
  for (std::int64_t number = first; number <= last; ++number) {
    const Slot* slot = Find(number - static_cast<std::int64_t>(kSlotsPerDay));
    if (slot != nullptr) peak = std::max(peak, slot->peak);
  }
  return peak;
}

double DemandForecast::DayToDayRatio(std::int64_t slot) const noexcept {
  double today = 0;
  double previous_day = 0;
  for (std::int64_t back = 1; back <= kRatioSlots; ++back) {
    const Slot* new_slot = Find(slot - back);
    const Slot* old_slot = Find(slot - back - static_cast<std::int64_t>(kSlotsPerDay));
    if (new_slot == nullptr || old_slot == nullptr) continue;
    today += new_slot->mean();
    previous_day += old_slot->mean();
  }
  if (previous_day == 0) return 1;
  return std::clamp(today / previous_day, kMinDayRatio, kMaxDayRatio);
}

}  // namespace briarwood::capacity
