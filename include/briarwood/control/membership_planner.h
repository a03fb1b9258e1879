#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/consensus/membership.h"
#include "briarwood/control/node_options.h"

namespace briarwood::control {

struct MembershipPlannerOptions {
  /// Voters that the group keeps.
  std::size_t voters = 3;
  /// A voter that acknowledged nothing for this long gives its vote to a learner that is ready.
  common::Duration replace_after = std::chrono::milliseconds(1500);
  /// A learner that acknowledged nothing for this long is removed.
  common::Duration forget_learner_after = std::chrono::seconds(60);
};

/// Decides at the leader how the group repairs itself: a member that was replaced at its own
/// address leaves, and learners that have caught up become voters where a vote is free.
///
/// A voter is removed only when a learner is ready for its place. Otherwise it may come back, and
/// its vote may be the one that is missing.
class MembershipPlanner {
 public:
  explicit MembershipPlanner(MembershipPlannerOptions options) : options_(options) {}

  /// \param self      id of the leader
  /// \param contacts  other members as the leader knows them
  /// \param commit    index that a learner must hold
  /// \param leading_since  start of this leadership; silence before it does not count
  [[nodiscard]] std::optional<consensus::MembershipChange> Next(
      const schema::Membership& membership, common::MemberId self,
      const std::vector<MemberContact>& contacts, common::LogIndex commit,
      common::Time leading_since, common::Time now) const;

 private:
  MembershipPlannerOptions options_;
};

}  // namespace briarwood::control
