#include "soak/fault_plan.h"

#include <gtest/gtest.h>

#include <set>

namespace briarwood::soak {
namespace {

using std::chrono::seconds;

constexpr seconds kDuration{120};

std::vector<PlannedFault> Plan(std::uint64_t seed) {
  return MakeFaultPlan({.seed = seed, .duration = kDuration});
}

std::vector<PlannedFault> PlanWithCrashOnPart(std::uint64_t seed) {
  return MakeFaultPlan({.seed = seed, .duration = kDuration, .crash_on_part = true});
}

std::vector<PlannedFault> PlanWithReplacements(std::uint64_t seed) {
  return MakeFaultPlan({.seed = seed, .duration = kDuration, .replace_members = true});
}

TEST(FaultPlanTest, SameSeedGivesSamePlan) {
  const auto first = Plan(4);
  const auto second = Plan(4);
  ASSERT_EQ(first.size(), second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].at, second[i].at);
    EXPECT_EQ(first[i].kind, second[i].kind);
    EXPECT_EQ(first[i].target, second[i].target);
  }
}

TEST(FaultPlanTest, HasEveryKindWithinAFewSeeds) {
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const PlannedFault& fault : Plan(seed)) kinds.insert(fault.kind);
  }
  EXPECT_EQ(kinds.count(FaultKind::kCrashOnPart), 0U);
  EXPECT_EQ(kinds.count(FaultKind::kReplaceMember), 0U);
  EXPECT_EQ(kinds.count(FaultKind::kDarkLeader), 0U);
  EXPECT_EQ(kinds.count(FaultKind::kLoseSpareMember), 0U);
  for (const PlannedFault& fault : PlanWithCrashOnPart(1)) kinds.insert(fault.kind);
  for (const PlannedFault& fault : PlanWithReplacements(1)) kinds.insert(fault.kind);
  EXPECT_EQ(kinds.size(), kFaultKinds);
}

// Faults that cut the members or an entry off would excuse requests that have to be held back.
TEST(FaultPlanTest, CrashOnPartLastsToTheEndBesideFaultsThatKeepMembersInTouch) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::size_t crash_on_part = 0;
    common::Duration previous{};
    for (const PlannedFault& fault : PlanWithCrashOnPart(seed)) {
      EXPECT_GE(fault.at, previous);
      previous = fault.at;
      if (fault.kind == FaultKind::kCrashOnPart) {
        ++crash_on_part;
        EXPECT_EQ(fault.at + fault.duration, kDuration);
        EXPECT_EQ(fault.at, seconds(24));
        continue;
      }
      EXPECT_TRUE(fault.kind == FaultKind::kCrashBackend || fault.kind == FaultKind::kReload ||
                  fault.kind == FaultKind::kReplaceBackend ||
                  fault.kind == FaultKind::kQuietBackend || fault.kind == FaultKind::kStopEntry)
          << NameOf(fault.kind);
    }
    EXPECT_EQ(crash_on_part, 1U);
  }
}

// Without all first members gone, no entry would have seeds that do not answer; without time to
// recover, the check of the configuration would excuse every refusal.
TEST(FaultPlanTest, ReplacesAllMembersAndLeavesTimeToRecover) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto plan = PlanWithReplacements(seed);
    ASSERT_GT(plan.size(), 4U);
    for (std::size_t i = 0; i < 3; ++i) {
      EXPECT_EQ(plan[i].kind, FaultKind::kReplaceMember);
      EXPECT_EQ(plan[i].target, 0U);
    }
    EXPECT_EQ(plan[3].kind, FaultKind::kLoseSpareMember);
    for (std::size_t i = 4; i + 1 < plan.size(); ++i) {
      if (plan[i].kind == FaultKind::kReplaceMember) {
        EXPECT_EQ(plan[i + 1].kind, FaultKind::kKillAllMembers);
        EXPECT_GE(plan[i].duration, seconds(8));
      } else {
        EXPECT_GE(plan[i + 1].at - plan[i].at, seconds(8));
      }
    }
  }
}

// A group of three members tolerates the loss of one data folder at a time.
TEST(FaultPlanTest, KeepsOtherFaultsOfMembersAwayFromAWipe) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto plan = Plan(seed);
    for (const PlannedFault& wipe : plan) {
      if (wipe.kind != FaultKind::kWipeMember) continue;
      for (const PlannedFault& other : plan) {
        if (other.kind != FaultKind::kKillMember && other.kind != FaultKind::kWipeMember) continue;
        if (other.at == wipe.at) continue;
        EXPECT_TRUE(other.at + other.duration < wipe.at || other.at > wipe.at + seconds(8))
            << "seed " << seed;
      }
    }
  }
}

}  // namespace
}  // namespace briarwood::soak
