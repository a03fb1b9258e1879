#include "briarwood/consensus/raft.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/common/digest.h"

namespace briarwood::consensus {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{20};
constexpr std::array<std::uint64_t, 3> kAll = {1, 2, 3};

/// Members whose writes become durable immediately, except on disks that a test marks as slow.
class RaftTest : public testing::Test {
 protected:
  void Add(std::uint64_t id, const schema::Membership& membership, DurableState state = {},
           const Timing& timing = {}) {
    auto created = Raft::Create({.id = common::MemberId(id),
                                 .initial_membership = membership,
                                 .timing = timing,
                                 .seed = id},
                                std::move(state), now_);
    if (!created.ok()) throw common::Error(created.error());
    members_.emplace(id, std::move(created).value());
  }

  static schema::Membership Voters(std::uint64_t count) {
    schema::Membership membership;
    for (std::uint64_t id = 1; id <= count; ++id) {
      schema::Member& member = *membership.add_members();
      member.set_id(id);
      member.set_voter(true);
    }
    return membership;
  }

  static schema::ConsensusMessage Message(std::uint64_t from, std::uint64_t to,
                                          std::uint64_t term) {
    schema::ConsensusMessage message;
    message.set_from(from);
    message.set_to(to);
    message.set_term(term);
    return message;
  }

  /// Executes queued actions until none are left; messages for which `drop` returns true are
  /// dropped.
  template <typename Drop>
  void DeliverAll(Drop drop) {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& entry : members_) {
        const std::uint64_t id = entry.first;
        for (Action& action : entry.second.TakeActions()) {
          busy = true;
          std::visit([&](auto& one) { Execute(id, std::move(one), drop); }, action);
        }
      }
    }
  }
  void DeliverAll() {
    DeliverAll([](const schema::ConsensusMessage&) { return false; });
  }
  template <typename Drop>
  void AdvanceTime(common::Duration time, Drop drop) {
    for (const common::Time end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [id, raft] : members_) raft.Tick(now_);
      DeliverAll(drop);
    }
  }
  void AdvanceTime(common::Duration time) {
    AdvanceTime(time, [](const schema::ConsensusMessage&) { return false; });
  }

  Raft& Leader() {
    for (auto& [id, raft] : members_) {
      if (raft.role() == Role::kLeader) return raft;
    }
    throw common::Error("no leader");
  }

  std::map<std::uint64_t, Raft> members_;
  std::set<std::uint64_t> slow_disks_;
  std::map<std::uint64_t, Ticket> delayed_writes_;
  common::Time now_{std::chrono::hours(1)};

 private:
  template <typename Drop>
  void Execute(std::uint64_t /*id*/, SendMessage action, Drop drop) {
    const auto receiver = members_.find(action.message.to());
    if (drop(action.message) || receiver == members_.end()) return;
    receiver->second.Receive(action.message, now_);
  }
  template <typename Persist, typename Drop>
  void Execute(std::uint64_t id, Persist action, Drop /*drop*/) {
    if constexpr (requires { action.ticket; }) {
      if (slow_disks_.contains(id)) {
        delayed_writes_[id] = action.ticket;
      } else {
        members_.at(id).Persisted(action.ticket, now_);
      }
    }
  }
};

// Guards against votes and entries that take effect before they are durable.
TEST_F(RaftTest, VotesAndEntriesCountOnlyOnceDurable) {
  for (const std::uint64_t id : kAll) Add(id, Voters(3));
  // Member 1 can start an election, but the votes of the others are not durable.
  slow_disks_ = {2, 3};
  AdvanceTime(milliseconds(3000));
  for (auto& [id, raft] : members_) EXPECT_NE(raft.role(), Role::kLeader) << id;

  slow_disks_.clear();
  for (const auto& [id, ticket] : delayed_writes_) members_.at(id).Persisted(ticket, now_);
  AdvanceTime(milliseconds(3000));
  Raft& leader = Leader();
  const common::LogIndex before = leader.commit_index();
  for (auto& [id, raft] : members_) {
    if (id != leader.id().value()) slow_disks_.insert(id);
  }
  ASSERT_TRUE(leader.Propose("a"));
  AdvanceTime(milliseconds(100));
  EXPECT_EQ(leader.commit_index(), before);
  const std::uint64_t one = *slow_disks_.begin();
  members_.at(one).Persisted(delayed_writes_.at(one), now_);
  AdvanceTime(milliseconds(100));
  EXPECT_GT(leader.commit_index(), before);
}

// Guards against two votes of one member in one term, and against a vote that is granted before it
// is durable.
TEST_F(RaftTest, VotesOncePerTermOnceDurable) {
  Add(1, Voters(3));
  using VoteReplies = std::vector<std::pair<std::uint64_t, bool>>;
  VoteReplies replies;
  const auto collect = [&](const schema::ConsensusMessage& message) {
    replies.emplace_back(message.to(), message.vote_response().granted());
    return true;
  };
  slow_disks_ = {1};
  for (const std::uint64_t candidate : std::vector<std::uint64_t>{2, 3, 2}) {
    schema::ConsensusMessage request = Message(candidate, 1, 5);
    request.mutable_vote_request();
    members_.at(1).Receive(request, now_);
    DeliverAll(collect);
  }
  EXPECT_EQ(replies, VoteReplies());
  members_.at(1).Persisted(delayed_writes_.at(1), now_);
  DeliverAll(collect);
  EXPECT_EQ(replies, (VoteReplies{{2, true}, {3, false}, {2, true}}));
}

// Guards against an acknowledgement to a previous leader that is sent after the entry was replaced.
TEST_F(RaftTest, DropsAcknowledgementsOfEarlierTerms) {
  Add(1, Voters(3));
  slow_disks_ = {1};
  std::vector<std::uint64_t> terms;
  const auto collect = [&](const schema::ConsensusMessage& message) {
    terms.push_back(message.term());
    return true;
  };
  for (const std::uint64_t leader : std::vector<std::uint64_t>{2, 3}) {
    schema::ConsensusMessage request = Message(leader, 1, leader + 3);
    schema::LogEntry& entry = *request.mutable_append_request()->add_entries();
    entry.set_index(1);
    entry.set_term(leader + 3);
    members_.at(1).Receive(request, now_);
    DeliverAll(collect);
  }
  members_.at(1).Persisted(delayed_writes_.at(1), now_);
  DeliverAll(collect);
  EXPECT_EQ(terms, std::vector<std::uint64_t>{6});
}

// Guards against a vote within the election timeout after contact with a leader, which its lease
// relies on: after a restart, and after the term was raised by a message that is not from a leader.
TEST_F(RaftTest, RejectsVotesWithinTheElectionTimeout) {
  const common::Duration vote_rejection_period = Timing().election_timeout;
  DurableState state;
  state.hard_state.set_term(5);
  Add(1, Voters(3), state);
  const auto votes_for = [&](std::uint64_t candidate, std::uint64_t term) {
    schema::ConsensusMessage request = Message(candidate, 1, term);
    request.mutable_vote_request();
    members_.at(1).Receive(request, now_);
    bool granted = false;
    DeliverAll([&](const schema::ConsensusMessage& message) {
      granted = granted || message.vote_response().granted();
      return true;
    });
    return granted;
  };
  now_ += vote_rejection_period - milliseconds(1);
  EXPECT_FALSE(votes_for(3, 6));
  now_ += milliseconds(1);
  EXPECT_TRUE(votes_for(3, 6));

  schema::ConsensusMessage heartbeat = Message(3, 1, 6);
  heartbeat.mutable_append_request();
  members_.at(1).Receive(heartbeat, now_);
  schema::ConsensusMessage higher_term_message = Message(2, 1, 7);
  higher_term_message.mutable_append_response();
  members_.at(1).Receive(higher_term_message, now_);
  now_ += vote_rejection_period - milliseconds(1);
  EXPECT_FALSE(votes_for(2, 7));
  now_ += milliseconds(1);
  EXPECT_TRUE(votes_for(2, 7));
}

// Guards against a lease of a leader with a slow clock that outlasts the election timeout of a
// follower with a fast one, and against a lease that is kept after a leadership transfer.
TEST_F(RaftTest, LeaseEndsBeforeAnyVoteAndOnLeadershipTransfer) {
  for (const std::uint64_t id : kAll) Add(id, Voters(3));
  AdvanceTime(milliseconds(3000));
  Raft& leader = Leader();
  const Timing timing;
  // The round that the lease is measured from was sent at the end of AdvanceTime at the latest.
  ASSERT_TRUE(leader.lease_end());
  const common::Duration lease = *leader.lease_end() - now_;
  EXPECT_GT(lease, timing.election_timeout / 2);
  EXPECT_LE(common::ToSeconds(timing.lease()) / (1 - timing.max_clock_drift),
            common::ToSeconds(timing.election_timeout) / (1 + timing.max_clock_drift));
  EXPECT_LE(lease, timing.lease());
  EXPECT_TRUE(leader.TransferLeadership({}, now_));
  DeliverAll(
      [](const schema::ConsensusMessage& message) { return message.has_transfer_leadership(); });
  EXPECT_EQ(leader.role(), Role::kLeader);
  EXPECT_FALSE(leader.lease_end());
}

// Guards against a loaded leader that keeps its leadership and may send no order for seconds,
// because acknowledgements that take 120 ms use up a lease of 300 ms with a margin for one of 600
// ms.
TEST_F(RaftTest, SlowAcknowledgementsLeaveTimeForOrdersWithAShortElectionTimeout) {
  const Timing timing{.heartbeat = milliseconds(60), .election_timeout = milliseconds(300)};
  for (const std::uint64_t id : kAll) Add(id, Voters(3), {}, timing);
  AdvanceTime(milliseconds(3000));
  Raft& leader = Leader();
  const common::Term term = leader.term();
  std::vector<std::pair<common::Time, schema::ConsensusMessage>> delayed;
  const auto delay_acknowledgements = [&](const schema::ConsensusMessage& message) {
    if (!message.has_append_response()) return false;
    delayed.emplace_back(now_ + milliseconds(120), message);
    return true;
  };
  for (const common::Time end = now_ + milliseconds(3000); now_ < end;) {
    AdvanceTime(kStep, delay_acknowledgements);
    std::erase_if(delayed, [&](const auto& message) {
      if (message.first > now_) return false;
      leader.Receive(message.second, now_);
      return true;
    });
    ASSERT_TRUE(leader.lease_end());
    EXPECT_LT(now_ + timing.send_margin(), *leader.lease_end());
  }
  EXPECT_EQ(leader.term(), term);
}

// Guards against committing entries of earlier terms only because a majority stores them; a later
// leader could still replace them.
TEST_F(RaftTest, EarlierTermsCommitOnlyWithAnEntryOfTheCurrentTerm) {
  DurableState state;
  state.hard_state.set_term(2);
  for (std::uint64_t index = 1; index <= 2; ++index) {
    schema::LogEntry& entry = state.entries.emplace_back();
    entry.set_index(index);
    entry.set_term(index);
    entry.set_kind(schema::ENTRY_KIND_COMMAND);
  }
  for (const std::uint64_t id : kAll) Add(id, Voters(3), state);
  AdvanceTime(milliseconds(3000), [](const schema::ConsensusMessage& message) {
    return message.append_request().entries_size() > 0;
  });
  EXPECT_EQ(Leader().commit_index(), common::LogIndex(0));
  AdvanceTime(milliseconds(500));
  EXPECT_EQ(Leader().commit_index(), common::LogIndex(3));
}

// Guards against a snapshot transfer that restarts from the beginning after a connection failure.
TEST_F(RaftTest, SnapshotTransferResumesFromTheOffset) {
  constexpr std::size_t kChunks = 8;
  constexpr std::size_t kChunkBytes = std::size_t{256} * 1024;
  DurableState state;
  state.hard_state.set_term(3);
  const auto data = std::make_shared<const std::string>(kChunks * kChunkBytes, 's');
  state.snapshot.set_index(1000);
  state.snapshot.set_term(3);
  *state.snapshot.mutable_membership() = Voters(1);
  state.snapshot.set_size_bytes(data->size());
  state.snapshot.set_checksum(common::Hash64(*data));
  state.snapshot_data = data;
  Add(1, {}, state);
  Add(2, {});
  AdvanceTime(milliseconds(3000));
  schema::Member learner;
  learner.set_id(2);
  ASSERT_TRUE(Leader().ChangeMembership(AddLearner{learner}).ok());

  std::size_t sent = 0;
  std::size_t dropped = 0;
  const auto drop = [&](const schema::ConsensusMessage& message) {
    if (!message.has_snapshot_chunk()) return sent == 3 && dropped < 10;
    const bool broken = sent == 3 && dropped < 10;
    broken ? ++dropped : ++sent;
    return broken;
  };
  AdvanceTime(milliseconds(10'000), drop);
  EXPECT_GT(dropped, 0U);
  EXPECT_LE(sent, kChunks + 1);
  EXPECT_EQ(members_.at(2).commit_index(), Leader().commit_index());
  EXPECT_GE(members_.at(2).commit_index().value(), 1000U);
}

// Guards against a learner that votes before it has the entries committed when it was added, and
// against reusing the id of a member that lost its disk.
TEST_F(RaftTest, PromotionNeedsTheEntriesAndIdsAreNotReused) {
  Add(1, Voters(1));
  AdvanceTime(milliseconds(3000));
  schema::Member learner;
  learner.set_id(2);
  ASSERT_TRUE(Leader().ChangeMembership(AddLearner{learner}).ok());
  AdvanceTime(milliseconds(100));
  const auto early = Leader().ChangeMembership(PromoteLearner{common::MemberId(2)});
  ASSERT_FALSE(early.ok());
  EXPECT_EQ(early.error(), MembershipError::kNotCaughtUp);
  Add(2, {});
  AdvanceTime(milliseconds(1000));
  ASSERT_TRUE(Leader().ChangeMembership(PromoteLearner{common::MemberId(2)}).ok());
  AdvanceTime(milliseconds(500));
  ASSERT_TRUE(Leader().ChangeMembership(RemoveMember{common::MemberId(2)}).ok());
  AdvanceTime(milliseconds(500));
  const auto reused = Leader().ChangeMembership(AddLearner{learner});
  ASSERT_FALSE(reused.ok());
  EXPECT_EQ(reused.error(), MembershipError::kIdUsed);
}

// Guards against a leadership that is handed to a voter that has stopped: its log is as long as the
// others' while nothing is written.
TEST_F(RaftTest, TransfersLeadershipToAVoterThatAnswers) {
  for (const std::uint64_t id : kAll) Add(id, Voters(3));
  AdvanceTime(milliseconds(3000));
  Raft& leader = Leader();
  const std::uint64_t stopped = leader.id().value() == 1 ? 2 : 1;
  const std::uint64_t other = 6 - stopped - leader.id().value();
  const auto drop = [stopped](const schema::ConsensusMessage& message) {
    return message.from() == stopped || message.to() == stopped;
  };
  AdvanceTime(milliseconds(1000), drop);
  ASSERT_TRUE(leader.TransferLeadership({}, now_));
  AdvanceTime(milliseconds(200), drop);
  EXPECT_EQ(members_.at(other).role(), Role::kLeader);
}

}  // namespace
}  // namespace briarwood::consensus
