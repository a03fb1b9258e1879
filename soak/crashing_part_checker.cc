#include "soak/crashing_part_checker.h"

#include <algorithm>
#include <string>

namespace briarwood::soak {

void CrashingPartChecker::OnArrival(common::Time now, bool in_touch) {
  ++arrivals_;
  if (!in_touch || crashes_.size() < bounds_.crashes) return;
  if (now > crashes_[bounds_.crashes - 1] + bounds_.contact_period) ++late_arrivals_;
}

void CrashingPartChecker::OnSoundCall(common::Time sent_at, bool served) {
  calls_.push_back({.sent_at = sent_at, .served = served});
}

CrashingPartChecker::Share CrashingPartChecker::ShareBetween(common::Time from,
                                                             common::Time to) const {
  Share share;
  for (const SoundCall& call : calls_) {
    if (call.sent_at < from || call.sent_at >= to) continue;
    ++share.calls;
    if (call.served) ++share.served;
  }
  return share;
}

void CrashingPartChecker::End(common::Time now) {
  if (!began_at_ || crashes_.empty()) return;
  if (late_arrivals_ > bounds_.max_arrivals) {
    log_.Report(now, "crashing part",
                std::to_string(late_arrivals_) + " of " + std::to_string(arrivals_) +
                    " requests with the part reached servers later than the "
                    "contact period after " +
                    std::to_string(bounds_.crashes) + " crashes; " +
                    std::to_string(crashes_.size()) + " crashes in all");
  }
  const common::Time held_back_from =
      crashes_[std::min(crashes_.size(), bounds_.crashes) - 1] + 2 * bounds_.contact_period;
  const Share before = ShareBetween(common::Time::min(), *began_at_);
  const Share after = ShareBetween(held_back_from, now);
  if (before.calls < bounds_.min_calls || after.calls < bounds_.min_calls) return;
  const auto share = [](const Share& of) {
    return static_cast<double>(of.served) / static_cast<double>(of.calls);
  };
  if (share(after) >= bounds_.min_relative_share * share(before)) return;
  log_.Report(now, "crashing part",
              "sound requests with the same first part: " + std::to_string(after.served) + " of " +
                  std::to_string(after.calls) + " served, before the crashes " +
                  std::to_string(before.served) + " of " + std::to_string(before.calls));
}

}  // namespace briarwood::soak
