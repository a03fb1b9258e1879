#include "briarwood/control/replicated_node.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/rpc/client.h"
#include "node_group.h"

namespace briarwood::control {
namespace {

using common::TimerService;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a follower that accepts a proposal, or rejects it without the address of the
// leader.
TEST(ReplicatedNodeTest, FollowerNamesTheLeaderAndConfirmsItsState) {
  NodeGroup group(3);
  const auto leader = group.WaitLeader();
  ASSERT_TRUE(leader);
  ASSERT_TRUE(group.Write("a"));
  const std::size_t follower = (*leader + 1) % 3;
  ASSERT_TRUE(Eventually(
      [&] { return group.node(follower).status().leader_rpc == group.AddressOf(*leader); }));
  const auto rejected = group.node(follower).Propose(RegisterCommand("b"), seconds(1));
  EXPECT_EQ(rejected.status(), schema::ProposeResponse::STATUS_NOT_LEADER);
  EXPECT_EQ(rejected.leader_rpc(), group.AddressOf(*leader));

  const common::Time written_at = TimerService::Now();
  ASSERT_TRUE(Eventually([&] {
    const auto confirmation = group.node(follower).confirmation();
    return confirmation && confirmation->confirmed_at > written_at;
  }));
  EXPECT_EQ(group.node(follower).WithState([](const auto& state) { return state.CountOf("a"); }),
            1U);
  EXPECT_FALSE(group.node(follower).MaySendOrders(TimerService::Now()));

  rpc::Client client({.address = group.AddressOf(follower)});
  const auto response =
      client.Call<schema::ReadFenceResponse>("ReadFence", schema::ReadFenceRequest());
  EXPECT_TRUE(response.confirmed());
  EXPECT_EQ(response.fence(), group.node(*leader).status().term.value());
}

// Guards against a command in the log that no member can read: it is refused before it is proposed.
TEST(ReplicatedNodeTest, LeaderRefusesACommandThatCannotBeReadBack) {
  NodeGroup group(3);
  const auto leader = group.WaitLeader();
  ASSERT_TRUE(leader);
  schema::Command command = RegisterCommand("a");
  command.mutable_record_action()->set_detail("\xed\xb0\x80");
  const auto refused = group.node(*leader).Propose(command, seconds(5));
  EXPECT_EQ(refused.status(), schema::ProposeResponse::STATUS_APPLIED);
  EXPECT_EQ(refused.result().code(), schema::RESULT_CODE_INVALID);
  ASSERT_TRUE(group.Write("b"));
}

// Guards against loss of acknowledged writes, and orders of a new leader during the lease of the
// previous one.
TEST(ReplicatedNodeTest, NextLeaderKeepsWritesAndWaitsBeforeOrders) {
  NodeGroup group(3);
  const auto first = group.WaitLeader();
  ASSERT_TRUE(first);
  for (int i = 0; i < 50; ++i) ASSERT_TRUE(group.Write("w" + std::to_string(i)));
  ASSERT_TRUE(Eventually([&] { return group.node(*first).MaySendOrders(TimerService::Now()); }));
  const auto lease_end_bound = TimerService::Now() + consensus::Timing().lease();
  group.Stop(*first);
  const auto second = group.WaitLeader();
  ASSERT_TRUE(second);
  ASSERT_TRUE(Eventually([&] { return group.node(*second).MaySendOrders(TimerService::Now()); }));
  EXPECT_GT(TimerService::Now(), lease_end_bound);
  for (int i = 0; i < 50; ++i) {
    const std::string name = "w" + std::to_string(i);
    EXPECT_EQ(group.node(*second).WithState([&](const auto& s) { return s.CountOf(name); }), 1U);
  }
  group.Restart(*first);
  ASSERT_TRUE(group.Write("after"));
  EXPECT_TRUE(Eventually([&] {
    return group.node(*first).WithState([](const auto& s) { return s.CountOf("after"); }) == 1;
  }));
}

// Guards against duties that miss the moments in which a loaded leader may send, and against a wait
// that holds up the other work of a member that does not lead.
TEST(ReplicatedNodeTest, LeaderWaitsToSendOrdersAndOtherMembersDoNot) {
  NodeGroup group(3);
  const auto leader = group.WaitLeader();
  ASSERT_TRUE(leader);
  EXPECT_TRUE(group.node(*leader).WaitToSendOrders(seconds(30)));
  const common::Time deadline = TimerService::Now() + seconds(30);
  EXPECT_FALSE(group.node((*leader + 1) % 3).WaitToSendOrders(seconds(30)));
  EXPECT_LT(TimerService::Now(), deadline);

  group.Stop((*leader + 1) % 3);
  group.Stop((*leader + 2) % 3);
  ASSERT_TRUE(Eventually([&] { return !group.node(*leader).MaySendOrders(TimerService::Now()); }));
  EXPECT_FALSE(group.node(*leader).WaitToSendOrders(seconds(30)));
  EXPECT_LT(TimerService::Now(), deadline);
}

// Guards against loss of committed writes when a second member fails right after a replacement.
TEST(ReplicatedNodeTest, SurvivesLossOfAMemberRightAfterAReplacement) {
  NodeGroup group(3, 40);
  ASSERT_TRUE(group.WaitLeader());
  for (int i = 0; i < 100; ++i) ASSERT_TRUE(group.Write("w" + std::to_string(i)));
  const std::size_t lost = (*group.WaitLeader() + 1) % 3;
  group.Stop(lost);

  const std::size_t joined = group.StartJoining();
  auto leader = group.WaitLeader();
  ASSERT_TRUE(leader);
  RegisterNode& leader_node = group.node(*leader);
  ASSERT_TRUE(leader_node.Remove(NodeGroup::IdOf(lost), seconds(10)).ok());
  ASSERT_TRUE(leader_node.AddLearner(group.MemberOf(joined), seconds(10)).ok());
  ASSERT_TRUE(
      Eventually([&] { return leader_node.Promote(NodeGroup::IdOf(joined), seconds(10)).ok(); }));
  group.Stop(*leader);

  ASSERT_TRUE(group.Write("after"));
  for (std::size_t slot = 0; slot < group.size(); ++slot) {
    if (!group.running(slot)) continue;
    ASSERT_TRUE(Eventually([&] {
      return group.node(slot).WithState([](const auto& s) { return s.CountOf("after"); }) == 1;
    }));
    for (int i = 0; i < 100; ++i) {
      const std::string name = "w" + std::to_string(i);
      EXPECT_EQ(group.node(slot).WithState([&](const auto& s) { return s.CountOf(name); }), 1U);
    }
  }
}

// Guards against a member that continues after a disk failure, even if the disk recovers.
TEST(ReplicatedNodeTest, FailedSyncEndsTheMember) {
  std::vector<std::shared_ptr<storage::MemoryDisk>> disks(3);
  for (auto& disk : disks) disk = std::make_shared<storage::MemoryDisk>();
  NodeGroup group(3, 10'000, disks);
  const auto leader = group.WaitLeader();
  ASSERT_TRUE(leader);
  ASSERT_TRUE(group.Write("a"));
  disks[*leader]->set_sync_fails(true);
  const auto answer = group.node(*leader).Propose(RegisterCommand("b"), seconds(10));
  EXPECT_NE(answer.status(), schema::ProposeResponse::STATUS_APPLIED);
  ASSERT_TRUE(Eventually([&] { return group.failures(*leader) == 1; }));
  disks[*leader]->set_sync_fails(false);
  EXPECT_FALSE(group.node(*leader).MaySendOrders(TimerService::Now()));
  EXPECT_NE(group.node(*leader).status().failure, "");
  ASSERT_TRUE(group.Write("c"));
  EXPECT_EQ(group.failures(*leader), 1);
}

// Guards against members that end because their disks are full, against acknowledged writes that
// are on no disk, and against a group that does not go on once there is room.
TEST(ReplicatedNodeTest, GoesOnAfterFullDisks) {
  std::vector<std::shared_ptr<storage::MemoryDisk>> disks(3);
  for (auto& disk : disks) disk = std::make_shared<storage::MemoryDisk>();
  NodeGroup group(3, 10'000, disks);
  ASSERT_TRUE(group.WaitLeader());
  ASSERT_TRUE(group.Write("a"));
  for (std::size_t full = 0; full < disks.size(); ++full) {
    disks[full]->set_capacity(0);
    ASSERT_TRUE(group.Write("one-full-" + std::to_string(full)));
    disks[full]->set_capacity(UINT64_MAX);
  }
  const auto leader = group.WaitLeader();
  ASSERT_TRUE(leader);
  for (auto& disk : disks) disk->set_capacity(0);
  const auto refused = group.node(*leader).Propose(RegisterCommand("all-full"), seconds(1));
  EXPECT_NE(refused.status(), schema::ProposeResponse::STATUS_APPLIED);
  for (auto& disk : disks) disk->set_capacity(UINT64_MAX);
  ASSERT_TRUE(group.Write("after"));
  for (std::size_t slot = 0; slot < disks.size(); ++slot) {
    EXPECT_EQ(group.failures(slot), 0);
    EXPECT_EQ(group.node(slot).status().failure, "");
    EXPECT_TRUE(Eventually([&] {
      return group.node(slot).WithState([](const auto& s) { return s.CountOf("after"); }) == 1;
    }));
  }
}

// Guards against two processes that write to one data folder, and against a folder that is used
// under another member id and so votes twice.
TEST(ReplicatedNodeTest, DataFolderBelongsToOneMember) {
  NodeGroup group(1);
  ASSERT_TRUE(group.Write("a"));
  rpc::Server server;
  TimerService timers;
  const auto create = [&](std::uint64_t id) {
    NodeOptions options{.id = common::MemberId(id), .data_folder = group.FolderOf(0)};
    return RegisterNode::Create(std::move(options), server, timers, {}, &RegisterState::Restore);
  };
  EXPECT_FALSE(create(1).ok());
  group.Stop(0);
  auto other = create(2);
  ASSERT_TRUE(other.ok()) << other.error();
  EXPECT_THROW(other.value()->Start({}, true), common::Error);
}

// Guards against a planned stop that leaves the group without a leader until the election timeout.
TEST(ReplicatedNodeTest, TransfersLeadership) {
  NodeGroup group(3);
  const auto leader = group.WaitLeader();
  ASSERT_TRUE(leader);
  ASSERT_TRUE(group.Write("a"));
  const std::size_t target = (*leader + 1) % 3;
  ASSERT_TRUE(Eventually(
      [&] { return group.node(*leader).TransferLeadership(NodeGroup::IdOf(target), seconds(5)); }));
  EXPECT_FALSE(group.node(*leader).MaySendOrders(TimerService::Now()));
  EXPECT_TRUE(group.Write("b"));
}

}  // namespace
}  // namespace briarwood::control
