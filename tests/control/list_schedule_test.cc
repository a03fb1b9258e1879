#include "briarwood/control/list_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;

/// Members in virtual time that keep the platform's list up to date as ControlDaemon does.
class Members {
 public:
  Members(std::size_t count, std::uint32_t pages, double calls_per_second) : pages_(pages) {
    ListScheduleOptions options;
    options.calls_per_second = calls_per_second;
    for (std::size_t i = 0; i < count; ++i) members_.push_back({.schedule = ListSchedule(options)});
  }

  /// Advances the time in steps of 100 ms.
  void Run(milliseconds time) {
    for (const common::Time end = now_ + time; now_ < end; now_ += milliseconds(100)) {
      for (std::size_t i = 0; i < members_.size(); ++i) Step(i);
    }
  }

  /// \returns the age of the oldest list of the members that run.
  [[nodiscard]] common::Duration OldestList() const {
    common::Duration oldest{};
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (frozen_ == i) continue;
      oldest = std::max(oldest, members_[i].read_at ? now_ - *members_[i].read_at
                                                    : common::Duration(std::chrono::hours(1)));
    }
    return oldest;
  }

  /// Member that leads; the others may not have noticed that it is frozen.
  std::size_t leader = 0;
  std::optional<std::size_t> frozen_;
  /// The leader does not reach the platform.
  bool leader_cut_off = false;
  std::uint64_t calls = 0;

 private:
  struct Member {
    ListSchedule schedule;
    std::optional<common::Time> read_at;
  };

  void Step(std::size_t index) {
    if (frozen_ == index) return;
    Member& member = members_[index];
    const bool leads = index == leader;
    switch (member.schedule.Next(leads, member.read_at, now_)) {
      case ListAction::kNone:
        break;
      case ListAction::kReadPlatform:
        calls += pages_;
        if (leads && leader_cut_off) break;
        member.schedule.OnRead(pages_);
        member.read_at = now_;
        break;
      case ListAction::kRequestFromLeader:
        if (frozen_ == leader) break;
        member.read_at = std::max(member.read_at, members_[leader].read_at);
        break;
    }
  }

  std::uint32_t pages_;
  common::Time now_{std::chrono::seconds(100)};
  std::vector<Member> members_;
};

// Guards against calls to the platform that grow with the number of members: 15 members made 2,599
// calls on a quiet day of 48 s, where 300 are wanted.
TEST(ListScheduleTest, CallsDoNotGrowWithTheNumberOfMembers) {
  for (const std::size_t count : {3U, 5U, 15U}) {
    Members members(count, 2, 100);
    members.Run(std::chrono::seconds(48));
    EXPECT_LE(members.calls, 300U) << count << " members";
    EXPECT_LE(members.OldestList(), milliseconds(1100));
  }
}

// Guards against a list that ages while the leader is frozen or does not reach the platform: a
// backend server that leaves must get no new work after 3 s, of which the sync of the entries takes
// half a second.
TEST(ListScheduleTest, MembersReadThePlatformWhenTheLeaderCannot) {
  for (const bool frozen : {false, true}) {
    Members members(5, 2, 100);
    members.Run(std::chrono::seconds(5));
    if (frozen) members.frozen_ = members.leader;
    members.leader_cut_off = !frozen;
    common::Duration oldest{};
    for (int i = 0; i < 50; ++i) {
      members.Run(milliseconds(100));
      if (frozen) oldest = std::max(oldest, members.OldestList());
    }
    EXPECT_LE(oldest, milliseconds(2200)) << "frozen " << frozen;
    const std::uint64_t before = members.calls;
    members.Run(std::chrono::seconds(2));
    EXPECT_GT(members.calls, before);
  }
}

// Guards against a member that follows a leader which lost the platform long ago.
TEST(ListScheduleTest, FollowersAreFreshWhenOnlyTheLeaderIsCutOffFromThePlatform) {
  Members members(3, 1, 0);
  members.Run(std::chrono::seconds(3));
  members.leader_cut_off = true;
  members.Run(std::chrono::seconds(5));
  members.frozen_ = 0;  // left out of the comparison
  EXPECT_LE(members.OldestList(), milliseconds(2200));
}

// Guards against a list of thousands of backend servers whose pages use up the rate of calls that
// the platform accepts from all processes.
TEST(ListScheduleTest, ManyPagesAreReadLessOften) {
  constexpr double kRate = 100;
  Members members(5, 60, kRate);
  members.Run(std::chrono::seconds(40));
  EXPECT_LE(static_cast<double>(members.calls), 0.6 * kRate * 40);
  EXPECT_LE(members.OldestList(), std::chrono::seconds(3));
}

// Guards against a whole list that is sent to a receiver that has it already, or that has a more
// recent one.
TEST(ListScheduleTest, SendsOnlyWhatTheReceiverLacks) {
  schema::BackendList list;
  list.add_backends()->set_id("engine-1");
  list.set_digest(7);
  list.set_calls(2);
  const common::Time read_at{std::chrono::seconds(10)};
  const common::Time now = read_at + milliseconds(200);
  EXPECT_FALSE(NewerList(list, read_at, 201, 5, now));
  EXPECT_FALSE(NewerList(list, read_at, 0, 5, now));
  const auto unchanged = NewerList(list, read_at, 900, 7, now);
  ASSERT_TRUE(unchanged);
  EXPECT_TRUE(unchanged->unchanged());
  EXPECT_EQ(unchanged->backends_size(), 0);
  EXPECT_EQ(unchanged->age_ms(), 200U);
  const auto whole = NewerList(list, read_at, 900, 5, now);
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->backends_size(), 1);
  EXPECT_EQ(whole->calls(), 0U);
}

}  // namespace
}  // namespace briarwood::control
