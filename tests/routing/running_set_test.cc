#include "briarwood/routing/running_set.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

constexpr common::Time kStart{std::chrono::seconds(1000)};

RunningRequest Request(const std::string& key, std::uint32_t tier) {
  return {.key = key, .tier = common::Tier(tier), .input_tokens = 10};
}

// Guards against preemption of the top tier, of equal tiers, and of protected requests.
TEST(RunningSetTest, I1TopTierIsNeverPreempted) {
  RunningSet set(2);
  EXPECT_EQ(set.Admit(Request("top", 0), kStart).verdict, AdmitVerdict::kAdmitted);
  RunningRequest floor = Request("floor", 2);
  floor.floor_protected = true;
  EXPECT_EQ(set.Admit(floor, kStart).verdict, AdmitVerdict::kAdmitted);
  for (std::uint32_t tier = 0; tier < 4; ++tier) {
    EXPECT_EQ(set.Admit(Request("next", tier), kStart).verdict, AdmitVerdict::kFull);
  }
  EXPECT_EQ(set.running(), 2U);
}

// Guards against preemption of a higher tier while a lower one is running, or of a longer context.
TEST(RunningSetTest, LowestTierWithShortestContextIsPreempted) {
  RunningSet set(3);
  (void)set.Admit(Request("mid", 1), kStart);
  (void)set.Admit(Request("long", 2), kStart);
  (void)set.Admit(Request("short", 2), kStart);
  for (int i = 0; i < 5; ++i) set.OnToken("long");
  EXPECT_EQ(set.Admit(Request("top", 0), kStart).preempted, "short");
  EXPECT_EQ(set.Admit(Request("top2", 0), kStart).preempted, "long");
  EXPECT_EQ(set.Admit(Request("top3", 0), kStart).preempted, "mid");
  EXPECT_EQ(set.Admit(Request("top4", 0), kStart).verdict, AdmitVerdict::kFull);
}

// Guards against new requests on a leaving server.
TEST(RunningSetTest, I11LeavingServerAdmitsNothing) {
  RunningSet set(2);
  set.SetLeaving(true);
  EXPECT_EQ(set.Admit(Request("top", 0), kStart).verdict, AdmitVerdict::kLeaving);
}

// Guards against a suspect that shares a server with other requests, and against a server that
// never drains for a suspect.
TEST(RunningSetTest, SuspectRunsAlone) {
  RunningSet set(2);
  (void)set.Admit(Request("other", 0), kStart);
  RunningRequest suspect = Request("suspect", 1);
  suspect.alone = true;
  EXPECT_EQ(set.Admit(suspect, kStart).verdict, AdmitVerdict::kFull);
  EXPECT_EQ(set.Admit(Request("late", 0), kStart).verdict, AdmitVerdict::kFull);
  EXPECT_TRUE(set.Finish("other"));
  EXPECT_EQ(set.Admit(suspect, kStart).verdict, AdmitVerdict::kAdmitted);
  const common::Time later = kStart + RunningSet::kAloneDrainPeriod;
  EXPECT_EQ(set.Admit(Request("late", 0), later).verdict, AdmitVerdict::kFull);
  EXPECT_TRUE(set.Finish("suspect"));
  EXPECT_EQ(set.Admit(Request("late", 0), later).verdict, AdmitVerdict::kAdmitted);
}

}  // namespace
}  // namespace briarwood::routing
