#include "briarwood/policy_sim/simulation.h"

#include <gtest/gtest.h>

#include <sstream>
#include <stdexcept>
#include <string>

namespace briarwood::policy_sim {
namespace {

Scenario Find(const std::string& name) {
  for (Scenario& scenario : AllScenarios()) {
    if (scenario.name == name) return scenario;
  }
  throw std::runtime_error("no scenario " + name);
}

Scenario Short(Scenario scenario) {
  scenario.burst_end = std::chrono::seconds(40);
  scenario.end = std::chrono::seconds(110);  // after the end of the longest responses
  return scenario;
}

// Guards against decisions that depend on anything other than the seed.
TEST(SimulationTest, SameSeedGivesSameResults) {
  const Scenario scenario = Short(Find("pattam 2x"));
  std::ostringstream first;
  std::ostringstream second;
  WriteCsv(first, {RunScenario(scenario, AllVariants()[0], 3)});
  WriteCsv(second, {RunScenario(scenario, AllVariants()[0], 3)});
  EXPECT_EQ(first.str(), second.str());
}

// Guards against lower tiers that occupy the servers, so that the top tier waits for a slot.
TEST(SimulationTest, I1TopTierKeepsItsTargetAtTwiceTheCapacity) {
  const Outcome outcome = RunScenario(Short(Find("trentvale 2x")), AllVariants()[0], 1);
  EXPECT_GE(outcome.classes[0].attainment, 0.99);
}

// Guards against a class that gets less than its floor in any 10 s window in which it always has
// queued requests.
TEST(SimulationTest, I2EveryClassGetsItsFloorInEvery10Seconds) {
  const Outcome outcome = RunScenario(Short(Find("trentvale 2x")), AllVariants()[0], 1);
  for (const ClassOutcome& part : outcome.classes) {
    if (part.least_floor >= 0) {
      EXPECT_GE(part.least_floor, 1) << part.class_id;
    }
  }
  EXPECT_GE(outcome.classes[2].least_floor, 1);
}

// Guards against a crashing request that reaches a third engine through another entry.
TEST(SimulationTest, CrashingRequestCrashesAtMostTwoEngines) {
  const Outcome outcome =
      RunScenario(Find("trentvale 0.85x, crashing request"), AllVariants()[0], 1);
  EXPECT_GE(outcome.engines_crashed, 1U);
  EXPECT_LE(outcome.engines_crashed, 2U);
}

}  // namespace
}  // namespace briarwood::policy_sim
