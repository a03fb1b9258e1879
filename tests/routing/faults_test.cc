#include <gtest/gtest.h>

#include <vector>

#include "briarwood/routing/circuit_breaker.h"
#include "briarwood/routing/length_estimator.h"
#include "briarwood/routing/prefix_cache_view.h"
#include "briarwood/routing/retry_budget.h"
#include "briarwood/routing/suspect_table.h"

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

// Guards against a request that crashes a third engine when its caller repeats it.
TEST(SuspectTableTest, CrashingRequestCrashesAtMostTwoEngines) {
  SuspectTable table;
  const common::Digest128 crashing{.high = 1, .low = 1};
  const common::Digest128 bystander{.high = 2, .low = 2};
  common::Time now = kStart;
  int crashes = 1;
  table.RecordCrash(std::vector{crashing, bystander}, now);
  for (int repetition = 0; repetition < 20; ++repetition, now += seconds(5)) {
    if (!table.BeginTrial(crashing, now, now + seconds(60))) continue;
    EXPECT_FALSE(table.BeginTrial(bystander, now, now + seconds(60)));  // one trial at a time
    ++crashes;
    table.RecordCrash(std::vector{crashing}, now);
    table.EndTrial(crashing, false);
  }
  EXPECT_EQ(crashes, 2);
  EXPECT_EQ(table.Check(crashing, now), SuspectVerdict::kReject);
  ASSERT_TRUE(table.BeginTrial(bystander, now, now + seconds(60)));
  table.EndTrial(bystander, true);
  EXPECT_EQ(table.Check(bystander, now), SuspectVerdict::kClear);
  EXPECT_EQ(table.Check(crashing, kStart + std::chrono::minutes(59)), SuspectVerdict::kReject);
  EXPECT_EQ(table.Check(crashing, kStart + std::chrono::hours(2)), SuspectVerdict::kClear);
}

// Guards against cache state that is still used after lost events or a restart of the engine.
TEST(PrefixCacheViewTest, GapInEventsDropsInferredState) {
  PrefixCacheView view;
  const common::BackendServerId id("e");
  const std::vector<std::uint64_t> none;
  view.Apply(id, common::Incarnation(1), 1, std::vector<std::uint64_t>{10}, none);
  view.Apply(id, common::Incarnation(1), 2, std::vector<std::uint64_t>{11}, none);
  EXPECT_TRUE(view.Holds(id, 10));
  view.Apply(id, common::Incarnation(1), 4, std::vector<std::uint64_t>{12}, none);
  EXPECT_FALSE(view.Holds(id, 10));
  EXPECT_TRUE(view.Holds(id, 12));
  view.Apply(id, common::Incarnation(1), 3, std::vector<std::uint64_t>{13}, none);  // late
  EXPECT_FALSE(view.Holds(id, 13));
  view.Apply(id, common::Incarnation(2), 5, none, none);
  EXPECT_FALSE(view.Holds(id, 12));
}

// Guards against retries that increase their own budget, so that they multiply when every attempt
// fails.
TEST(RetryBudgetTest, BudgetIsNeverMultiplied) {
  RetryBudget budget;
  const common::ClassId top("top");
  constexpr int kRequests = 1000;
  int attempts = 0;
  for (int request = 0; request < kRequests; ++request) {
    const common::Time now = kStart + milliseconds(10) * request;
    budget.OnRequest(top, now);
    ++attempts;
    for (int attempt = 0; attempt < 10 && budget.TryRetry(top, now); ++attempt) ++attempts;
  }
  EXPECT_LE(attempts, kRequests * 1.1 + 3);
  EXPECT_GE(attempts, kRequests * 1.05);
}

// Guards against a breaker that does not open, overloads a recovering server, or never closes
// again.
TEST(CircuitBreakerTest, OpensAndAllowsOneTrial) {
  CircuitBreaker breaker;
  common::Random random(1);
  for (int i = 0; i < 3; ++i) breaker.OnFailure(kStart, random);
  EXPECT_FALSE(breaker.Allows(kStart + milliseconds(400)));
  const common::Time later = kStart + seconds(1);
  EXPECT_TRUE(breaker.Allows(later));
  breaker.OnAttempt(later);
  EXPECT_FALSE(breaker.Allows(later));
  breaker.OnFailure(later, random);
  EXPECT_FALSE(breaker.Allows(later + milliseconds(900)));
  breaker.OnAttempt(later + seconds(2));
  breaker.OnSuccess();
  breaker.OnAttempt(later + seconds(2));
  EXPECT_TRUE(breaker.Allows(later + seconds(2)));
}

// Guards against an estimate that ignores the customer's history or is less than the tokens already
// produced.
TEST(LengthEstimatorTest, EstimateFollowsHistoryAndIsCorrected) {
  LengthEstimator lengths;
  const common::CustomerId customer("c");
  const common::ClassId klass("k");
  const common::ModelId model("m");
  EXPECT_EQ(lengths.Estimate(customer, klass, model), LengthEstimator::kDefaultTokens);
  for (int i = 0; i < 90; ++i) lengths.Observe(customer, klass, model, 20);
  for (int i = 0; i < 10; ++i) lengths.Observe(customer, klass, model, 1000);
  EXPECT_NEAR(lengths.Estimate(customer, klass, model), 118, 1);
  EXPECT_NEAR(lengths.Estimate(customer, klass, model, 100), 1000, 1);
  EXPECT_GT(lengths.Estimate(customer, klass, model, 5000), 5000);
  EXPECT_NEAR(lengths.Estimate(common::CustomerId("new"), klass, model), 118, 1);
}

}  // namespace
}  // namespace briarwood::routing
