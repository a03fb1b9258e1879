#include "briarwood/capacity/planner.h"

#include <algorithm>
#include <cmath>

namespace briarwood::capacity {
namespace {

constexpr double kDefaultUtilisation = 0.75;
constexpr std::uint64_t kDefaultScaleInDelaySeconds = 600;
constexpr std::uint64_t kDefaultParallelLoads = 2;
constexpr double kDefaultTokensPerSecond = 1000;

std::uint32_t Ceil(double value) { return static_cast<std::uint32_t>(std::ceil(value)); }

std::string Number(std::uint32_t value, const char* unit) {
  return std::to_string(value) + " " + unit;
}

}  // namespace

Planner::Planner(schema::Capacity limits) : limits_(std::move(limits)) {
  if (limits_.target_utilisation() <= 0) limits_.set_target_utilisation(kDefaultUtilisation);
  if (limits_.scale_in_delay_seconds() == 0) {
    limits_.set_scale_in_delay_seconds(kDefaultScaleInDelaySeconds);
  }
  if (limits_.weight_store_parallel_loads() == 0) {
    limits_.set_weight_store_parallel_loads(kDefaultParallelLoads);
  }
  if (limits_.tokens_per_second_per_engine() == 0) {
    limits_.set_tokens_per_second_per_engine(static_cast<std::uint64_t>(kDefaultTokensPerSecond));
  }
}

Plan Planner::MakePlan(const PlanInput& input) {
  Domains domains;
  std::uint32_t present = 0;
  for (const EngineView& engine : input.engines) {
    DomainCount& domain = domains[engine.failure_domain];
    if (engine.state == EngineState::kRunning) ++domain.serving;
    if (engine.state == EngineState::kStarting) ++domain.starting;
    if (engine.state == EngineState::kRunning || engine.state == EngineState::kStarting) ++present;
  }
  const Wanted wanted = CountWanted(input, domains.size());
  Plan plan{.wanted = wanted.engines, .steps = {}, .limited_by = wanted.limited_by};
  if (present < wanted.engines) {
    surplus_since_.reset();
    ScaleOut(input, wanted, wanted.engines - present, domains, plan);
  } else if (present > wanted.engines) {
    ScaleIn(input, wanted, domains, plan);
  } else {
    surplus_since_.reset();
  }
  StopDrained(input, plan);
  return plan;
}

Planner::Wanted Planner::CountWanted(const PlanInput& input, std::size_t domains) const {
  const auto rate = static_cast<double>(limits_.tokens_per_second_per_engine());
  const auto domain_count = static_cast<std::uint32_t>(std::max<std::size_t>(domains, 1));
  const std::uint32_t for_demand = Ceil(input.demand / (rate * limits_.target_utilisation()));
  Wanted wanted{.engines = for_demand, .reason = Number(for_demand, "engines for the demand")};
  if (domain_count > 1) {
    // Engines are spread evenly, so each domain has 1/domain_count of them.
    const std::uint32_t top = Ceil(input.top_tier_demand / rate);
    const std::uint32_t for_loss =
        Ceil(static_cast<double>(top) * domain_count / static_cast<double>(domain_count - 1));
    if (for_loss > wanted.engines) {
      wanted = {.engines = for_loss,
                .reason = Number(for_loss, "engines for the top tier without one failure domain")};
    }
  }
  const auto minimum = static_cast<std::uint32_t>(limits_.min_engines_per_domain()) * domain_count;
  if (minimum > wanted.engines) wanted = {.engines = minimum, .reason = "the configured minimum"};
  const auto maximum = static_cast<std::uint32_t>(limits_.max_engines_per_domain()) * domain_count;
  if (wanted.engines > maximum) {
    wanted.engines = maximum;
    wanted.limited_by = "the configured maximum";
  }
  if (limits_.max_cost_per_hour() > 0 && limits_.cost_per_engine_hour() > 0) {
    const auto affordable =
        static_cast<std::uint32_t>(limits_.max_cost_per_hour() / limits_.cost_per_engine_hour());
    if (wanted.engines > affordable) {
      wanted.engines = affordable;
      wanted.limited_by = "the cost cap";
    }
  }
  return wanted;
}

void Planner::ScaleOut(const PlanInput& input, const Wanted& wanted, std::uint32_t missing,
                       Domains& domains, Plan& plan) const {
  std::uint32_t loading = 0;
  for (const auto& [id, domain] : domains) loading += domain.starting;
  std::vector<const EngineView*> candidates;
  for (const EngineView& engine : input.engines) {
    if (engine.state == EngineState::kStopped || engine.state == EngineState::kDraining) {
      candidates.push_back(&engine);
    }
  }
  while (missing > 0 && !candidates.empty()) {
    // Draining engines come first, because they can serve immediately; then the domain with the
    // fewest engines.
    const auto best = std::min_element(
        candidates.begin(), candidates.end(), [&](const auto* left, const auto* right) {
          const auto rank = [&](const EngineView& engine) {
            const DomainCount& domain = domains[engine.failure_domain];
            return std::make_pair(engine.state != EngineState::kDraining,
                                  domain.serving + domain.starting);
          };
          return rank(*left) < rank(*right);
        });
    const EngineView& engine = **best;
    candidates.erase(best);
    const bool start = engine.state == EngineState::kStopped;
    if (start && loading >= limits_.weight_store_parallel_loads()) {
      plan.limited_by = "the rate limit of the weight store";
      return;
    }
    DomainCount& domain = domains[engine.failure_domain];
    ++(start ? domain.starting : domain.serving);
    loading += start ? 1 : 0;
    --missing;
    plan.steps.push_back({.step = start ? PlanStep::kStart : PlanStep::kUndrain,
                          .engine = engine.id,
                          .reason = wanted.reason});
  }
  if (missing > 0) plan.limited_by = "the configured backend servers";
}

void Planner::ScaleIn(const PlanInput& input, const Wanted& wanted, const Domains& domains,
                      Plan& plan) {
  if (!surplus_since_) surplus_since_ = input.now;
  const std::chrono::seconds delay(limits_.scale_in_delay_seconds());
  if (input.now - *surplus_since_ < delay) return;
  const EngineView* chosen = nullptr;
  const auto count = [&](const EngineView& engine) {
    return domains.at(engine.failure_domain).serving;
  };
  for (const EngineView& engine : input.engines) {
    if (engine.state != EngineState::kRunning) continue;
    const bool preferred =
        chosen == nullptr || count(engine) > count(*chosen) ||
        (count(engine) == count(*chosen) && engine.running_requests < chosen->running_requests);
    if (preferred) chosen = &engine;
  }
  if (chosen == nullptr) return;
  plan.steps.push_back({.step = PlanStep::kDrain,
                        .engine = chosen->id,
                        .reason = "more engines than " + wanted.reason + " for " +
                                  std::to_string(delay.count()) + " s"});
}

void Planner::StopDrained(const PlanInput& input, Plan& plan) {
  for (const EngineView& engine : input.engines) {
    const bool undrained =
        std::any_of(plan.steps.begin(), plan.steps.end(),
                    [&](const PlannedStep& step) { return step.engine == engine.id; });
    if (engine.state == EngineState::kDraining && engine.running_requests == 0 && !undrained) {
      plan.steps.push_back({.step = PlanStep::kStop, .engine = engine.id, .reason = "drained"});
    }
  }
}

}  // namespace briarwood::capacity
