#include "briarwood/routing/response_time_estimator.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

/// Factor for responses that last longer than all recent ones.
constexpr double kMargin = 1.2;
/// Responses of a class before it has an estimate.
constexpr std::size_t kMinObservations = 8;
/// Classes that are kept; a configuration has a few.
constexpr std::size_t kMaxClasses = 256;

double OutputOf(std::uint64_t tokens) {
  return static_cast<double>(std::max<std::uint64_t>(tokens, 1));
}

}  // namespace

void ResponseTimeEstimator::RecentMaximum::Observe(double value) noexcept {
  values_[next_] = static_cast<float>(value);
  next_ = (next_ + 1) % kObservations;
  count_ = std::min(count_ + 1, kObservations);
}

double ResponseTimeEstimator::RecentMaximum::value() const noexcept {
  return *std::max_element(values_.begin(), values_.end());
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
  if (found == classes_.end() || found->second.first_s.count() < kMinObservations) {
    return std::nullopt;
  }
  const ClassState& state = found->second;
  return common::FromSeconds(
      kMargin * (state.first_s.value() + state.s_per_token.value() * OutputOf(output_tokens)));
}

}  // namespace briarwood::routing
