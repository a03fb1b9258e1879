#include "briarwood/capacity/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "briarwood/capacity/demand_forecast.h"
#include "briarwood/capacity_sim/capacity_sim.h"

namespace briarwood::capacity {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

schema::Capacity Limits() {
  schema::Capacity limits;
  limits.set_max_engines_per_domain(4);
  limits.set_min_engines_per_domain(1);
  limits.set_weight_store_parallel_loads(2);
  limits.set_tokens_per_second_per_engine(1'000);
  limits.set_target_utilisation(0.5);
  limits.set_scale_in_delay_seconds(600);
  return limits;
}

/// Three failure domains with four engines each. The first `running` engines are running, spread
/// evenly over the domains.
PlanInput Fleet(std::uint32_t running, double demand, double top_tier_demand = 0) {
  PlanInput input{
      .now = seconds(0), .demand = demand, .top_tier_demand = top_tier_demand, .engines = {}};
  for (std::uint32_t i = 0; i < 12; ++i) {
    EngineView engine;
    engine.id = common::BackendServerId("engine-" + std::to_string(i));
    engine.failure_domain = common::FailureDomainId("domain-" + std::to_string(i % 3));
    engine.state = i < running ? EngineState::kRunning : EngineState::kStopped;
    input.engines.push_back(engine);
  }
  return input;
}

std::ptrdiff_t Count(const Plan& plan, PlanStep step) {
  return std::count_if(plan.steps.begin(), plan.steps.end(),
                       [&](const PlannedStep& item) { return item.step == step; });
}

// Guards against starting more engines simultaneously than the weight store can serve.
TEST(PlannerTest, StartsNoMoreEnginesThanTheWeightStoreCanServe) {
  Planner planner(Limits());
  const Plan plan = planner.MakePlan(Fleet(3, 5'000));
  EXPECT_EQ(plan.wanted, 10U);
  EXPECT_EQ(Count(plan, PlanStep::kStart), 2);
  EXPECT_EQ(plan.limited_by, "the rate limit of the weight store");
}

// Guards against a fleet in which the loss of a failure domain leaves too few engines for the top
// tier.
TEST(PlannerTest, LossOfADomainLeavesEnoughForTheTopTier) {
  Planner planner(Limits());
  // 4 engines must remain for the top tier after the loss of a third of the fleet.
  EXPECT_EQ(planner.MakePlan(Fleet(3, 1'000, 4'000)).wanted, 6U);
}

// Guards against stopping engines because of a short drop in demand, and without draining them.
TEST(PlannerTest, ScaleInWaitsAndDrainsFirst) {
  Planner planner(Limits());
  PlanInput input = Fleet(6, 1'000);
  EXPECT_TRUE(planner.MakePlan(input).steps.empty());
  input.now = seconds(300);
  input.demand = 3'000;
  EXPECT_TRUE(planner.MakePlan(input).steps.empty());
  input.now = seconds(301);
  input.demand = 1'000;
  EXPECT_TRUE(planner.MakePlan(input).steps.empty());
  input.now = seconds(901);
  const Plan plan = planner.MakePlan(input);
  ASSERT_EQ(plan.steps.size(), 1U);
  EXPECT_EQ(plan.steps[0].step, PlanStep::kDrain);
  input.engines[0].state = EngineState::kDraining;
  input.engines[0].running_requests = 1;
  EXPECT_EQ(Count(planner.MakePlan(input), PlanStep::kStop), 0);
  input.engines[0].running_requests = 0;
  EXPECT_EQ(Count(planner.MakePlan(input), PlanStep::kStop), 1);
}

// Guards against starting a new engine although a draining one could be returned to service.
TEST(PlannerTest, UndrainsBeforeStartingAnotherEngine) {
  Planner planner(Limits());
  PlanInput input = Fleet(6, 3'400);
  input.engines[2].state = EngineState::kDraining;
  const Plan plan = planner.MakePlan(input);
  ASSERT_FALSE(plan.steps.empty());
  EXPECT_EQ(plan.steps[0].step, PlanStep::kUndrain);
  EXPECT_EQ(plan.steps[0].engine, input.engines[2].id);
  EXPECT_EQ(Count(plan, PlanStep::kStop), 0);
}

// Guards against exceeding the cost cap.
TEST(PlannerTest, CostCapBoundsThePlan) {
  schema::Capacity limits = Limits();
  limits.set_cost_per_engine_hour(2);
  limits.set_max_cost_per_hour(9);
  Planner planner(limits);
  const Plan plan = planner.MakePlan(Fleet(4, 10'000));
  EXPECT_EQ(plan.wanted, 4U);
  EXPECT_EQ(plan.limited_by, "the cost cap");
}

// Guards against a forecast that detects the evening peak only after it has started.
TEST(DemandForecastTest, PredictsThePeakOfThePreviousDay) {
  DemandForecast forecast;
  const auto peak_start = std::chrono::hours(18);
  for (minutes now{0}; now < std::chrono::hours(24) + peak_start - minutes(10); now += minutes(1)) {
    const auto time_of_day = now % std::chrono::hours(24);
    const bool peak = time_of_day >= peak_start && time_of_day < peak_start + minutes(30);
    forecast.Record(now, peak ? 900 : 100);
  }
  const minutes now = std::chrono::hours(24) + peak_start - minutes(10);
  EXPECT_GE(forecast.PeakWithin(now, minutes(6)), 900);
}

// Checks the capacity goal: 30% fewer engine-seconds than a fixed fleet, with an attainment of the
// top tier of at least 99%.
TEST(CapacitySimTest, PlannerSavesThirtyPercentAndKeepsTheTopTier) {
  for (const auto& workload : {capacity_sim::PattamDay(), capacity_sim::TrentvaleEvening()}) {
    capacity_sim::SimOptions options{.engines_per_domain = 4};
    options.limits = Limits();
    options.limits.set_target_utilisation(0.75);
    options.limits.set_engine_start_seconds(180);
    const auto fixed = capacity_sim::Simulate(workload, capacity_sim::FixedFleet{}, options);
    const auto planned = capacity_sim::Simulate(workload, capacity_sim::ForecastPlanner{}, options);
    EXPECT_LE(planned.engine_seconds, 0.7 * fixed.engine_seconds) << workload.name;
    EXPECT_GE(planned.top_tier_attainment, 0.99) << workload.name;
  }
}

}  // namespace
}  // namespace briarwood::capacity
