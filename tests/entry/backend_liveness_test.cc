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

// Guards against a server that counts as unreachable although this entry receives its answers, and
// against contact that hides a fault of the relay tree, in which all other servers would count as
// unreachable.
TEST(BackendLivenessTest, ContactOverridesMissingHeartbeats) {
  BackendLiveness liveness;
  for (const char* id : {"a", "b", "c"}) liveness.OnHeartbeat(id, kStart);
  liveness.OnHeartbeat("a", kStart + seconds(3));
  liveness.OnHeartbeat("b", kStart + seconds(3));
  liveness.OnContact("c", kStart + seconds(2));
  liveness.OnSync(kStart + seconds(4));
  EXPECT_TRUE(liveness.TimedOut(kStart + seconds(4), seconds(3)).empty());
  EXPECT_EQ(liveness.TimedOut(kStart + seconds(5), seconds(3)), std::set<std::string>{"c"});
  liveness.OnContact("c", kStart + seconds(6));
  liveness.OnContact("a", kStart + seconds(6));
  liveness.OnSync(kStart + seconds(7));
  EXPECT_TRUE(liveness.TimedOut(kStart + seconds(7), seconds(3)).empty());
}

}  // namespace
}  // namespace briarwood::entry::impl
