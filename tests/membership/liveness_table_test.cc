#include "briarwood/membership/liveness_table.h"

#include <gtest/gtest.h>

namespace briarwood::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const common::Time kStart{std::chrono::hours(1)};

schema::Heartbeat MakeHeartbeat(std::uint64_t incarnation, std::uint32_t age_ms = 0) {
  schema::Heartbeat heartbeat;
  heartbeat.mutable_node()->set_id("entry-1");
  heartbeat.mutable_node()->set_incarnation(incarnation);
  heartbeat.set_age_ms(age_ms);
  return heartbeat;
}

Liveness LivenessAt(const LivenessTable& table, common::Time now) {
  return table.Find(common::NodeId("entry-1"), now)->liveness;
}

const DeadIncarnation kFirst{common::NodeId("entry-1"), common::Incarnation(7)};

// Guards against a dead node that is considered alive, and against reporting it twice.
TEST(LivenessTableTest, SuspectAtThreeSecondsAndDeadOnceAtTen) {
  LivenessTable table;
  table.Record(MakeHeartbeat(7, 500), kStart);
  EXPECT_EQ(LivenessAt(table, kStart + milliseconds(2499)), Liveness::kAlive);
  EXPECT_EQ(LivenessAt(table, kStart + milliseconds(2500)), Liveness::kSuspect);
  EXPECT_TRUE(table.TakeDead(kStart + milliseconds(9499)).empty());
  EXPECT_EQ(table.TakeDead(kStart + milliseconds(9500)), std::vector{kFirst});
  EXPECT_TRUE(table.TakeDead(kStart + seconds(20)).empty());
}

// Guards against a late heartbeat of a previous incarnation, received through another parent, that
// restores that incarnation or replaces the current one.
TEST(LivenessTableTest, NewIncarnationReplacesThePreviousPermanently) {
  LivenessTable table;
  table.Record(MakeHeartbeat(7), kStart);
  EXPECT_TRUE(table.Record(MakeHeartbeat(3), kStart + seconds(1)));
  EXPECT_EQ(table.TakeDead(kStart + seconds(1)), std::vector{kFirst});
  EXPECT_FALSE(table.Record(MakeHeartbeat(7), kStart + seconds(2)));
  EXPECT_FALSE(table.Record(MakeHeartbeat(9, 5000), kStart + seconds(2)));
  EXPECT_TRUE(table.TakeDead(kStart + seconds(2)).empty());
  EXPECT_EQ(table.Nodes(kStart + seconds(2))[0].identity.incarnation(), 3U);
}

// Guards against a new leader that declares nodes dead because it has not received their heartbeats
// yet.
TEST(LivenessTableTest, NoNodeIsDeadDuringTheGracePeriodOfANewLeader) {
  LivenessTable table;
  table.Record(MakeHeartbeat(7), kStart);
  table.StartGrace(kStart + seconds(30));
  EXPECT_TRUE(table.TakeDead(kStart + seconds(39)).empty());
  EXPECT_EQ(table.TakeDead(kStart + seconds(40)), std::vector{kFirst});
}

// Guards against a relayed heartbeat that appears more recent than it is.
TEST(LivenessTableTest, AggregateCarriesTheAge) {
  LivenessTable table;
  table.Record(MakeHeartbeat(7, 200), kStart);
  const auto heartbeats = table.Aggregate(kStart + seconds(1));
  ASSERT_EQ(heartbeats.size(), 1U);
  EXPECT_EQ(heartbeats[0].age_ms(), 1200U);
  EXPECT_TRUE(table.Aggregate(kStart + seconds(10)).empty());
}

}  // namespace
}  // namespace briarwood::membership
