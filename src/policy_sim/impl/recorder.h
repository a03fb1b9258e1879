#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "briarwood/policy_sim/simulation.h"
#include "policy_sim/impl/engine.h"
#include "policy_sim/impl/request.h"

namespace briarwood::policy_sim {

/// Collects the metrics of one run.
class Recorder {
 public:
  Recorder(const Scenario& scenario, common::Time start);

  void OnArrival(const SimRequest& request);
  void OnClosed(const SimRequest& request, bool shed);
  /// Records a request that is still open at the end of the run. Its work counts neither as useful
  /// nor as wasted.
  void OnUnfinished(const SimRequest& request);
  void OnServed(const SimRequest& request, common::Time now, double tokens);
  /// Records whether a class has queued requests at every entry.
  void OnBacklog(std::uint32_t class_index, bool standing, common::Time now);
  void OnEngineCrash() { ++engines_crashed_; }

  [[nodiscard]] Outcome Summarise(const std::vector<std::unique_ptr<Engine>>& engines) const;

 private:
  struct Tally {
    double requests = 0;
    double on_time = 0;
    /// Output tokens requested and served.
    double demand = 0;
    double served = 0;
  };
  struct ClassTally {
    std::vector<Tally> customers;
    std::uint64_t shed = 0;
    std::uint64_t preempted = 0;
  };
  struct Window {
    std::vector<double> served;
    std::vector<bool> standing;
  };

  [[nodiscard]] bool InBurst(const SimRequest& request) const;
  [[nodiscard]] bool IsOnTime(const SimRequest& request) const;
  [[nodiscard]] Window& WindowAt(common::Time now);
  [[nodiscard]] ClassOutcome SummariseClass(std::uint32_t class_index) const;
  [[nodiscard]] double MinServiceRatio(const ClassTally& tally) const;
  [[nodiscard]] double MinFloorRatio(std::uint32_t class_index) const;

  const Scenario& scenario_;
  common::Time start_;
  std::vector<ClassTally> classes_;
  std::map<std::int64_t, Window> windows_;
  double on_time_tokens_ = 0;
  double complete_tokens_ = 0;
  double work_ = 0;
  double wasted_ = 0;
  double attempts_ = 0;
  double dispatched_ = 0;
  std::uint64_t engines_crashed_ = 0;
};

}  // namespace briarwood::policy_sim
