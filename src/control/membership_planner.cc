#include "briarwood/control/membership_planner.h"

#include <algorithm>
#include <utility>

namespace briarwood::control {
namespace {

/// Log entries that a learner may lack when it becomes a voter. They are replicated in one round.
constexpr std::uint64_t kMaxReadyLag = 16;
/// Maximum age of the last acknowledgement of a learner that is ready.
constexpr std::chrono::milliseconds kMaxReadyAckAge{500};

bool IsSuperseded(const schema::Membership& membership, const schema::Member& member) {
  return std::any_of(
      membership.members().begin(), membership.members().end(), [&](const schema::Member& other) {
        return other.id() > member.id() && other.rpc_address() == member.rpc_address();
      });
}

std::size_t LargestOddUpTo(std::size_t count) {
  return count % 2 == 0 && count > 0 ? count - 1 : count;
}

}  // namespace

MembershipPlanner::Condition MembershipPlanner::ConditionOf(
    const schema::Member& member, const std::vector<MemberContact>& contacts,
    common::LogIndex commit, common::Time leading_since, common::Time now) {
  const auto contact = std::find_if(contacts.begin(), contacts.end(),
                                    [&](const auto& one) { return one.id.value() == member.id(); });
  Condition condition;
  condition.silence = now - leading_since;
  if (contact == contacts.end()) return condition;
  if (contact->last_ack) {
    condition.silence = now - std::max(*contact->last_ack, leading_since);
    condition.present = now - *contact->last_ack < kMaxReadyAckAge;
    condition.caught_up =
        condition.present && contact->match.value() + kMaxReadyLag >= commit.value();
  }
  if (contact->refused_since) condition.refusal = now - *contact->refused_since;
  condition.leaving = contact->leaving;
  return condition;
}

bool MembershipPlanner::HasFailed(const Condition& condition) const {
  return condition.leaving || condition.refusal >= options_.refusal_timeout ||
         condition.silence >= options_.silence_timeout;
}

bool MembershipPlanner::HasDeparted(const Condition& condition) const {
  return (condition.leaving && condition.silence >= options_.departure_timeout) ||
         condition.refusal >= options_.departure_timeout ||
         condition.silence >= options_.absence_timeout;
}

std::optional<consensus::MembershipChange> MembershipPlanner::Next(
    const schema::Membership& membership, common::MemberId self,
    const std::vector<MemberContact>& contacts, common::LogIndex commit, common::Time leading_since,
    common::Time now) const {
  std::size_t counted = 0;
  std::size_t voters = 0;
  const schema::Member* ready_learner = nullptr;
  const schema::Member* newest_voter = nullptr;
  const schema::Member* failed_voter = nullptr;
  // A member that announced its stop precedes one that is only silent.
  std::pair<bool, common::Duration> failure;
  std::optional<consensus::MembershipChange> record;
  for (const schema::Member& member : membership.members()) {
    if (member.id() == self.value()) {
      ++counted;
      ++voters;
      continue;
    }
    if (IsSuperseded(membership, member)) {
      return consensus::RemoveMember{common::MemberId(member.id())};
    }
    const Condition condition = ConditionOf(member, contacts, commit, leading_since, now);
    // A learner that does not answer may have been replaced. To count it would keep the vote of the
    // next member that fails.
    const bool counts = member.voter() ? !HasDeparted(condition) : condition.present;
    if (!member.without_disk() && counts) ++counted;
    if (member.voter()) {
      ++voters;
      if (newest_voter == nullptr || member.id() > newest_voter->id()) newest_voter = &member;
      const std::pair observed(condition.leaving, condition.silence);
      if (HasFailed(condition) && (failed_voter == nullptr || observed > failure)) {
        failed_voter = &member;
        failure = observed;
      }
      continue;
    }
    if (condition.silence > options_.learner_timeout) {
      return consensus::RemoveMember{common::MemberId(member.id())};
    }
    const bool departed = HasFailed(condition) || (member.departed() && !condition.present);
    if (departed != member.departed()) {
      record = consensus::SetDeparted{.id = common::MemberId(member.id()), .departed = departed};
    }
    const bool ready = !member.without_disk() && condition.caught_up && !HasFailed(condition);
    if (ready && ready_learner == nullptr) ready_learner = &member;
  }
  const std::size_t target = std::max(options_.min_voters, LargestOddUpTo(counted));
  const bool replaces = voters == target && failed_voter != nullptr;
  // The promotion comes first: with the additional voter no member that runs becomes unnecessary
  // for a majority, and one more of them holds the log.
  if (ready_learner != nullptr && (voters < target || replaces)) {
    return consensus::PromoteLearner{common::MemberId(ready_learner->id())};
  }
  if (voters <= target) return record;
  // A new leader has not heard from all learners yet, and may count too few members.
  if (failed_voter == nullptr && now - leading_since < options_.silence_timeout) return record;
  const schema::Member* demoted = failed_voter != nullptr ? failed_voter : newest_voter;
  return consensus::DemoteVoter{common::MemberId(demoted->id())};
}

}  // namespace briarwood::control
