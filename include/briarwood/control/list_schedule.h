#pragma once

#include <cstdint>
#include <optional>

#include "briarwood/common/time.h"
#include "fleet.pb.h"

namespace briarwood::control {

struct ListScheduleOptions {
  /// Interval at which the leader reads the platform's list.
  common::Duration read_period = std::chrono::milliseconds(600);
  /// Interval at which the other members request the list from the leader.
  common::Duration request_period = std::chrono::milliseconds(300);
  /// A member whose list is older reads the platform by itself, because the leader is unreachable
  /// or cannot reach the platform.
  common::Duration max_age = std::chrono::milliseconds(1200);
  /// Calls per second that the platform accepts for the list from all processes; 0 means no limit.
  double calls_per_second = 0;
  /// Share of `calls_per_second` that one member uses. The rest is for members and entries that are
  /// cut off from the leader.
  double rate_share = 0.5;
};

enum class ListAction : std::uint8_t { kNone, kReadPlatform, kRequestFromLeader };

/// Decides from where a control member gets the platform's list of backend servers, so that in
/// normal operation only the leader calls the platform, whatever the number of members is. Pure
/// state machine; not thread-safe.
class ListSchedule {
 public:
  explicit ListSchedule(ListScheduleOptions options) : options_(options) {}

  /// \param read_at  time at which the member's list was read from the platform; nothing without a
  ///                 list
  [[nodiscard]] ListAction Next(bool leads, std::optional<common::Time> read_at, common::Time now);

  /// Records a call to the platform that ended.
  /// \param calls  number of pages that were read; a list of many pages is read less often
  void OnRead(std::uint32_t calls) noexcept { calls_per_read_ = calls; }

 private:
  [[nodiscard]] common::Duration ReadPeriod() const;

  ListScheduleOptions options_;
  std::uint32_t calls_per_read_ = 1;
  std::optional<common::Time> last_read_;
  std::optional<common::Time> last_request_;
};

/// \param age_ms_plus_one  age of the receiver's list plus one; 0 if it wants none
/// \param digest           digest of the receiver's list
/// \returns the part of `list` that a receiver needs, or nothing if its list is as recent.
[[nodiscard]] std::optional<schema::BackendList> NewerList(const schema::BackendList& list,
                                                           common::Time read_at,
                                                           std::uint64_t age_ms_plus_one,
                                                           std::uint64_t digest, common::Time now);

}  // namespace briarwood::control
