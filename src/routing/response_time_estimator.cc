#include "briarwood/routing/response_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace briarwood::routing {
namespace {

constexpr double kMeanGain = 0.125;
constexpr double kDeviationGain = 0.25;
constexpr double kDeviations = 4;
/// Classes that are kept; a configuration has a few.
constexpr std::size_t kMaxClasses = 256;

double OutputOf(std::uint64_t tokens) {
  return static_cast<double>(std::max<std::uint64_t>(tokens, 1));
}

}  // namespace

void ResponseTimeEstimator::Average::Observe(double value) noexcept {
  if (!observed_) {
    observed_ = true;
    mean_ = value;
    deviation_ = value / 2;
    return;
  }
  const double error = value - mean_;
  mean_ += kMeanGain * error;
  deviation_ += kDeviationGain * (std::abs(error) - deviation_);
}

double ResponseTimeEstimator::Average::upper() const noexcept {
  return mean_ + kDeviations * deviation_;
}

void ResponseTimeEstimator::Observe(const common::ClassId& class_id, std::uint64_t output_tokens,
                                    common::Duration first, common::Duration total) {
  if (classes_.size() >= kMaxClasses && !classes_.contains(class_id)) classes_.clear();
  ClassState& state = classes_[class_id];
  state.first_s.Observe(common::ToSeconds(first));
  state.s_per_token.Observe(common::ToSeconds(std::max(total - first, common::Duration::zero())) /
                            OutputOf(output_tokens));
}

std::optional<common::Duration> ResponseTimeEstimator::Estimate(const common::ClassId& class_id,
                                                                std::uint64_t output_tokens) const {
  const auto found = classes_.find(class_id);
  if (found == classes_.end()) return std::nullopt;
  const ClassState& state = found->second;
  return common::FromSeconds(state.first_s.upper() +
                             state.s_per_token.upper() * OutputOf(output_tokens));
}

}  // namespace briarwood::routing
