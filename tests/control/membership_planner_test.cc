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

// Guards against a leader that removes a voter for being silent: it may come back, and without a
// learner the group only becomes smaller.
TEST_F(MembershipPlannerTest, KeepsASilentVoterWithoutAReplacement) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(600));
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a vote that a restart of its member forgets, so that it may be given twice.
TEST_F(MembershipPlannerTest, GivesNoVoteToAMemberWithoutDisk) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(600));
  Add(4, false, milliseconds(10));
  membership_.mutable_members(3)->set_without_disk(true);
  EXPECT_EQ(Next(), "nothing");
  Add(5, false, milliseconds(10));
  EXPECT_EQ(Next(), "remove 3");
}

// Guards against a member with an empty disk that stays under its old identity, whose vote nobody
// gives any more.
TEST_F(MembershipPlannerTest, RemovesTheFormerIdentityOfAnAddress) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(2), 100, "10.0.0.9:1");
  Add(4, false, milliseconds(10), 0, "10.0.0.9:1");
  EXPECT_EQ(Next(), "remove 3");
}

// Guards against a group that stays at two voters after a repair: the next loss would stop it.
TEST_F(MembershipPlannerTest, PromotesALearnerWhereAVoteIsFree) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(), "promote 4");
}

// Guards against a vote for a learner that has not caught up, which would stand for the majority
// without the entries.
TEST_F(MembershipPlannerTest, WaitsUntilALearnerHasCaughtUp) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(4, false, milliseconds(10), 10);
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a replaced VM whose successor never gets a vote.
TEST_F(MembershipPlannerTest, ReplacesASilentVoterByAReadyLearner) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(3));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(), "remove 3");
}

// Guards against a fourth voter: an even group tolerates no more losses and needs more votes.
TEST_F(MembershipPlannerTest, KeepsALearnerWhileAllVotersAnswer) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a new leader that counts silence towards its predecessor.
TEST_F(MembershipPlannerTest, CountsSilenceFromTheStartOfTheLeadership) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(3));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(kNow - milliseconds(500)), "nothing");
}

// Guards against learners that pile up when joining processes die.
TEST_F(MembershipPlannerTest, ForgetsALearnerThatIsLongSilent) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, seconds(90));
  EXPECT_EQ(Next(), "remove 4");
}

}  // namespace
}  // namespace briarwood::control
