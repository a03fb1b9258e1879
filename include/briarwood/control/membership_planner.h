#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/consensus/membership.h"
#include "briarwood/control/node_options.h"

namespace briarwood::control {

struct MembershipPlannerOptions {
  /// Minimum target of the number of voters. The target grows with the number of members with a
  /// disk, so that each majority of the voters is at least half of these members.
  std::size_t voters = 3;
  /// A voter that acknowledged nothing for this long is replaced by a learner that is ready.
  common::Duration voter_timeout = std::chrono::milliseconds(1500);
  /// A learner that acknowledged nothing for this long is removed.
  common::Duration learner_timeout = std::chrono::seconds(60);
};

/// Plans membership changes on the leader: removes members that were superseded by a newer member
/// at the same address, and promotes learners that have caught up when there are too few voters.
///
/// A voter is removed only when a learner is ready to replace it. Until then it may reconnect, and
/// its vote may be needed for a majority.
class MembershipPlanner {
 public:
  explicit MembershipPlanner(MembershipPlannerOptions options) : options_(options) {}

  /// \param self  id of the leader
  /// \param contacts  state of the other members as known to the leader
  /// \param commit  index that a learner must nearly have reached to be ready
  /// \param leading_since  start of this leadership; time before it does not count as silence
  /// \returns the next change, or nothing when none is needed.
  [[nodiscard]] std::optional<consensus::MembershipChange> Next(
      const schema::Membership& membership, common::MemberId self,
      const std::vector<MemberContact>& contacts, common::LogIndex commit,
      common::Time leading_since, common::Time now) const;

 private:
  MembershipPlannerOptions options_;
};

}  // namespace briarwood::control
