#include "forwarding/impl/usage_counter.h"

#include <gtest/gtest.h>

namespace briarwood::forwarding::impl {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr common::UnixMillis kWall{1'790'000'000'000};

// Guards against requests that are counted in the window in which they are reported instead of the
// one in which they began to run, and against two records for the same calls.
TEST(UsageCounterTest, CountsEachCallOnceInItsWindow) {
  UsageCounter counter(common::Incarnation(3), seconds(5));
  counter.SetAgreedTime(kWall, kStart);
  counter.Count(common::CustomerId("east"), kStart + seconds(1));
  counter.Count(common::CustomerId("east"), kStart + seconds(2));
  counter.Count(common::CustomerId("east"), kStart + seconds(6));
  const auto records = counter.TakeRecords();
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(records[0].calls(), 2U);
  EXPECT_EQ(records[0].ended_unix_ms() / 5000, 1'790'000'000'000U / 5000);
  EXPECT_EQ(records[1].calls(), 1U);
  EXPECT_EQ(records[1].ended_unix_ms() / 5000, 1'790'000'000'000U / 5000 + 1);
  EXPECT_NE(records[0].id().sequence(), records[1].id().sequence());
  EXPECT_TRUE(counter.TakeRecords().empty());
}

// Guards against calls counted before the agreed time is known that are dropped or assigned to a
// window by another clock.
TEST(UsageCounterTest, WaitsForTheAgreedTime) {
  UsageCounter counter(common::Incarnation(3), seconds(5));
  counter.Count(common::CustomerId("east"), kStart);
  EXPECT_TRUE(counter.TakeRecords().empty());
  counter.SetAgreedTime(kWall + milliseconds(4000), kStart + seconds(4));
  const auto records = counter.TakeRecords();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].ended_unix_ms(), 1'790'000'000'000U);
}

}  // namespace
}  // namespace briarwood::forwarding::impl
