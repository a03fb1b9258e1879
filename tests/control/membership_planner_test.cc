#include "briarwood/control/membership_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

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

  MemberContact& Contact(std::uint64_t id) {
    return *std::find_if(contacts_.begin(), contacts_.end(),
                         [id](const MemberContact& contact) { return contact.id.value() == id; });
  }

  void SetVoter(std::uint64_t id, bool voter) {
    for (schema::Member& member : *membership_.mutable_members()) {
      if (member.id() == id) member.set_voter(voter);
    }
  }

  void SetDeparted(std::uint64_t id, bool departed) {
    for (schema::Member& member : *membership_.mutable_members()) {
      if (member.id() == id) member.set_departed(departed);
    }
  }

  [[nodiscard]] std::string Next(common::Time leading_since = kLeadingSince) const {
    const auto change = MembershipPlanner({}).Next(membership_, common::MemberId(1), contacts_,
                                                   common::LogIndex(100), leading_since, kNow);
    if (!change) return "nothing";
    if (const auto* promote = std::get_if<consensus::PromoteLearner>(&*change)) {
      return "promote " + std::to_string(promote->id.value());
    }
    if (const auto* demote = std::get_if<consensus::DemoteVoter>(&*change)) {
      return "demote " + std::to_string(demote->id.value());
    }
    if (const auto* set = std::get_if<consensus::SetDeparted>(&*change)) {
      return (set->departed ? "departed " : "returned ") + std::to_string(set->id.value());
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
  EXPECT_EQ(Next(), "promote 5");
  SetVoter(5, true);
  EXPECT_EQ(Next(), "demote 3");
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

// Guards against a failed voter that is never replaced, although a learner is ready, and against
// one that loses its log with its vote although it was only cut off.
TEST_F(MembershipPlannerTest, ReplacesASilentVoterByAReadyLearner) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(3));
  Add(4, false, milliseconds(10));
  EXPECT_EQ(Next(), "promote 4");
  SetVoter(4, true);
  EXPECT_EQ(Next(), "demote 3");
  SetVoter(3, false);
  EXPECT_EQ(Next(), "departed 3");
  SetDeparted(3, true);
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a loss of the majority by the next failure after a voter was killed: the vote was
// moved only after 1.5 s of silence.
TEST_F(MembershipPlannerTest, ReplacesAVoterThatRefusesConnections) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(310));
  Add(4, false, milliseconds(10));
  Contact(3).refused_since = kNow - milliseconds(100);
  EXPECT_EQ(Next(), "nothing");
  Contact(3).refused_since = kNow - milliseconds(250);
  EXPECT_EQ(Next(), "promote 4");
  SetVoter(4, true);
  EXPECT_EQ(Next(), "demote 3");
}

// Guards against a member that stops with its vote while a learner is ready (review/6).
TEST_F(MembershipPlannerTest, ReplacesAVoterThatAnnouncedItsStop) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  Contact(3).leaving = true;
  EXPECT_EQ(Next(), "promote 4");
  SetVoter(4, true);
  EXPECT_EQ(Next(), "demote 3");
  SetVoter(3, false);
  EXPECT_EQ(Next(), "departed 3");
  SetDeparted(3, true);
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a majority of the voters that is less than half of the members: the smaller side
// of a partition would commit (review/7).
TEST_F(MembershipPlannerTest, LetsALargerGroupHaveMoreVoters) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  Add(5, false, milliseconds(10));
  EXPECT_EQ(Next(), "promote 4");
  SetVoter(4, true);
  EXPECT_EQ(Next(), "promote 5");
  SetVoter(5, true);
  EXPECT_EQ(Next(), "nothing");
  Add(6, false, milliseconds(10));
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a side of a partition that demotes the members on the other side, and could commit
// as a minority at the next partition.
TEST_F(MembershipPlannerTest, KeepsTheVotesOfMembersThatAreOnlySilent) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, true, seconds(20));
  Add(5, true, seconds(20));
  EXPECT_EQ(Next(), "nothing");
}

// Guards against five voters that remain when two of five members have stopped for good, so that
// all of the other three are needed.
TEST_F(MembershipPlannerTest, DemotesVotersThatAreGoneWhenTheGroupShrinks) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, true, milliseconds(5100));
  Add(5, true, milliseconds(4100));
  Contact(4).leaving = true;
  Contact(5).leaving = true;
  EXPECT_EQ(Next(), "demote 4");
  SetVoter(4, false);
  EXPECT_EQ(Next(), "demote 5");
  SetVoter(5, false);
  EXPECT_EQ(Next(), "departed 5");
  SetDeparted(5, true);
  EXPECT_EQ(Next(), "departed 4");
  SetDeparted(4, true);
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a new leader that counts members which are gone, and so keeps the vote of the next
// one that fails.
TEST_F(MembershipPlannerTest, ANewLeaderDoesNotCountRecordedDepartures) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(310));
  Add(4, false, seconds(20));
  Add(5, false, milliseconds(10));
  SetDeparted(4, true);
  contacts_[2].last_ack.reset();
  Contact(3).refused_since = kNow - milliseconds(300);
  EXPECT_EQ(Next(kNow - milliseconds(600)), "promote 5");
  SetVoter(5, true);
  EXPECT_EQ(Next(kNow - milliseconds(600)), "demote 3");
}

// Guards against a new leader that counts a learner before it has heard from it, and gives a vote
// to a spare member instead of replacing the next member that fails.
TEST_F(MembershipPlannerTest, ANewLeaderCountsLearnersThatAnswer) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  Add(5, false, milliseconds(10));
  Contact(4).last_ack.reset();
  EXPECT_EQ(Next(kNow - milliseconds(100)), "nothing");
}

// Guards against a member that is back and still does not count.
TEST_F(MembershipPlannerTest, CountsADepartedMemberThatIsBack) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  Add(5, false, milliseconds(10), 10);
  SetDeparted(5, true);
  EXPECT_EQ(Next(), "promote 4");
  SetVoter(4, true);
  EXPECT_EQ(Next(), "returned 5");
}

// Guards against a group that counts a member that does not listen any more for as long as one that
// is only silent.
TEST_F(MembershipPlannerTest, DemotesVotersThatRefuseConnectionsForLong) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, true, seconds(6));
  Add(5, true, seconds(5));
  Contact(5).refused_since = kNow - milliseconds(4900);
  Contact(4).refused_since = kNow - milliseconds(4900);
  EXPECT_EQ(Next(), "nothing");
  Contact(4).refused_since = kNow - milliseconds(5000);
  EXPECT_EQ(Next(), "demote 4");
  SetVoter(4, false);
  EXPECT_EQ(Next(), "demote 5");
}

// Guards against fewer voters than the losses to tolerate require, when members are down that may
// hold the only other copy.
TEST_F(MembershipPlannerTest, KeepsTheMinimumOfVoters) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, seconds(50));
  Contact(3).refused_since = kNow - seconds(50);
  Contact(3).leaving = true;
  EXPECT_EQ(Next(), "nothing");
}

// Guards against a group without a majority after three members were replaced one after the other:
// those that had lost their vote were still counted, so that the next one that failed kept it.
TEST_F(MembershipPlannerTest, DoesNotCountALearnerThatHasFailed) {
  Add(1, true, milliseconds(0));
  Add(2, true, seconds(2));
  Add(3, true, milliseconds(10));
  Add(4, false, seconds(6));
  Add(5, false, milliseconds(10));
  EXPECT_EQ(Next(), "promote 5");
  SetVoter(5, true);
  EXPECT_EQ(Next(), "demote 2");
}

// Guards against a member without a disk that raises the number of voters.
TEST_F(MembershipPlannerTest, CountsOnlyMembersWithADisk) {
  Add(1, true, milliseconds(0));
  Add(2, true, milliseconds(10));
  Add(3, true, milliseconds(10));
  Add(4, false, milliseconds(10));
  Add(5, false, milliseconds(10));
  membership_.mutable_members(4)->set_without_disk(true);
  EXPECT_EQ(Next(), "nothing");
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
