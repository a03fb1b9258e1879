#pragma once

#include <cstdint>
#include <variant>

#include "briarwood/common/ids.h"
#include "consensus.pb.h"

namespace briarwood::consensus {

/// Adds a non-voting member. Its id must never have been used before.
struct AddLearner {
  schema::Member member;
};

/// Makes a learner a voter. It must hold all entries that were committed when it was added.
struct PromoteLearner {
  common::MemberId id;
};

/// Makes a voter a learner, which keeps its log and can be promoted again.
struct DemoteVoter {
  common::MemberId id;
};

/// Records whether a learner is taken to be gone for good, so that later leaders know it.
struct SetDeparted {
  common::MemberId id;
  bool departed = false;
};

struct RemoveMember {
  common::MemberId id;
};

using MembershipChange =
    std::variant<AddLearner, PromoteLearner, DemoteVoter, SetDeparted, RemoveMember>;

enum class MembershipError : std::uint8_t {
  /// This member is not the leader, or is transferring leadership.
  kNotLeader,
  /// Another change is not committed yet, or the leader has not committed an entry of its own term.
  kChangePending,
  kUnknownMember,
  /// The id was used before.
  kIdUsed,
  kAlreadyVoter,
  kNotVoter,
  /// The learner does not hold the entries committed when it was added.
  kNotCaughtUp,
  kLastVoter,
};

[[nodiscard]] const char* ToString(MembershipError error) noexcept;

/// \returns the member with this id, or nullptr.
[[nodiscard]] const schema::Member* FindMember(const schema::Membership& membership,
                                               std::uint64_t id) noexcept;

}  // namespace briarwood::consensus
