#include "briarwood/emulator/continuous_batch.h"

#include <gtest/gtest.h>

namespace briarwood::emulator {
namespace {

Sequence MakeSequence(const std::string& id, std::uint32_t priority, std::uint64_t tokens) {
  return {.id = id, .priority = priority, .end_token = tokens};
}

// Guards against a queue that ignores priorities.
TEST(ContinuousBatchTest, FillsFreeSlotsByPriority) {
  ContinuousBatch batch({.capacity = 1});
  ASSERT_TRUE(batch.Add(MakeSequence("low", 2, 1)));
  ASSERT_TRUE(batch.Add(MakeSequence("top", 0, 1)));
  EXPECT_EQ(batch.Step().at(0).id, "top");
  EXPECT_EQ(batch.Step().at(0).id, "low");
  EXPECT_TRUE(batch.idle());
}

// Guards against a batch that runs its sequences one after another, or more of them than its
// capacity.
TEST(ContinuousBatchTest, GeneratesOneTokenPerRunningSequence) {
  ContinuousBatch batch({.capacity = 2, .queue_limit = 1});
  ASSERT_TRUE(batch.Add(MakeSequence("a", 0, 2)));
  ASSERT_TRUE(batch.Add(MakeSequence("b", 0, 2)));
  ASSERT_TRUE(batch.Add(MakeSequence("c", 0, 2)));
  EXPECT_FALSE(batch.Add(MakeSequence("d", 0, 2)));
  EXPECT_EQ(batch.Step().size(), 2U);
  EXPECT_EQ(batch.waiting(), 1U);
  const std::vector<EmittedToken> second = batch.Step();
  EXPECT_TRUE(second.at(0).last);
  EXPECT_EQ(second.at(0).index, 1U);
}

// Guards against a first token before the prompt has been processed.
TEST(ContinuousBatchTest, PrefillDelaysTheFirstToken) {
  ContinuousBatch batch({.capacity = 1, .prefill_tokens_per_step = 10});
  ASSERT_TRUE(batch.Add({.id = "a", .prefill_tokens = 25, .first_token = 7, .end_token = 9}));
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(batch.Step().empty());
  EXPECT_EQ(batch.Step().at(0).index, 7U);
}

// Guards against a cancelled sequence that still occupies its slot.
TEST(ContinuousBatchTest, CancelFreesTheSlot) {
  ContinuousBatch batch({.capacity = 1});
  ASSERT_TRUE(batch.Add(MakeSequence("a", 0, 100)));
  EXPECT_EQ(batch.Step().size(), 1U);
  EXPECT_TRUE(batch.Cancel("a"));
  EXPECT_FALSE(batch.Cancel("a"));
  EXPECT_TRUE(batch.idle());
}

}  // namespace
}  // namespace briarwood::emulator
