#include "briarwood/control/membership_planner.h"

#include <algorithm>

namespace briarwood::control {
namespace {

/// Log entries that a learner may lack when it becomes a voter. They are replicated in one round.
constexpr std::uint64_t kMaxReadyLag = 16;
/// Maximum age of the last acknowledgement of a learner that is ready.
constexpr std::chrono::milliseconds kMaxReadyAckAge{500};

const MemberContact* Find(const std::vector<MemberContact>& contacts, std::uint64_t id) {
  const auto found = std::find_if(contacts.begin(), contacts.end(),
                                  [&](const auto& contact) { return contact.id.value() == id; });
  return found == contacts.end() ? nullptr : &*found;
}

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

std::optional<consensus::MembershipChange> MembershipPlanner::Next(
    const schema::Membership& membership, common::MemberId self,
    const std::vector<MemberContact>& contacts, common::LogIndex commit, common::Time leading_since,
    common::Time now) const {
  const auto silence = [&](const schema::Member& member) -> common::Duration {
    const MemberContact* contact = Find(contacts, member.id());
    const common::Time silent_since = contact != nullptr && contact->last_ack
                                          ? std::max(*contact->last_ack, leading_since)
                                          : leading_since;
    return now - silent_since;
  };
  std::size_t counted = 0;
  std::size_t voters = 0;
  const schema::Member* silent_voter = nullptr;
  const schema::Member* ready_learner = nullptr;
  for (const schema::Member& member : membership.members()) {
    if (member.voter()) ++voters;
    if (!member.without_disk()) ++counted;
    if (member.id() == self.value()) continue;
    if (IsSuperseded(membership, member)) {
      return consensus::RemoveMember{common::MemberId(member.id())};
    }
    if (member.voter()) {
      if (silence(member) < options_.voter_timeout) continue;
      if (silent_voter == nullptr || silence(member) > silence(*silent_voter)) {
        silent_voter = &member;
      }
      continue;
    }
    if (silence(member) > options_.learner_timeout) {
      return consensus::RemoveMember{common::MemberId(member.id())};
    }
    const MemberContact* contact = Find(contacts, member.id());
    const bool ready = !member.without_disk() && contact != nullptr && contact->last_ack &&
                       now - *contact->last_ack < kMaxReadyAckAge &&
                       contact->match.value() + kMaxReadyLag >= commit.value();
    if (ready && ready_learner == nullptr) ready_learner = &member;
  }
  if (ready_learner == nullptr) return std::nullopt;
  const std::size_t target = std::max(options_.voters, LargestOddUpTo(counted));
  if (voters < target) {
    return consensus::PromoteLearner{common::MemberId(ready_learner->id())};
  }
  if (silent_voter != nullptr) {
    return consensus::RemoveMember{common::MemberId(silent_voter->id())};
  }
  return std::nullopt;
}

}  // namespace briarwood::control
