#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/consensus/membership.h"
#include "briarwood/control/node_options.h"

namespace briarwood::control {

struct MembershipPlannerOptions {
  /// Number of voters below which none is demoted; odd.
  std::size_t min_voters = 3;
  /// A voter that acknowledged nothing for this long has failed, and a learner gets its vote.
  common::Duration silence_timeout = std::chrono::milliseconds(1500);
  /// The same for a voter that refuses connections: no process listens at its address.
  common::Duration refusal_timeout = std::chrono::milliseconds(250);
  /// A member that announced its stop or refuses connections no longer counts after this time.
  /// Longer than a restart.
  common::Duration departure_timeout = std::chrono::seconds(5);
  /// A member that is only silent no longer counts after this time. Longer than a partition, which
  /// looks the same as a member that is gone.
  common::Duration absence_timeout = std::chrono::seconds(30);
  /// A learner that acknowledged nothing for this long is removed.
  common::Duration learner_timeout = std::chrono::seconds(60);
};

/// Plans membership changes on the leader, one at a time.
///
/// The members with a disk that are not known to be gone are counted, learners only while they
/// answer. The target number of voters is the largest odd number up to that count, so that each
/// majority of the voters is at least half of the counted members: the smaller side of a partition
/// cannot commit. A learner that has caught up is promoted if there are fewer voters than the
/// target or a voter has failed; voters above the target are demoted, failed ones first.
///
/// A failed voter remains in the group as a learner with its log, and counts again as soon as it is
/// back. That a learner has failed is recorded in the membership, so that the next leader does not
/// expect it to take a vote. Members that a newer member at the same
/// address superseded are removed.
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
  /// What the leader knows of one member.
  struct Condition {
    /// Time since the last acknowledgement.
    common::Duration silence{};
    /// Time for which connections have been refused without a break.
    common::Duration refusal{};
    bool leaving = false;
    /// The last acknowledgement is recent.
    bool present = false;
    /// It is, and the log of the member is nearly complete.
    bool caught_up = false;
  };

  [[nodiscard]] static Condition ConditionOf(const schema::Member& member,
                                             const std::vector<MemberContact>& contacts,
                                             common::LogIndex commit, common::Time leading_since,
                                             common::Time now);
  /// \returns true if the vote of the member should go to another member.
  [[nodiscard]] bool HasFailed(const Condition& condition) const;
  /// \returns true if the member is taken to be gone for good.
  [[nodiscard]] bool HasDeparted(const Condition& condition) const;

  MembershipPlannerOptions options_;
};

}  // namespace briarwood::control
