#include "briarwood/routing/repeat_budget.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

int Spend(RepeatBudget& budget, common::Time now) {
  int spent = 0;
  while (budget.TryRepeat("app", now)) ++spent;
  return spent;
}

// Guards against entries that each spend the whole budget of the fleet.
TEST(RepeatBudgetTest, SpendsThePartOfOneEntry) {
  RepeatBudget budget({.ratio = 0.2, .window = seconds(10), .burst = 60});
  budget.SetEntryCount(7);
  for (int i = 0; i < 100; ++i) budget.OnRequest("app", kStart + milliseconds(10 * i));
  EXPECT_LE(Spend(budget, kStart + seconds(1)), 0.2 * 100 + 60.0 / 7);
  EXPECT_GE(Spend(budget, kStart + seconds(12)), 1);
}

// Guards against a burst that an entry spends although it does not know how many share it.
TEST(RepeatBudgetTest, SpendsLittleWhileTheNumberOfEntriesIsUnknown) {
  RepeatBudget budget({.ratio = 0.2, .window = seconds(10), .burst = 60});
  EXPECT_EQ(Spend(budget, kStart), 0);
}

// Guards against a window of the platform that holds more repeats than allowed: it starts at any
// moment, and requests of the past do not count in it.
TEST(RepeatBudgetTest, NoWindowHoldsMoreThanItsShare) {
  RepeatBudget budget({.ratio = 0.2, .window = seconds(10), .burst = 20});
  budget.SetEntryCount(2);
  std::vector<std::pair<common::Time, bool>> events;
  for (int i = 0; i < 6000; ++i) {
    const common::Time now = kStart + milliseconds(5 * i);
    // Traffic stops for the last third.
    if (i < 4000) {
      budget.OnRequest("app", now);
      events.emplace_back(now, false);
    }
    if (budget.TryRepeat("app", now)) events.emplace_back(now, true);
  }
  for (int i = 0; i <= 200; ++i) {
    const common::Time from = kStart + milliseconds(100 * i);
    double requests = 0;
    double before = 0;
    double repeats = 0;
    for (const auto& [at, repeat] : events) {
      const bool inside = at >= from && at < from + seconds(10);
      if (inside && repeat) ++repeats;
      if (inside && !repeat) ++requests;
      if (!repeat && at >= from - seconds(10) && at < from) ++before;
    }
    EXPECT_LE(repeats, 0.2 * std::max(requests, before) + 20);
  }
}

// Guards against one service that spends the budget of another.
TEST(RepeatBudgetTest, CountsEachServiceAlone) {
  RepeatBudget budget({.ratio = 0.5, .window = seconds(10), .burst = 0});
  budget.SetEntryCount(1);
  for (int i = 0; i < 20; ++i) budget.OnRequest("llm", kStart);
  EXPECT_FALSE(budget.TryRepeat("app", kStart));
  EXPECT_TRUE(budget.TryRepeat("llm", kStart));
}

}  // namespace
}  // namespace briarwood::routing
