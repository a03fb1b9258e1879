#include "briarwood/routing/engine_memory.h"

#include <gtest/gtest.h>

#include <vector>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

MemoryCost Summary(std::uint64_t part = 1) {
  return {.own_prompt_tokens = 3000,
          .expected_output_tokens = 0,
          .shared_parts = {{.id = part, .tokens = 6000}}};
}

class EngineMemoryTest : public testing::Test {
 protected:
  void Send(const MemoryCost& cost) {
    memory_.OnSent(cost);
    sizes_.OnSent(cost, kStart);
    Refresh(kStart);
  }
  void Report(double others, common::Time now) {
    memory_.OnReport(others, now);
    sizes_.OnReport(others, now);
  }
  void Refresh(common::Time now) { sizes_.Refresh(memory_.own(), share_, now); }
  bool Fits(const MemoryCost& cost, common::Time now = kStart) const {
    return memory_.Fits(cost, sizes_, 0.125, /*with_reserve=*/true, now);
  }
  bool FitsTopTier(const MemoryCost& cost, common::Time now = kStart) const {
    return memory_.Fits(cost, sizes_, 0, /*with_reserve=*/false, now);
  }

  EngineMemory memory_;
  RequestSizes sizes_;
  EngineShare share_;
};

// Guards against an engine that takes long prompts by its slots although its memory is full, and
// against one that is taken for full because a shared part counts for each request.
TEST_F(EngineMemoryTest, CountsSharedPartsOnce) {
  memory_.SetCapacity(66'000);
  int sent = 0;
  for (; FitsTopTier(Summary()); ++sent) Send(Summary());
  EXPECT_EQ(sent, 20);
  EXPECT_EQ(memory_.InUse(sizes_, kStart), 66'000);
  for (; sent > 0; --sent) memory_.OnEnded(Summary());
  EXPECT_EQ(memory_.InUse(sizes_, kStart), 0);
  for (; FitsTopTier(Summary(sent)); ++sent) Send(Summary(sent));
  EXPECT_EQ(sent, 7);
}

// Guards against memory that runs out while the responses grow.
TEST_F(EngineMemoryTest, CountsTheOutputFromTheStart) {
  memory_.SetCapacity(1000);
  const MemoryCost cost{
      .own_prompt_tokens = 100, .expected_output_tokens = 300, .shared_parts = {}};
  Send(cost);
  Send(cost);
  EXPECT_FALSE(FitsTopTier(cost));
}

// Guards against a request that is never sent because it leaves less than the headroom by itself.
TEST_F(EngineMemoryTest, LargeRequestRunsAlone) {
  memory_.SetCapacity(9500);
  EXPECT_TRUE(Fits(Summary()));
  Send({.own_prompt_tokens = 1, .expected_output_tokens = 0, .shared_parts = {}});
  EXPECT_FALSE(Fits(Summary()));
}

// Guards against a limit that services without a configured memory did not ask for.
TEST_F(EngineMemoryTest, UnknownMemoryDoesNotLimit) {
  for (int i = 0; i < 1000; ++i) Send(Summary());
  EXPECT_TRUE(Fits(Summary()));
}

// Guards against an engine that other entries have filled.
TEST_F(EngineMemoryTest, CountsOtherEntriesByTheSizeOfOwnRequests) {
  memory_.SetCapacity(100'000);
  Send(Summary());
  Report(20, kStart);
  EXPECT_EQ(memory_.InUse(sizes_, kStart), 21 * 3000 + 6000);
  EXPECT_FALSE(Fits(Summary()));
  EXPECT_TRUE(FitsTopTier(Summary())) << "the top tier may use reserve and headroom";
}

// Guards against an entry that takes all engines for full, sends nothing and therefore receives no
// report that shows otherwise.
TEST_F(EngineMemoryTest, TriesAgainWithoutReports) {
  memory_.SetCapacity(100'000);
  Send(Summary());
  Report(40, kStart);
  EXPECT_FALSE(FitsTopTier(Summary()));
  memory_.OnEnded(Summary());
  Refresh(kStart + seconds(6));
  EXPECT_TRUE(Fits(Summary(), kStart + seconds(6)));
}

// Guards against an old report of one engine that outweighs what the others show now.
TEST_F(EngineMemoryTest, OldReportGivesWayToTheMean) {
  memory_.SetCapacity(100'000);
  Send(Summary());
  Report(0, kStart);
  for (int i = 1; i <= 50; ++i) sizes_.OnReport(40, kStart + milliseconds(100) * i);
  Refresh(kStart + seconds(5));
  EXPECT_FALSE(FitsTopTier(Summary(), kStart + seconds(5)));
}

// Guards against an entry that has no reports yet, or one that takes an engine with room for its
// own although as many requests of the others are on their way.
TEST_F(EngineMemoryTest, AssumesThatOtherEntriesDoTheSame) {
  memory_.SetCapacity(100'000);
  share_.entries = 28;
  Send(Summary());
  EXPECT_FALSE(Fits(Summary())) << "27 other entries have probably sent one too";
  Report(5, kStart);
  EXPECT_TRUE(Fits(Summary()));
  Send(Summary());
  Send(Summary());
  EXPECT_FALSE(Fits(Summary()));
}

}  // namespace
}  // namespace briarwood::routing
