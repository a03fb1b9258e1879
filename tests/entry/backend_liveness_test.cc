#include "entry/impl/backend_liveness.h"

#include <gtest/gtest.h>

namespace briarwood::entry::impl {
namespace {

using std::chrono::seconds;

constexpr common::Time kStart{};

// Guards against dispatching to a backend server whose VM is unreachable, and against treating all
// backend servers as unreachable when the control members stop relaying heartbeats.
TEST(BackendLivenessTest, ReportsSingleTimeoutsAndIgnoresCommonOnes) {
  BackendLiveness liveness;
  for (const char* id : {"a", "b", "c"}) liveness.OnHeartbeat(id, kStart);
  liveness.OnHeartbeat("a", kStart + seconds(3));
  liveness.OnHeartbeat("b", kStart + seconds(3));
  EXPECT_TRUE(liveness.TimedOut(kStart + seconds(4), seconds(3)).empty());
  liveness.OnSync(kStart + seconds(4));
  EXPECT_EQ(liveness.TimedOut(kStart + seconds(4), seconds(3)), std::set<std::string>{"c"});
  EXPECT_TRUE(liveness.TimedOut(kStart + seconds(6), seconds(3)).empty());
  liveness.OnSync(kStart + seconds(6));
  EXPECT_TRUE(liveness.TimedOut(kStart + seconds(6), seconds(3)).empty());
}

}  // namespace
}  // namespace briarwood::entry::impl
