#include "briarwood/control/membership_manager.h"

#include <algorithm>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "briarwood/observability/log_line.h"

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;

/// An acknowledgement this long after the announcement comes from the next process of the member.
constexpr milliseconds kMaxLeaveDuration{2500};
/// A new leader does not know before this time which learners have caught up.
constexpr milliseconds kMinLeadership{400};
/// Changes made in a row before the state is published again. A group of nine needs fewer.
constexpr int kMaxChangesInARow = 32;

std::string Describe(const consensus::MembershipChange& change) {
  return std::visit(
      []<typename Change>(const Change& one) -> std::string {
        if constexpr (std::is_same_v<Change, consensus::AddLearner>) {
          return "add:" + std::to_string(one.member.id());
        } else if constexpr (std::is_same_v<Change, consensus::PromoteLearner>) {
          return "promote:" + std::to_string(one.id.value());
        } else if constexpr (std::is_same_v<Change, consensus::DemoteVoter>) {
          return "demote:" + std::to_string(one.id.value());
        } else if constexpr (std::is_same_v<Change, consensus::SetDeparted>) {
          return (one.departed ? "departed:" : "returned:") + std::to_string(one.id.value());
        } else {
          return "remove:" + std::to_string(one.id.value());
        }
      },
      change);
}

/// \returns the member that a change concerns.
std::uint64_t MemberOf(const consensus::MembershipChange& change) {
  return std::visit(
      []<typename Change>(const Change& one) {
        if constexpr (std::is_same_v<Change, consensus::AddLearner>) {
          return one.member.id();
        } else {
          return one.id.value();
        }
      },
      change);
}

/// Milliseconds for which the member has been silent and has refused connections; -1 if unknown.
std::pair<std::int64_t, std::int64_t> FailureOf(const std::vector<MemberContact>& contacts,
                                                std::uint64_t member, common::Time now) {
  const auto age = [now](const std::optional<common::Time>& since) -> std::int64_t {
    if (!since) return -1;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *since).count();
  };
  for (const MemberContact& contact : contacts) {
    if (contact.id.value() == member) return {age(contact.last_ack), age(contact.refused_since)};
  }
  return {-1, -1};
}

bool Votes(const schema::Membership& membership, std::uint64_t id) {
  const schema::Member* member = consensus::FindMember(membership, id);
  return member != nullptr && member->voter();
}

bool HasLearnerWithDisk(const schema::Membership& membership) {
  return std::any_of(membership.members().begin(), membership.members().end(),
                     [](const schema::Member& member) {
                       return !member.voter() && !member.without_disk() && !member.departed();
                     });
}

}  // namespace

void MembershipManager::MarkLeaving(std::vector<MemberContact>& contacts) {
  const std::lock_guard lock(mutex_);
  for (MemberContact& contact : contacts) {
    const auto announced = leaving_.find(contact.id.value());
    if (announced == leaving_.end()) continue;
    if (contact.last_ack && *contact.last_ack > announced->second + kMaxLeaveDuration) {
      leaving_.erase(announced);
    } else {
      contact.leaving = true;
    }
  }
}

std::optional<consensus::MembershipChange> MembershipManager::Next(NodeStatus& status,
                                                                   common::Time now) {
  if (status.role != consensus::Role::kLeader) return std::nullopt;
  common::Time leading_since;
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(led_term_, status.term) != status.term) leading_since_ = now;
    leading_since = leading_since_;
  }
  MarkLeaving(status.contacts);
  return planner_.Next(status.membership, status.id, status.contacts, status.commit_index,
                       leading_since, now);
}

void MembershipManager::Update(common::Time now) {
  for (int made = 0; made < kMaxChangesInARow; ++made) {
    NodeStatus status = context_.status();
    const auto change = Next(status, now);
    if (!change) return;
    changing_ = true;
    const auto changed = context_.change(*change);
    changing_ = false;
    const auto [silent_ms, refused_ms] = FailureOf(status.contacts, MemberOf(*change), now);
    context_.log(observability::LogLine("membership_change")
                     .Add("change", Describe(*change))
                     .Add("committed", changed.ok())
                     .Add("problem", changed.ok() ? std::string_view() : changed.error())
                     .Add("silent_ms", silent_ms)
                     .Add("refused_ms", refused_ms)
                     .Add("term", status.term.value())
                     .text());
    if (!changed.ok()) return;
  }
}

schema::LeaveResponse MembershipManager::HandleLeave(const schema::LeaveRequest& request,
                                                     common::Time now) {
  schema::LeaveResponse response;
  NodeStatus status = context_.status();
  if (status.role != consensus::Role::kLeader) {
    response.set_leader_rpc(status.leader_rpc);
    response.set_pending(true);
    return response;
  }
  {
    const std::lock_guard lock(mutex_);
    for (const std::uint64_t id : request.member_ids()) leaving_.try_emplace(id, now);
  }
  if (request.member_ids().empty()) return response;
  // The order matters: a change that ends in between is in the status that is read after it.
  const bool changing = changing_;
  status = context_.status();
  const bool replaceable =
      Next(status, now).has_value() ||
      (HasLearnerWithDisk(status.membership) && now - leading_since() < kMinLeadership);
  response.set_pending(changing ||
                       (Votes(status.membership, request.member_ids(0)) && replaceable));
  return response;
}

common::Time MembershipManager::leading_since() const {
  const std::lock_guard lock(mutex_);
  return leading_since_;
}

schema::LeaveRequest MembershipManager::MakeLeaveRequest(common::MemberId self) const {
  schema::LeaveRequest request;
  request.add_member_ids(self.value());
  const std::lock_guard lock(mutex_);
  for (const auto& [id, announced] : leaving_) request.add_member_ids(id);
  return request;
}

}  // namespace briarwood::control
