#include "briarwood/control/agreed_clock.h"

#include <algorithm>

namespace briarwood::control {
namespace {

/// Older samples are removed, so that processes that no longer report do not affect the median.
constexpr std::chrono::seconds kMaxSampleAge{15};

common::UnixMillis SinceEpoch(common::Time time) {
  return std::chrono::duration_cast<common::UnixMillis>(time.time_since_epoch());
}

}  // namespace

void AgreedClock::Observe(const std::string& process, common::UnixMillis wall, common::Time now) {
  samples_[process] = {.offset = wall - SinceEpoch(now), .seen_at = now};
  std::erase_if(samples_,
                [&](const auto& item) { return now - item.second.seen_at > kMaxSampleAge; });
}

std::optional<common::UnixMillis> AgreedClock::At(common::Time now) const {
  if (samples_.empty()) return std::nullopt;
  std::vector<common::UnixMillis> offsets;
  offsets.reserve(samples_.size());
  for (const auto& [process, sample] : samples_) offsets.push_back(sample.offset);
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle + SinceEpoch(now);
}

}  // namespace briarwood::control
