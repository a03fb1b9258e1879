#include "briarwood/routing/slowness_mean.h"

#include <algorithm>
#include <cmath>

namespace briarwood::routing {
namespace {

/// Time constant of the weight of a value. Covers several values of each server at an entry that
/// sees one every few seconds.
constexpr common::Duration kPeriod = std::chrono::seconds(15);
/// Weight of the usual time, in values.
constexpr double kPriorWeight = 1;
/// Bounds of a value, so that a faulty one does not take a server out of use.
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 8;

double WeightAfter(common::Duration age) noexcept {
  return std::exp(-std::max(0.0, common::ToSeconds(age)) / common::ToSeconds(kPeriod));
}

}  // namespace

void SlownessMean::Observe(double slowness, common::Time now) noexcept {
  const double kept = observed_at_ ? WeightAfter(now - *observed_at_) : 0;
  weight_ = weight_ * kept + 1;
  sum_ = sum_ * kept + std::clamp(slowness, kMinSlowness, kMaxSlowness);
  observed_at_ = now;
}

double SlownessMean::At(common::Time now) const noexcept {
  if (!observed_at_) return 1;
  const double kept = WeightAfter(now - *observed_at_);
  return (sum_ * kept + kPriorWeight) / (weight_ * kept + kPriorWeight);
}

}  // namespace briarwood::routing
