#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "briarwood/common/time.h"
#include "configuration.pb.h"

namespace briarwood::capacity_sim {

/// Demand over a day: a base level and an evening peak whose time shifts from day to day.
struct Workload {
  std::string name;
  /// Tokens per second.
  double base = 0;
  double peak = 0;
  /// Hour of the peak on the first day, its shift per day and its width (standard deviation).
  double peak_hour = 19;
  double shift_minutes_per_day = 3;
  double width_hours = 1;
  /// Share of the demand that belongs to the top tier.
  double top_tier_share = 0.3;
  /// Relative noise per second.
  double noise = 0.05;
  /// Hour at which a second peak starts, such as on a festival morning. Demand rises to it within
  /// five minutes; 0 means no second peak.
  double burst_hour = 0;
  /// Additional demand at the second peak, in tokens per second.
  double burst = 0;
};

/// Always runs enough engines for the highest demand.
struct FixedFleet {};
/// Adds an engine above one utilisation and removes one below another.
struct ThresholdRule {
  double add_above = 0.8;
  double remove_below = 0.5;
};
/// Uses capacity::Planner with capacity::DemandForecast.
struct ForecastPlanner {};

using Strategy = std::variant<FixedFleet, ThresholdRule, ForecastPlanner>;

struct SimOptions {
  schema::Capacity limits;
  std::uint32_t domains = 3;
  /// Maximum number of engines in each domain.
  std::uint32_t engines_per_domain = 5;
  std::uint32_t days = 2;
  std::uint64_t seed = 1;
};

/// Results of the last simulated day.
struct SimResult {
  double engine_seconds = 0;
  double top_tier_attainment = 0;
  double served_share = 0;
  /// Seconds in which the capacity without the largest failure domain was less than the demand of
  /// the top tier.
  std::uint32_t exposed_seconds = 0;
  std::uint32_t starts = 0;
  std::uint32_t stops = 0;
};

/// Simulates a workload in virtual time, in steps of one second. Tokens that are not served within
/// five seconds of their arrival miss their target. The top tier is served first.
[[nodiscard]] SimResult Simulate(const Workload& workload, const Strategy& strategy,
                                 const SimOptions& options);

/// Workloads modelled on the two sites.
[[nodiscard]] Workload PattamDay();
[[nodiscard]] Workload TrentvaleEvening();

}  // namespace briarwood::capacity_sim
