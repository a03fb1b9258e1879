#include <algorithm>

#include "briarwood/consensus/membership.h"
#include "briarwood/consensus/raft.h"
#include "consensus/impl/raft_log.h"

namespace briarwood::consensus {

using ChangeResult = common::Result<schema::Membership, MembershipError>;

const char* ToString(MembershipError error) noexcept {
  switch (error) {
    case MembershipError::kNotLeader:
      return "this member is not the leader";
    case MembershipError::kChangePending:
      return "another membership change is not committed yet";
    case MembershipError::kUnknownMember:
      return "there is no such member";
    case MembershipError::kIdUsed:
      return "the member id was used before";
    case MembershipError::kAlreadyVoter:
      return "the member is a voter already";
    case MembershipError::kNotVoter:
      return "the member is not a voter";
    case MembershipError::kNotCaughtUp:
      return "the learner does not hold all entries committed when it was added";
    case MembershipError::kLastVoter:
      return "the last voter cannot be removed";
  }
  return "unknown membership error";
}

const schema::Member* FindMember(const schema::Membership& membership, std::uint64_t id) noexcept {
  for (const schema::Member& member : membership.members()) {
    if (member.id() == id) return &member;
  }
  return nullptr;
}

common::Result<LogPosition, MembershipError> Raft::ChangeMembership(
    const MembershipChange& change) {
  using PositionResult = common::Result<LogPosition, MembershipError>;
  if (role_ != Role::kLeader || transfer_target_ != 0) {
    return PositionResult::Failure(MembershipError::kNotLeader);
  }
  if (memberships_.rbegin()->first > commit_ || !CurrentTermCommitted()) {
    return PositionResult::Failure(MembershipError::kChangePending);
  }
  ChangeResult changed =
      std::visit([this](const auto& one) { return MembershipAfter(one); }, change);
  if (!changed.ok()) return PositionResult::Failure(changed.error());
  const std::optional<LogPosition> position =
      AppendAsLeader(schema::ENTRY_KIND_MEMBERSHIP, changed.value().SerializeAsString());
  RefreshProgress();
  return PositionResult::Success(*position);
}

ChangeResult Raft::MembershipAfter(const AddLearner& change) const {
  schema::Membership next = membership();
  std::uint64_t highest = next.highest_id();
  for (const schema::Member& member : next.members()) highest = std::max(highest, member.id());
  if (change.member.id() <= highest) return ChangeResult::Failure(MembershipError::kIdUsed);
  schema::Member& added = *next.add_members();
  added = change.member;
  added.set_voter(false);
  next.set_highest_id(change.member.id());
  return ChangeResult::Success(std::move(next));
}

ChangeResult Raft::MembershipAfter(const PromoteLearner& change) const {
  schema::Membership next = membership();
  for (schema::Member& member : *next.mutable_members()) {
    if (member.id() != change.id.value()) continue;
    if (member.voter()) return ChangeResult::Failure(MembershipError::kAlreadyVoter);
    const auto progress = progress_.find(member.id());
    // The latest membership entry is at or after the one that added the learner.
    const std::uint64_t required = std::max(memberships_.rbegin()->first, term_start_index_);
    if (progress == progress_.end() || progress->second.match < required) {
      return ChangeResult::Failure(MembershipError::kNotCaughtUp);
    }
    member.set_voter(true);
    member.set_departed(false);
    return ChangeResult::Success(std::move(next));
  }
  return ChangeResult::Failure(MembershipError::kUnknownMember);
}

ChangeResult Raft::MembershipAfter(const DemoteVoter& change) const {
  schema::Membership next = membership();
  for (schema::Member& member : *next.mutable_members()) {
    if (member.id() != change.id.value()) continue;
    if (!member.voter()) return ChangeResult::Failure(MembershipError::kNotVoter);
    if (VoterCount() == 1) return ChangeResult::Failure(MembershipError::kLastVoter);
    member.set_voter(false);
    return ChangeResult::Success(std::move(next));
  }
  return ChangeResult::Failure(MembershipError::kUnknownMember);
}

ChangeResult Raft::MembershipAfter(const SetDeparted& change) const {
  schema::Membership next = membership();
  for (schema::Member& member : *next.mutable_members()) {
    if (member.id() != change.id.value()) continue;
    if (member.voter()) return ChangeResult::Failure(MembershipError::kAlreadyVoter);
    member.set_departed(change.departed);
    return ChangeResult::Success(std::move(next));
  }
  return ChangeResult::Failure(MembershipError::kUnknownMember);
}

ChangeResult Raft::MembershipAfter(const RemoveMember& change) const {
  const schema::Member* removed = FindMember(membership(), change.id.value());
  if (removed == nullptr) return ChangeResult::Failure(MembershipError::kUnknownMember);
  if (removed->voter() && VoterCount() == 1) {
    return ChangeResult::Failure(MembershipError::kLastVoter);
  }
  schema::Membership next = membership();
  next.clear_members();
  for (const schema::Member& member : membership().members()) {
    if (member.id() != change.id.value()) *next.add_members() = member;
  }
  next.set_highest_id(std::max(membership().highest_id(), change.id.value()));
  return ChangeResult::Success(std::move(next));
}

}  // namespace briarwood::consensus
