#include "briarwood/routing/engine_division.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "briarwood/common/digest.h"

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;

std::vector<EnginePlace> MakeEngines(std::size_t count) {
  std::vector<EnginePlace> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engines.push_back({.hash = common::Hash64("engine-" + std::to_string(i)),
                       .failure_domain = common::FailureDomainId(std::to_string(i % 3))});
  }
  return engines;
}

// Guards against a division in which one side has no engine in a failure domain: its requests would
// cross domains, and the loss of a domain would take the side away.
TEST(EngineDivisionTest, GivesEachFailureDomainEnginesOfBothSides) {
  const std::vector<EnginePlace> engines = MakeEngines(49);
  const std::vector<std::uint32_t> positions = OrderEngines(engines);
  std::map<common::FailureDomainId, int> streams;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (positions[i] < 12) ++streams[engines[i].failure_domain];
  }
  ASSERT_EQ(streams.size(), 3U);
  for (const auto& [domain, count] : streams) EXPECT_EQ(count, 4) << domain.value();
}

// Guards against entries whose lists arrive in another order and that would divide the engines
// differently.
TEST(EngineDivisionTest, DoesNotDependOnTheOrderOfTheList) {
  std::vector<EnginePlace> engines = MakeEngines(20);
  const std::vector<std::uint32_t> positions = OrderEngines(engines);
  std::reverse(engines.begin(), engines.end());
  std::vector<std::uint32_t> reversed = OrderEngines(engines);
  std::reverse(reversed.begin(), reversed.end());
  EXPECT_EQ(positions, reversed);
}

// Guards against a lost engine that makes many others change sides, with the streams that they run.
TEST(EngineDivisionTest, MovesFewEnginesWhenOneIsLost) {
  constexpr std::uint32_t kStreamEngines = 15;
  const std::vector<EnginePlace> all = MakeEngines(48);
  const std::vector<std::uint32_t> before = OrderEngines(all);
  for (std::size_t lost = 0; lost < all.size(); ++lost) {
    std::vector<EnginePlace> rest = all;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
    const std::vector<std::uint32_t> after = OrderEngines(rest);
    int moved = 0;
    for (std::size_t i = 0; i < rest.size(); ++i) {
      const std::uint32_t previous = before[i < lost ? i : i + 1];
      if ((previous < kStreamEngines) != (after[i] < kStreamEngines)) ++moved;
    }
    EXPECT_LE(moved, 2) << "without engine " << lost;
  }
}

// Guards against streams without a target, or with a long one, on the side of those with short
// gaps.
TEST(EngineDivisionTest, KeepsOnlyShortGapsApart) {
  EXPECT_EQ(EngineDivision().SideOfRequest(milliseconds(300)), EngineSide::kAny);
  const EngineDivision division{.stream_engines = 3, .max_gap_target = milliseconds(300)};
  EXPECT_EQ(division.SideOfRequest(milliseconds(300)), EngineSide::kStreams);
  EXPECT_EQ(division.SideOfRequest(milliseconds(500)), EngineSide::kPrompts);
  EXPECT_EQ(division.SideOfRequest(milliseconds(0)), EngineSide::kPrompts);
}

// Guards against an engine that gets prompts while it still runs the streams of its former side.
TEST(EngineDivisionTest, KeepsEnginesThatChangeSidesFree) {
  const EngineDivision division{
      .stream_engines = 3, .draining_engines = 1, .max_gap_target = milliseconds(300)};
  EXPECT_EQ(division.SideOfEngine(2), EngineSide::kStreams);
  EXPECT_EQ(division.SideOfEngine(3), EngineSide::kDraining);
  EXPECT_EQ(division.SideOfEngine(4), EngineSide::kPrompts);
}

}  // namespace
}  // namespace briarwood::routing
