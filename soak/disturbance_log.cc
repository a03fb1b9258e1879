#include "soak/disturbance_log.h"

#include <algorithm>

namespace briarwood::soak {

void DisturbanceLog::Add(const std::string& part, common::Time at) {
  intervals_[part].push_back({.from = at, .to = at});
}

void DisturbanceLog::Begin(const std::string& part, common::Time at) {
  intervals_[part].push_back({.from = at, .to = std::nullopt});
}

void DisturbanceLog::End(const std::string& part, common::Time at) {
  for (Interval& interval : intervals_[part]) {
    if (interval.to) continue;
    interval.to = at;
    return;
  }
}

bool DisturbanceLog::Affected(const std::string& part, common::Time from, common::Time to) const {
  const auto found = intervals_.find(part);
  if (found == intervals_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](const Interval& interval) {
    return interval.from <= to && (!interval.to || *interval.to >= from);
  });
}

}  // namespace briarwood::soak
