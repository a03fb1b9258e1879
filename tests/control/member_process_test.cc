#include "member_process.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <limits>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "node_group.h"

namespace briarwood::control {
namespace {

using Status = schema::ProposeResponse;

/// Operations of one writer thread, by response.
struct WriterLog {
  std::vector<std::string> applied;
  std::vector<std::string> rejected;
};

void RunWriter(MemberProcesses& members, const std::string& name, const std::atomic<bool>& stop,
               WriterLog& log) {
  for (std::size_t i = 0; !stop; ++i) {
    const std::string operation = name + "-" + std::to_string(i);
    const auto answer = members.Propose(i % members.size(), operation);
    if (!answer) continue;
    if (answer->status() == Status::STATUS_APPLIED) log.applied.push_back(operation);
    if (answer->status() == Status::STATUS_NOT_LEADER) log.rejected.push_back(operation);
  }
}

// Guards against acknowledged writes that are lost or applied twice, and rejected writes that are
// applied, when the leader is killed under load and restarted.
TEST(MemberProcessTest, KilledLeaderLosesNoAcknowledgedWrite) {
  constexpr std::size_t kWriters = 6;
  MemberProcesses members(3);
  std::size_t killed = *members.Write("first");
  std::vector<WriterLog> logs(2 * kWriters);
  for (std::size_t round = 0; round < 2; ++round) {
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kWriters; ++i) {
      WriterLog& log = logs[round * kWriters + i];
      threads.emplace_back([&, i, round] {
        RunWriter(members, "r" + std::to_string(round) + "w" + std::to_string(i), stop, log);
      });
    }
    ASSERT_TRUE(members.Write("before-" + std::to_string(round)));
    members.Signal(killed, SIGKILL);
    const auto leader = members.Write("after-" + std::to_string(round));
    stop = true;
    for (std::thread& thread : threads) thread.join();
    ASSERT_TRUE(leader);
    members.Kill(killed);
    members.Restart(killed);
    killed = *leader;
  }
  std::size_t applied = 0;
  for (const WriterLog& log : logs) {
    applied += log.applied.size();
    for (const std::string& operation : log.applied) {
      std::uint64_t count = 0;
      ASSERT_TRUE(members.Write(operation, &count));
      EXPECT_EQ(count, 2U) << operation;
    }
    for (std::size_t i = 0; i < log.rejected.size(); i += 50) {
      std::uint64_t count = 0;
      ASSERT_TRUE(members.Write(log.rejected[i], &count));
      EXPECT_EQ(count, 1U) << log.rejected[i];
    }
  }
  EXPECT_GT(applied, 0U);
}

// Guards against processes that end because their disks have no room, one after another and all at
// once, against lost writes that were acknowledged meanwhile, and against a group that takes no
// write once there is room again.
TEST(MemberProcessTest, GoesOnAfterFullDisks) {
  std::signal(SIGXFSZ, SIG_IGN);
  constexpr std::uint64_t kNoLimit = std::numeric_limits<std::uint64_t>::max();
  MemberProcesses members(3);
  ASSERT_TRUE(members.Write("first"));
  std::vector<std::string> applied;
  for (std::size_t slot = 0; slot < members.size(); ++slot) {
    members.LimitFileSize(slot, 1);
    for (int i = 0; i < 5; ++i) {
      applied.push_back("full-" + std::to_string(slot) + "-" + std::to_string(i));
      ASSERT_TRUE(members.Write(applied.back()));
    }
    EXPECT_TRUE(members.Running(slot));
    members.LimitFileSize(slot, kNoLimit);
  }
  for (std::size_t slot = 0; slot < members.size(); ++slot) members.LimitFileSize(slot, 1);
  for (std::size_t slot = 0; slot < members.size(); ++slot) {
    const auto answer = members.Propose(slot, "all-full");
    EXPECT_TRUE(!answer || answer->status() != Status::STATUS_APPLIED);
  }
  for (std::size_t slot = 0; slot < members.size(); ++slot) members.LimitFileSize(slot, kNoLimit);
  ASSERT_TRUE(members.Write("after"));
  for (std::size_t slot = 0; slot < members.size(); ++slot) EXPECT_TRUE(members.Running(slot));
  for (const std::string& operation : applied) {
    std::uint64_t count = 0;
    ASSERT_TRUE(members.Write(operation, &count));
    EXPECT_GE(count, 2U) << operation;
  }
}

// Guards against orders from a leader that was paused beyond its lease, and from two leaders at the
// same time.
TEST(MemberProcessTest, PausedLeaderSendsNoOrderPastItsLease) {
  MemberProcesses members(3);
  const std::size_t paused = *members.Write("first");
  std::vector<OrderRecord> orders;
  const auto ordered = [&](bool by_paused) {
    members.CollectOrders(orders);
    return std::any_of(orders.begin(), orders.end(), [&](const OrderRecord& order) {
      return (order.member == paused + 1) == by_paused;
    });
  };
  ASSERT_TRUE(Eventually([&] { return ordered(true); }));
  members.Signal(paused, SIGSTOP);
  ASSERT_TRUE(Eventually([&] { return ordered(false); }));
  members.Signal(paused, SIGCONT);
  // The member answers as a follower after it has caught up.
  ASSERT_TRUE(Eventually([&] {
    members.CollectOrders(orders);
    const auto answer = members.Propose(paused, "asked");
    return answer && answer->status() == Status::STATUS_NOT_LEADER && !answer->leader_rpc().empty();
  }));
  members.CollectOrders(orders);

  struct Span {
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    std::int64_t last = 0;
    std::uint64_t member = 0;
  };
  std::map<std::uint64_t, Span> terms;
  for (const OrderRecord& order : orders) {
    Span& span = terms[order.term];
    EXPECT_TRUE(span.member == 0 || span.member == order.member);
    span.member = order.member;
    span.first = std::min(span.first, order.checked_at_ns);
    span.last = std::max(span.last, order.checked_at_ns);
  }
  EXPECT_GE(terms.size(), 2U);
  std::int64_t former_end = 0;
  for (const auto& [term, span] : terms) {
    EXPECT_GT(span.first, former_end) << "term " << term;
    former_end = span.last;
  }
}

}  // namespace
}  // namespace briarwood::control
