#include "briarwood/routing/division_planner.h"

#include <gtest/gtest.h>

#include <string>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr milliseconds kShort{300};
constexpr milliseconds kLong{1200};
constexpr const char* kService = "llm";

/// Reports of entries about a service with 48 engines of 64 slots in three failure domains.
class DivisionPlannerTest : public ::testing::Test {
 protected:
  static ServiceStreams Streams(std::uint32_t open, std::uint32_t ended, std::uint32_t late) {
    return {.engines = 48,
            .slots = 48 * 64,
            .failure_domains = 3,
            .classes = {{.gap_target = kShort, .open = open, .ended = ended, .late = late},
                        {.gap_target = kLong, .open = 100, .ended = 100, .late = 0}},
            .division = {}};
  }

  void Report(const ServiceStreams& streams, const std::string& entry = "entry-1") {
    planner_.Report(common::NodeId(entry), kService, streams, now_);
  }

  void Update(const ServiceStreams& streams) {
    Report(streams);
    planner_.Update(now_);
  }

  /// \returns the division; without engines if there is none.
  [[nodiscard]] EngineDivision Division() const {
    const auto found = planner_.divisions().find(kService);
    return found == planner_.divisions().end() ? EngineDivision() : found->second;
  }

  common::Time now_ = kStart + seconds(5);
  DivisionPlanner planner_{kStart,
                           {.fill = 0.5, .peak_period = seconds(2), .drain_period = seconds(2)}};
};

// Load: long prompts are read on the engines of streams with short gaps, which break one gap after
// the other. Guards against such streams that stay among the prompts.
TEST_F(DivisionPlannerTest, DividesOnceShortGapsBreak) {
  Update(Streams(/*open=*/320, /*ended=*/400, /*late=*/200));
  EXPECT_EQ(Division().stream_engines, 10U);
  EXPECT_EQ(Division().max_gap_target, kShort);
}

// Guards against a division where chunks of prompts are short enough for the gaps, or where there
// is nothing to keep the streams apart from.
TEST_F(DivisionPlannerTest, DividesNothingWithoutNeed) {
  Update(Streams(320, 400, 40));
  EXPECT_FALSE(Division().active());
  ServiceStreams alone = Streams(320, 400, 400);
  alone.classes.pop_back();
  Update(alone);
  EXPECT_FALSE(Division().active());
  ServiceStreams few = Streams(320, 400, 400);
  few.engines = 9;
  few.slots = 9 * 64;
  Update(few);
  EXPECT_FALSE(Division().active());
}

// Guards against a judgement of one entry, whose streams may all have been at one slow engine.
TEST_F(DivisionPlannerTest, JudgesTheStreamsOfAllEntries) {
  Report(Streams(10, 15, 15), "entry-1");
  Report(Streams(100, 200, 10), "entry-2");
  planner_.Update(now_);
  EXPECT_FALSE(Division().active());
}

// Load: a burst of streams. Guards against a side that reaches its size when the burst is over.
TEST_F(DivisionPlannerTest, GrowsAheadOfARisingLoad) {
  Update(Streams(320, 400, 200));
  Update(Streams(320, 400, 0));
  now_ += seconds(1);
  Update(Streams(400, 400, 0));
  EXPECT_EQ(Division().stream_engines, 17U) << "400 streams, 120 more after the lead time";
}

// Load: the streams of a burst have ended while prompts wait. Guards against engines that stay on
// the streams' side, that change with every fluctuation, or that get prompts beside their streams.
TEST_F(DivisionPlannerTest, ShrinksAfterThePeakAndDrainsEngines) {
  Update(Streams(640, 700, 400));
  Update(Streams(640, 700, 0));
  now_ += seconds(2);
  Update(Streams(608, 700, 0));
  EXPECT_EQ(Division().stream_engines, 20U);
  now_ += seconds(1);
  Update(Streams(320, 700, 0));
  EXPECT_EQ(Division().stream_engines, 20U);
  now_ += milliseconds(1500);
  Update(Streams(320, 700, 0));
  const EngineDivision shrunk{
      .stream_engines = 10, .draining_engines = 10, .max_gap_target = kShort};
  EXPECT_EQ(Division(), shrunk);
  now_ += seconds(1);
  Update(Streams(310, 400, 0));
  EXPECT_EQ(Division(), shrunk);
  now_ += seconds(1);
  Update(Streams(310, 400, 0));
  EXPECT_EQ(Division(), (EngineDivision{.stream_engines = 10, .max_gap_target = kShort}));
}

// Load: more streams than the engines can run. Guards against a side of streams that leaves no
// engines for the other classes.
TEST_F(DivisionPlannerTest, LeavesEnginesToBothSides) {
  Update(Streams(2000, 400, 1000));
  EXPECT_EQ(Division().stream_engines, 36U);
  DivisionPlanner few(kStart, {.fill = 0.5});
  few.Report(common::NodeId("entry-1"), kService, Streams(1, 400, 200), now_);
  few.Update(now_);
  EXPECT_EQ(few.divisions().at(kService).stream_engines, 6U);
}

// Guards against engines that stay reserved for a class that callers no longer use.
TEST_F(DivisionPlannerTest, EndsTheDivisionWithoutStreams) {
  Update(Streams(320, 400, 200));
  now_ += seconds(29);
  Update(Streams(0, 0, 0));
  EXPECT_TRUE(Division().active());
  now_ += seconds(2);
  Update(Streams(0, 0, 0));
  EXPECT_FALSE(Division().active());
}

// Failure: the leader is lost. Guards against a new leader that takes the division back because it
// has no reports yet, which would mix streams and prompts for seconds.
TEST_F(DivisionPlannerTest, ANewLeaderTakesOverTheDivisionInForce) {
  now_ = kStart;
  ServiceStreams divided = Streams(320, 400, 0);
  divided.division = {.stream_engines = 17, .max_gap_target = kShort};
  EXPECT_FALSE(planner_.known(now_));
  Update(divided);
  EXPECT_EQ(Division().stream_engines, 17U);
  now_ += seconds(2);
  EXPECT_TRUE(planner_.known(now_));
  Update(divided);
  EXPECT_EQ(Division().stream_engines, 10U);
  EXPECT_EQ(Division().draining_engines, 7U);
}

// Failure: entries are cut off from the leader. Guards against a division that shrinks because
// their reports have expired.
TEST_F(DivisionPlannerTest, KeepsTheDivisionWithoutReports) {
  Update(Streams(320, 400, 200));
  now_ += seconds(60);
  planner_.Update(now_);
  EXPECT_EQ(Division().stream_engines, 10U);
}

}  // namespace
}  // namespace briarwood::routing
