#include "briarwood/control/membership_manager.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;

constexpr common::Time kNow{std::chrono::seconds(1000)};

class MembershipManagerTest : public testing::Test {
 protected:
  void SetUp() override {
    status_.id = common::MemberId(1);
    status_.role = consensus::Role::kLeader;
    status_.term = common::Term(3);
    status_.commit_index = common::LogIndex(100);
    for (std::uint64_t id = 1; id <= 4; ++id) {
      schema::Member& member = *status_.membership.add_members();
      member.set_id(id);
      member.set_voter(id < 4);
      member.set_rpc_address("10.0.0." + std::to_string(id) + ":1");
      if (id == 1) continue;
      status_.contacts.push_back({.id = common::MemberId(id),
                                  .match = common::LogIndex(100),
                                  .last_ack = kNow - milliseconds(10)});
    }
  }

  /// Commits changes in the status at once.
  common::Result<common::LogIndex> Change(const consensus::MembershipChange& change) {
    using IndexResult = common::Result<common::LogIndex>;
    if (fails_) return IndexResult::Failure("not committed in time");
    for (schema::Member& member : *status_.membership.mutable_members()) {
      if (const auto* promoted = std::get_if<consensus::PromoteLearner>(&change)) {
        if (promoted->id.value() == member.id()) member.set_voter(true);
      } else if (const auto* demoted = std::get_if<consensus::DemoteVoter>(&change)) {
        if (demoted->id.value() == member.id()) member.set_voter(false);
      } else if (const auto* set = std::get_if<consensus::SetDeparted>(&change)) {
        if (set->id.value() == member.id()) member.set_departed(set->departed);
      }
    }
    return IndexResult::Success(common::LogIndex(101));
  }

  [[nodiscard]] std::vector<std::uint64_t> Voters() const {
    std::vector<std::uint64_t> voters;
    for (const schema::Member& member : status_.membership.members()) {
      if (member.voter()) voters.push_back(member.id());
    }
    return voters;
  }

  static schema::LeaveRequest LeaveOf(std::uint64_t member) {
    schema::LeaveRequest request;
    request.add_member_ids(member);
    return request;
  }

  NodeStatus status_;
  bool fails_ = false;
  std::vector<std::string> lines_;
  MembershipManager manager_{
      {},
      {.status = [this] { return status_; },
       .change = [this](const consensus::MembershipChange& change) { return Change(change); },
       .log = [this](const std::string& line) { lines_.push_back(line); }}};
};

// Guards against a member that ends before its vote has been given to another one, and against one
// that waits for nothing.
TEST_F(MembershipManagerTest, AMemberThatStopsWaitsUntilItsVoteHasMoved) {
  EXPECT_TRUE(manager_.HandleLeave(LeaveOf(2), kNow).pending());
  fails_ = true;
  manager_.Update(kNow);
  EXPECT_TRUE(manager_.HandleLeave(LeaveOf(2), kNow).pending());
  fails_ = false;
  manager_.Update(kNow);
  EXPECT_EQ(Voters(), (std::vector<std::uint64_t>{1, 3, 4}));
  EXPECT_FALSE(manager_.HandleLeave(LeaveOf(2), kNow).pending());
}

// Guards against a member that stops with its vote because the new leader has not heard from the
// learner yet.
TEST_F(MembershipManagerTest, ANewLeaderLetsAMemberWaitUntilItKnowsTheLearners) {
  status_.contacts[2].last_ack.reset();
  EXPECT_TRUE(manager_.HandleLeave(LeaveOf(2), kNow).pending());
  EXPECT_FALSE(manager_.HandleLeave(LeaveOf(2), kNow + milliseconds(400)).pending());
}

// Guards against a member that is never promoted again because it announced an earlier stop.
TEST_F(MembershipManagerTest, AMemberThatIsBackIsNoLongerLeaving) {
  static_cast<void>(manager_.HandleLeave(LeaveOf(4), kNow));
  status_.contacts[0].refused_since = kNow - milliseconds(300);
  manager_.Update(kNow);
  EXPECT_EQ(Voters(), (std::vector<std::uint64_t>{1, 2, 3}));
  status_.contacts[2].last_ack = kNow + milliseconds(3000);
  manager_.Update(kNow + milliseconds(3010));
  EXPECT_EQ(Voters(), (std::vector<std::uint64_t>{1, 3, 4}));
}

// Guards against announcements that the next leader does not know.
TEST_F(MembershipManagerTest, ALeaderThatStopsPassesOnWhatWasAnnounced) {
  static_cast<void>(manager_.HandleLeave(LeaveOf(3), kNow));
  const schema::LeaveRequest request = manager_.MakeLeaveRequest(common::MemberId(1));
  ASSERT_EQ(request.member_ids_size(), 2);
  EXPECT_EQ(request.member_ids(0), 1U);
  EXPECT_EQ(request.member_ids(1), 3U);
}

// Guards against a change by a member that does not lead, and an answer that ends the wait for the
// leader.
TEST_F(MembershipManagerTest, OnlyTheLeaderChangesTheMembership) {
  status_.role = consensus::Role::kFollower;
  status_.leader_rpc = "10.0.0.2:1";
  status_.contacts[0].refused_since = kNow - milliseconds(300);
  manager_.Update(kNow);
  EXPECT_EQ(Voters(), (std::vector<std::uint64_t>{1, 2, 3}));
  const schema::LeaveResponse response = manager_.HandleLeave(LeaveOf(1), kNow);
  EXPECT_TRUE(response.pending());
  EXPECT_EQ(response.leader_rpc(), "10.0.0.2:1");
}

// Guards against changes whose reason the log does not show.
TEST_F(MembershipManagerTest, LogsTheEvidenceForAChange) {
  status_.contacts[0].refused_since = kNow - milliseconds(300);
  manager_.Update(kNow);
  ASSERT_EQ(lines_.size(), 3U);
  EXPECT_NE(lines_[1].find("change=demote:2"), std::string::npos) << lines_[1];
  EXPECT_NE(lines_[1].find("refused_ms="), std::string::npos) << lines_[1];
}

}  // namespace
}  // namespace briarwood::control
