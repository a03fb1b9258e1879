#include "briarwood/control/list_schedule.h"

#include <algorithm>

namespace briarwood::control {

common::Duration ListSchedule::ReadPeriod() const {
  if (options_.calls_per_second <= 0) return options_.read_period;
  const double seconds =
      static_cast<double>(calls_per_read_) / (options_.calls_per_second * options_.rate_share);
  return std::max(options_.read_period, common::FromSeconds(seconds));
}

ListAction ListSchedule::Next(bool leads, std::optional<common::Time> read_at, common::Time now) {
  const auto due = [now](const std::optional<common::Time>& last, common::Duration period) {
    return !last || now - *last >= period;
  };
  const common::Duration period = ReadPeriod();
  // The age limit exceeds the period of the leader's reads, so that the other members do not read
  // as well when the list has many pages.
  const bool outdated = !read_at || now - *read_at > std::max(options_.max_age, 2 * period);
  if ((leads || outdated) && due(last_read_, period)) {
    // A member that has only just started asks the leader first.
    if (!leads && !last_request_) {
      last_request_ = now;
      return ListAction::kRequestFromLeader;
    }
    last_read_ = now;
    return ListAction::kReadPlatform;
  }
  if (!leads && due(last_request_, options_.request_period)) {
    last_request_ = now;
    return ListAction::kRequestFromLeader;
  }
  return ListAction::kNone;
}

std::optional<schema::BackendList> NewerList(const schema::BackendList& list, common::Time read_at,
                                             std::uint64_t age_ms_plus_one, std::uint64_t digest,
                                             common::Time now) {
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - read_at);
  if (static_cast<std::uint64_t>(age.count()) + 1 >= age_ms_plus_one) return std::nullopt;
  schema::BackendList newer;
  if (digest == list.digest()) {
    newer.set_digest(digest);
    newer.set_unchanged(true);
  } else {
    newer = list;
    newer.clear_calls();
  }
  newer.set_age_ms(static_cast<std::uint64_t>(age.count()));
  return newer;
}

}  // namespace briarwood::control
