#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "configuration.pb.h"

namespace briarwood::capacity {

enum class EngineState : std::uint8_t { kStopped, kStarting, kRunning, kDraining };

struct EngineView {
  common::BackendServerId id;
  common::FailureDomainId failure_domain;
  EngineState state = EngineState::kStopped;
  /// Number of requests running on the engine.
  std::uint32_t running_requests = 0;
};

struct PlanInput {
  common::UnixMillis now{};
  /// Highest demand expected until an engine started now serves requests, in tokens per second.
  double demand = 0;
  /// Part of the demand that belongs to the top tier.
  double top_tier_demand = 0;
  std::vector<EngineView> engines;
};

enum class PlanStep : std::uint8_t {
  kStart,
  /// Returns a draining engine to service.
  kUndrain,
  kDrain,
  /// Stops a drained engine.
  kStop,
};

struct PlannedStep {
  PlanStep step = PlanStep::kStart;
  common::BackendServerId engine;
  /// Explanation for operators.
  std::string reason;
};

struct Plan {
  /// Required number of engines in all failure domains.
  std::uint32_t wanted = 0;
  std::vector<PlannedStep> steps;
  /// Limit that keeps the plan below the demand; empty if there is none.
  std::string limited_by;
};

/// Decides which engines run.
///
/// The number of engines is sufficient for the demand at the target utilisation, and for the top
/// tier after the loss of the largest failure domain, within the configured bounds and the cost
/// cap. The number of simultaneous starts is limited by the parallel loads of the weight store.
/// Engines are removed only after fewer have been required throughout the scale-in delay, and they
/// are drained before they are stopped. Not thread-safe.
class Planner {
 public:
  explicit Planner(schema::Capacity limits);

  [[nodiscard]] Plan MakePlan(const PlanInput& input);

 private:
  struct Wanted {
    std::uint32_t engines = 0;
    std::string reason;
    std::string limited_by;
  };
  struct DomainCount {
    std::uint32_t serving = 0;
    std::uint32_t starting = 0;
  };
  using Domains = std::map<common::FailureDomainId, DomainCount>;

  [[nodiscard]] Wanted CountWanted(const PlanInput& input, std::size_t domains) const;
  void ScaleOut(const PlanInput& input, const Wanted& wanted, std::uint32_t missing,
                Domains& domains, Plan& plan) const;
  void ScaleIn(const PlanInput& input, const Wanted& wanted, const Domains& domains, Plan& plan);
  static void StopDrained(const PlanInput& input, Plan& plan);

  schema::Capacity limits_;
  /// Start of the period in which fewer engines are required than are running or starting.
  std::optional<common::UnixMillis> surplus_since_;
};

}  // namespace briarwood::capacity
