#include "briarwood/control/stream_version_table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::control {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

schema::StreamStarts Starts(const std::string& version, std::uint64_t low,
                            std::uint64_t lifetime_ms = 5000, const std::string& service = "llm") {
  schema::StreamStarts starts;
  starts.set_service(service);
  starts.set_software_version(version);
  starts.add_keys(1);
  starts.add_keys(low);
  starts.add_lifetimes_ms(lifetime_ms);
  return starts;
}

schema::StreamLookup Lookup(std::uint64_t low, const std::string& service = "llm") {
  schema::StreamLookup lookup;
  lookup.set_key_high(1);
  lookup.set_key_low(low);
  lookup.set_service(service);
  return lookup;
}

// Guards against a record that a later one with the same key replaces.
TEST(StreamVersionTableTest, TheFirstRecordOfAKeyCounts) {
  StreamVersionTable table;
  table.Record(Starts("v1", 1), 1000);
  table.Record(Starts("v2", 1), 1001);
  EXPECT_TRUE(table.LookUp(Lookup(1)).known());
  EXPECT_EQ(table.LookUp(Lookup(1)).software_version(), "v1");
  EXPECT_EQ(table.LookUp(Lookup(1, "other")).service(), "llm");
  EXPECT_EQ(table.size(), 1U);
}

// Guards against an unknown stream that goes on at the only listed version while callers may still
// take up streams of an earlier one.
TEST(StreamVersionTableTest, NamesTheVersionsOfAServiceWithLiveRecords) {
  StreamVersionTable table;
  table.Record(Starts("v1", 1, 5000), 1000);
  table.Record(Starts("v2", 2, 9000), 1000);
  table.Record(Starts("v3", 3, 9000, "other"), 1000);
  EXPECT_FALSE(table.LookUp(Lookup(9)).known());
  EXPECT_THAT(table.LookUp(Lookup(9)).recorded_versions(), ElementsAre("v1", "v2"));
  table.Expire(6000);
  EXPECT_THAT(table.LookUp(Lookup(9)).recorded_versions(), ElementsAre("v2"));
  table.Expire(10'000);
  EXPECT_THAT(table.LookUp(Lookup(9)).recorded_versions(), IsEmpty());
  EXPECT_EQ(table.size(), 0U);
}

// Guards against memory that callers fill with streams or with long lifetimes, and against commands
// with an incomplete key.
TEST(StreamVersionTableTest, BoundsRecords) {
  StreamVersionTable table(2);
  for (std::uint64_t low = 1; low <= 4; ++low) table.Record(Starts("v1", low, ~0ULL), 1000);
  EXPECT_EQ(table.size(), 2U);
  schema::StreamStarts incomplete = Starts("v1", 9);
  incomplete.add_keys(1);
  incomplete.add_lifetimes_ms(1);
  table.Expire(1000 + StreamVersionTable::kMaxLifetimeMs);
  EXPECT_EQ(table.size(), 0U);
  table.Record(incomplete, 1000);
  EXPECT_EQ(table.size(), 1U);
}

// Guards against records that are forgotten when a member restores a snapshot.
TEST(StreamVersionTableTest, RestoresItsState) {
  StreamVersionTable table;
  table.Record(Starts("v1", 1), 1000);
  table.Record(Starts("v2", 2), 1000);
  StreamVersionTable restored;
  restored.Restore(table.Save());
  EXPECT_EQ(restored.LookUp(Lookup(1)).software_version(), "v1");
  EXPECT_EQ(restored.LookUp(Lookup(2)).software_version(), "v2");
  EXPECT_EQ(restored.Save().SerializeAsString(), table.Save().SerializeAsString());
  restored.Expire(6000);
  EXPECT_EQ(restored.size(), 0U);
}

}  // namespace
}  // namespace briarwood::control
