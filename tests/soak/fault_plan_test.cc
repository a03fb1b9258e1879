#include "soak/fault_plan.h"

#include <gtest/gtest.h>

#include <set>

namespace briarwood::soak {
namespace {

using std::chrono::seconds;

std::vector<PlannedFault> Plan(std::uint64_t seed) {
  return MakeFaultPlan({.seed = seed, .duration = seconds(120)});
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
  EXPECT_EQ(kinds.size(), kFaultKinds);
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
