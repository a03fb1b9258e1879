#include "briarwood/routing/engine_memory.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

constexpr common::Time kStart{std::chrono::seconds(1000)};

class EngineMemoryTest : public testing::Test {
 protected:
  EngineMemoryTest() { memory_.SetCapacity(66'000); }

  static MemoryCost Summary(std::uint64_t part = 1) {
    return {.own_prompt_tokens = 2000,
            .expected_output_tokens = 1000,
            .shared_parts = {{.id = part, .tokens = 6000}}};
  }
  void Send(const MemoryCost& cost) {
    memory_.OnSent(cost);
    sizes_.OnSent(cost, kStart);
    Refresh(kStart);
  }
  void Refresh(common::Time now) { sizes_.Refresh(memory_.own(), share_, now); }
  bool Fits(const MemoryCost& cost, common::Time now = kStart, bool top_tier = false) const {
    return memory_.Fits(cost, sizes_, top_tier ? 0 : 0.125, !top_tier, now);
  }

  EngineMemory memory_;
  RequestSizes sizes_;
  EngineShare share_;
};

// Guards against an engine that takes long prompts by its slots although its memory is full, and
// against one that is taken for full because a shared part counts for each request.
TEST_F(EngineMemoryTest, CountsSharedPartsOnce) {
  int sent = 0;
  for (; Fits(Summary(), kStart, true); ++sent) Send(Summary());
  EXPECT_EQ(sent, 20);
  for (; sent > 0; --sent) memory_.OnEnded(Summary());
  EXPECT_EQ(memory_.InUse(sizes_, kStart), 0);
  for (std::uint64_t part = 0; Fits(Summary(part), kStart, true); ++part, ++sent) {
    Send(Summary(part));
  }
  EXPECT_EQ(sent, 7);
}

// Guards against a request that is never sent because it leaves less than the headroom by itself.
TEST_F(EngineMemoryTest, LargeRequestRunsAlone) {
  const MemoryCost large{.own_prompt_tokens = 65'000};
  EXPECT_TRUE(Fits(large));
  Send(Summary());
  EXPECT_FALSE(Fits(large));
}

// Guards against an engine that other entries have filled, and against an entry that then sends
// nothing and therefore receives no report that shows otherwise.
TEST_F(EngineMemoryTest, CountsOtherEntriesUntilReportsAreOld) {
  Send(Summary());
  memory_.OnReport(15, kStart);
  sizes_.OnReport(15, kStart);
  EXPECT_EQ(memory_.InUse(sizes_, kStart), 16 * 3000 + 6000);
  EXPECT_FALSE(Fits(Summary()));
  EXPECT_TRUE(Fits(Summary(), kStart, true)) << "the top tier may use reserve and headroom";
  memory_.OnEnded(Summary());
  const common::Time later = kStart + std::chrono::seconds(6);
  Refresh(later);
  EXPECT_TRUE(Fits(Summary(), later));
}

// Guards against an entry without reports that does not expect others to do what it does.
TEST_F(EngineMemoryTest, AssumesThatOtherEntriesDoTheSame) {
  share_.entries = 28;
  Send(Summary());
  EXPECT_FALSE(Fits(Summary()));
}

}  // namespace
}  // namespace briarwood::routing
