#include "briarwood/control/membership_planner.h"

#include <gtest/gtest.h>

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kNow{seconds(1000)};
constexpr common::Time kLeadingSince{seconds(900)};

class MembershipPlannerTest : public testing::Test {
 protected:
  void Add(std::uint64_t id, bool voter, milliseconds silent, std::uint64_t match = 100,
           const std::string& address = "") {
    schema::Member& member = *membership_.add_members();
    member.set_id(id);
    member.set_voter(voter);
    member.set_rpc_address(address.empty() ? "10.0.0." + std::to_string(id) + ":1" : address);
    if (id == 1) return;
    contacts_.push_back(
        {.id = common::MemberId(id), .match = common::LogIndex(match), .last_ack = kNow - silent});
  }

  [[nodiscard]] std::string Next(common::Time leading_since = kLeadingSince) const {
    const auto change = MembershipPlanner({}).Next(membership_, common::MemberId(1), contacts_,
                                                   common::LogIndex(100), leading_since, kNow);
    if (!change) return "nothing";
    if (const auto* promote = std::get_if<consensus::PromoteLearner>(&*change)) {
      return "promote " + std::to_string(promote->id.value());
    }
    if (const auto* remove = std::get_if<consensus::RemoveMember>(&*change)) {
      return "remove " + std::to_string(remove->id.value());
    }
    return "add";
  }

  schema::Membership membership_;
  std::vector<MemberContact> contacts_;
};

// Guards against a leader that removes a silent voter without a replacement. The voter may
// reconnect, and without it the group only becomes smaller.
TEST_F(MembershipPlannerTest, KeepsASilentVoterWithoutAReplacement) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(600));
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a voter without a disk, which loses its vote with a restart and could vote twice
// in one term.
TEST_F(MembershipPlannerTest, DoesNotPromoteAMemberWithoutDisk) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(600));
  Add(4, false, milliseconds(10));
  membership_.mutable_members(3)->set_without_disk(true);
  EXPECT_EQ(Next(), "nothing");
  Add(5, false, milliseconds(10));
  EXPECT_EQ(Next(), "remove 3");
}

// Guards against a majority of the voters that is less than half of the members: the smaller side of
// a partition would commit (review/7).
TEST_F(MembershipPlannerTest, LetsALargerGroupHaveMoreVoters) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  Add(5, false, milliseconds(10));
  EXPECT_EQ(Next(), "promote 4");
}

// Guards against a voter that remains in the group after its disk was lost and its process joined
// again with a new id at the same address. The vote of the old id is never cast again.
TEST_F(MembershipPlannerTest, RemovesThePreviousMemberOfAnAddress) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(2), 100, "10.0.0.9:1");
  Add(4, false, milliseconds(10), 0, "10.0.0.9:1");
  EXPECT_EQ(Next(), "remove 3");
}

// Guards against a group that keeps two voters after the removal of the third, and would lose its
// majority with the next failure.
TEST_F(MembershipPlannerTest, PromotesALearnerWhenThereAreTooFewVoters) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(), "promote 4");
}

// Guards against the promotion of a learner that has not caught up, and would count towards the
// majority without the committed entries.
TEST_F(MembershipPlannerTest, WaitsUntilALearnerHasCaughtUp) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(4, false, milliseconds(10), 10);
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a failed voter that is never replaced, although a learner is ready.
TEST_F(MembershipPlannerTest, ReplacesASilentVoterByAReadyLearner) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(3));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(), "remove 3");
}

// Guards against a fourth voter: a group of four tolerates no more failures than one of three, and
// needs more votes.
TEST_F(MembershipPlannerTest, KeepsALearnerWhileAllVotersAnswer) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a new leader that counts the time before its leadership as silence.
TEST_F(MembershipPlannerTest, CountsSilenceFromTheStartOfTheLeadership) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(3));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(kNow - milliseconds(500)), "nothing");
}

// Guards against learners that accumulate when processes fail after they joined.
TEST_F(MembershipPlannerTest, RemovesALearnerThatIsSilentForLong) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, seconds(90));
  EXPECT_EQ(Next(), "remove 4");
}

}  // namespace
}  // namespace briarwood::control
