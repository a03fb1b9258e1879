#pragma once

#include "briarwood/common/random.h"
#include "briarwood/common/time.h"

namespace briarwood::load {

/// Arrival times of a Poisson process. They do not depend on responses, so that a slow server does
/// not reduce the load.
class Arrivals {
 public:
  /// \param rate_per_second  must be positive
  Arrivals(double rate_per_second, std::uint64_t seed) : rate_(rate_per_second), random_(seed) {}

  /// \returns the time from the start of the run to the next arrival.
  [[nodiscard]] common::Duration Next();

 private:
  double rate_;
  common::Random random_;
  double seconds_ = 0;
};

}  // namespace briarwood::load
