#include "briarwood/routing/service_retry_budget.h"

#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

int Spend(ServiceRetryBudget& budget, common::Time now) {
  int spent = 0;
  while (budget.TryRetry("app", now)) ++spent;
  return spent;
}

// Guards against each entry using the whole budget of the fleet.
TEST(ServiceRetryBudgetTest, UsesThePartOfOneEntry) {
  ServiceRetryBudget budget({.ratio = 0.2, .window = seconds(10), .burst = 60});
  budget.SetEntryCount(7);
  for (int i = 0; i < 100; ++i) budget.OnRequest("app", kStart + milliseconds(10 * i));
  EXPECT_LE(Spend(budget, kStart + seconds(1)), 0.2 * 100 + 60.0 / 7);
  EXPECT_GE(Spend(budget, kStart + seconds(12)), 1);
}

// Guards against an entry using the whole burst while the number of entries is unknown.
TEST(ServiceRetryBudgetTest, UsesLittleWhileTheNumberOfEntriesIsUnknown) {
  ServiceRetryBudget budget({.ratio = 0.2, .window = seconds(10), .burst = 60});
  EXPECT_EQ(Spend(budget, kStart), 0);
}

// Guards against a window of the platform that contains more retries than allowed. The window may
// start at any time, and requests before it do not count.
TEST(ServiceRetryBudgetTest, NoWindowExceedsItsBudget) {
  ServiceRetryBudget budget({.ratio = 0.2, .window = seconds(10), .burst = 20});
  budget.SetEntryCount(2);
  std::vector<std::pair<common::Time, bool>> events;
  for (int i = 0; i < 6000; ++i) {
    const common::Time now = kStart + milliseconds(5 * i);
    // No requests arrive in the last third.
    if (i < 4000) {
      budget.OnRequest("app", now);
      events.emplace_back(now, false);
    }
    if (budget.TryRetry("app", now)) events.emplace_back(now, true);
  }
  for (int i = 0; i <= 200; ++i) {
    const common::Time from = kStart + milliseconds(100 * i);
    double requests = 0;
    double before = 0;
    double retries = 0;
    for (const auto& [at, retry] : events) {
      const bool inside = at >= from && at < from + seconds(10);
      if (inside && retry) ++retries;
      if (inside && !retry) ++requests;
      if (!retry && at >= from - seconds(10) && at < from) ++before;
    }
    EXPECT_LE(retries, 0.2 * std::max(requests, before) + 20);
  }
}

// Guards against one service using the budget of another.
TEST(ServiceRetryBudgetTest, CountsEachServiceSeparately) {
  ServiceRetryBudget budget({.ratio = 0.5, .window = seconds(10), .burst = 0});
  budget.SetEntryCount(1);
  for (int i = 0; i < 20; ++i) budget.OnRequest("llm", kStart);
  EXPECT_FALSE(budget.TryRetry("app", kStart));
  EXPECT_TRUE(budget.TryRetry("llm", kStart));
}

// Guards against retries that reached no server and use up the budget of the service, and against a
// refund that adds to the budget.
TEST(ServiceRetryBudgetTest, RefundsARetryOnce) {
  ServiceRetryBudget budget({.ratio = 0.5, .window = seconds(10), .burst = 0});
  budget.SetEntryCount(1);
  for (int i = 0; i < 10; ++i) budget.OnRequest("llm", kStart);
  budget.Refund("llm");
  int allowed = 0;
  while (budget.TryRetry("llm", kStart)) ++allowed;
  EXPECT_EQ(allowed, 4);
  EXPECT_EQ(budget.SpentShare("llm", kStart), 1);
  budget.Refund("llm");
  EXPECT_EQ(budget.SpentShare("llm", kStart), 0.75);
  EXPECT_TRUE(budget.TryRetry("llm", kStart));
  EXPECT_FALSE(budget.TryRetry("llm", kStart));
}

}  // namespace
}  // namespace briarwood::routing
