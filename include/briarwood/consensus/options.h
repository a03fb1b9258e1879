#pragma once

#include <chrono>
#include <cstdint>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "consensus.pb.h"

namespace briarwood::consensus {

/// Protocol timing; must be the same on all members.
struct Timing {
  common::Duration heartbeat = std::chrono::milliseconds(100);
  /// Votes are rejected for this long after contact with a leader. An election starts after one to
  /// two times this period without contact.
  common::Duration election_timeout = std::chrono::milliseconds(600);
  /// Maximum relative rate error of a member's clock.
  double max_clock_drift = 0.01;

  /// Lease duration, counted from the time at which the leader sent the latest round (see Raft)
  /// that a majority has acknowledged. It is shorter than the election timeout by both rate errors,
  /// because the leader's clock may be slow and the followers' clocks fast.
  [[nodiscard]] common::Duration lease() const noexcept {
    return common::FromSeconds(common::ToSeconds(election_timeout) * (1 - max_clock_drift) /
                               (1 + max_clock_drift));
  }

  /// Orders are sent only while the lease remains valid for longer than this. A fixed margin would
  /// leave a group with a short election timeout hardly any time in which a loaded leader may send.
  [[nodiscard]] common::Duration send_margin() const noexcept { return election_timeout / 4; }

  /// Delay after which a new leader can rely on the lease of any previous leader having ended.
  [[nodiscard]] common::Duration new_leader_delay() const noexcept {
    return common::FromSeconds(common::ToSeconds(election_timeout) * (1 + max_clock_drift) /
                               (1 - max_clock_drift));
  }
};

struct Options {
  common::MemberId id;
  /// Initial membership of a new log; empty for a member that joins a running group.
  schema::Membership initial_membership;
  Timing timing;
  std::uint64_t seed = 0;
};

}  // namespace briarwood::consensus
