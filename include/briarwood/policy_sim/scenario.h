#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/routing/placement.h"
#include "briarwood/routing/scheduler.h"

namespace briarwood::policy_sim {

/// Request class and its traffic.
struct ClassTraffic {
  routing::ClassPolicy policy;
  common::Duration token_gap_target{};
  /// Share of the offered load, in engine time.
  double demand_share = 0;
  /// Medians of the log-normal prompt and output lengths, in tokens.
  double input_median = 0;
  double output_median = 0;
  double output_sigma = 0.8;
  /// The class bursts in scenarios with Scenario::one_class_bursts.
  bool bursts_alone = false;
};

struct CustomerTraffic {
  std::string id;
  /// Contracted share; arrivals are proportional to weight times surge.
  double weight = 1;
  double surge = 1;
};

enum class FaultKind : std::uint8_t {
  /// An engine runs 5 times slower.
  kSlowEngine,
  /// An engine process crashes and restarts after 20 s.
  kCrash,
  /// All engines of a failure domain become unreachable.
  kDomainLoss,
  /// A request crashes every engine that runs it, and its caller repeats it.
  kPoison,
};

struct Fault {
  FaultKind kind{};
  common::Duration at{};
  /// Index of the engine or failure domain.
  std::uint32_t target = 0;
};

/// Workload and faults of one run.
struct Scenario {
  std::string name;
  std::uint32_t domains = 3;
  std::uint32_t engines = 12;
  std::uint32_t entries = 3;
  std::vector<ClassTraffic> classes;
  std::vector<CustomerTraffic> customers;
  std::vector<Fault> faults;
  /// Offered load relative to the capacity of the engines, outside and during the burst.
  double base_load = 0.6;
  double burst_load = 2.0;
  common::Duration burst_start = std::chrono::seconds(10);
  common::Duration burst_end = std::chrono::seconds(190);
  common::Duration end = std::chrono::seconds(230);
  /// Only classes with ClassTraffic::bursts_alone burst; the others stay at the base load.
  bool one_class_bursts = false;
  /// Draws output lengths from a Pareto instead of a log-normal distribution.
  bool heavy_tail = false;
};

/// \returns the scenarios of the published tables.
[[nodiscard]] std::vector<Scenario> AllScenarios();

/// Set of enabled mechanisms.
struct Variant {
  std::string name;
  routing::SchedulerFeatures scheduler;
  routing::PlacementFeatures placement;
  /// Engines report load samples on stream events.
  bool event_samples = true;
  bool length_estimates = true;
  bool retry_budget = true;
  bool suspects = true;
  /// Agents queue requests in the order of arrival instead of rejecting them when full.
  bool agents_queue = false;
};

/// \returns the full policy, the baseline, and variants of the full policy without single
/// mechanisms.
[[nodiscard]] std::vector<Variant> AllVariants();

}  // namespace briarwood::policy_sim
