#pragma once

#include <cstdint>
#include <string>

#include "briarwood/common/random.h"
#include "briarwood/policy_sim/scenario.h"
#include "policy_sim/impl/request.h"

namespace briarwood::policy_sim {

/// Generates random requests and arrival times.
class Workload {
 public:
  Workload(const Scenario& scenario, std::uint64_t seed);

  /// \returns the time from `since_start` to the next arrival of a class.
  [[nodiscard]] common::Duration NextArrival(std::uint32_t class_index,
                                             common::Duration since_start);
  [[nodiscard]] SimRequest Draw(std::uint32_t class_index, std::uint64_t number);
  /// \returns the arrivals per second of a class at load 1.
  [[nodiscard]] double BaseRate(std::uint32_t class_index) const;

 private:
  [[nodiscard]] double LogNormal(double median, double sigma);
  [[nodiscard]] std::uint64_t OutputLength(const ClassTraffic& traffic);
  [[nodiscard]] std::uint32_t DrawCustomer();

  const Scenario& scenario_;
  common::Random random_;
  double total_weight_ = 0;
};

}  // namespace briarwood::policy_sim
