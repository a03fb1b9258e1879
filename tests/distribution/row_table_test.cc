#include "briarwood/distribution/row_table.h"

#include <gtest/gtest.h>

#include "briarwood/common/random.h"
#include "briarwood/distribution/error.h"

namespace briarwood::distribution {
namespace {

using common::LogIndex;

std::map<std::string, std::string> LiveRows(const RowTable& table, const RowFilter& filter = {}) {
  std::map<std::string, std::string> rows;
  for (const schema::Row& row : table.Snapshot(filter).rows) {
    rows[std::to_string(row.kind()) + row.id()] = row.value();
  }
  return rows;
}

void ApplyRandomChange(RowTable& table, common::Random& random) {
  const LogIndex index(table.index().value() + 1 + random.Below(3));
  const auto kind = static_cast<schema::RowKind>(1 + random.Below(schema::ROW_KIND_VM));
  const std::string id = "r" + std::to_string(random.Below(12));
  if (random.Chance(0.3)) {
    table.Erase(kind, id, index);
  } else {
    table.Put(kind, id, std::to_string(random.Next()), index);
  }
  if (random.Chance(0.05)) table.TrimTombstones(random.Below(6));
}

// Guards against a copy that misses a change or a deletion when it catches up at an arbitrary time,
// including through an intermediate copy and after tombstones were removed.
TEST(RowTableTest, CopiesConvergeThroughRelayForAnySeed) {
  const RowFilter agent({schema::ROW_KIND_KEY}, "r3");
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    common::Random random(seed);
    RowTable root;
    RowTable relay;
    RowTable leaf;
    for (int step = 0; step < 300; ++step) {
      ApplyRandomChange(root, random);
      if (random.Chance(0.2)) relay.Merge(root.DeltaSince(relay.index(), {}));
      if (random.Chance(0.2) && leaf.index() <= relay.index()) {
        leaf.Merge(relay.DeltaSince(leaf.index(), agent));
        ASSERT_EQ(LiveRows(leaf), LiveRows(relay, agent)) << "seed " << seed << " step " << step;
      }
    }
    relay.Merge(root.DeltaSince(relay.index(), {}));
    EXPECT_EQ(LiveRows(relay), LiveRows(root)) << "seed " << seed;
  }
}

// I13: guards against a parent with an older table that reverts an accepted configuration.
TEST(RowTableTest, I13OlderParentIsRejectedAndIndexNeverFalls) {
  RowTable table;
  table.Put(schema::ROW_KIND_CUSTOMER, "a", "1", LogIndex(5));
  EXPECT_THROW(static_cast<void>(table.DeltaSince(LogIndex(6), {})), ParentBehind);
  EXPECT_THROW(table.Put(schema::ROW_KIND_CUSTOMER, "a", "2", LogIndex(4)), DistributionError);
  EXPECT_THROW(table.Merge({.index = LogIndex(4), .full = true}), DistributionError);
  EXPECT_EQ(table.index(), LogIndex(5));
  EXPECT_NE(table.Find(schema::ROW_KIND_CUSTOMER, "a"), nullptr);
}

// I4: guards against keys and rows of other backend servers that reach the VM of a backend server.
TEST(RowTableTest, I4AgentFilterPassesOnlyItsOwnRows) {
  RowTable table;
  table.Put(schema::ROW_KIND_KEY, "e1", "key", LogIndex(1));
  table.Put(schema::ROW_KIND_BACKEND_SERVER, "e1", "own", LogIndex(2));
  table.Put(schema::ROW_KIND_BACKEND_SERVER, "e2", "other", LogIndex(3));
  const Delta delta = table.DeltaSince(LogIndex(0), RowFilter({schema::ROW_KIND_KEY}, "e1"));
  ASSERT_EQ(delta.rows.size(), 1U);
  EXPECT_EQ(delta.rows[0].value(), "own");
}

// Guards against a saved state that lacks tombstones or versions.
TEST(RowTableTest, StateRoundTripKeepsDeltas) {
  common::Random random(7);
  RowTable table;
  for (int step = 0; step < 200; ++step) ApplyRandomChange(table, random);
  schema::RowTableState state;
  table.Save(state);
  const RowTable restored = RowTable::FromState(state);
  schema::RowTableState restored_state;
  restored.Save(restored_state);
  EXPECT_EQ(restored_state.SerializeAsString(), state.SerializeAsString());
  const LogIndex since(table.index().value() / 2);
  EXPECT_EQ(restored.DeltaSince(since, {}).rows.size(), table.DeltaSince(since, {}).rows.size());
}

}  // namespace
}  // namespace briarwood::distribution
