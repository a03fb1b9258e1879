#include "briarwood/routing/response_time_estimator.h"

#include <algorithm>
#include <vector>

namespace briarwood::routing {
namespace {

/// A rejected caller may meet another entry that is stopping, so a response that ends in time with
/// this probability is worth more to it than a rejection.
constexpr double kQuantile = 0.9;
/// Responses of a class before it has an estimate: of fewer, the quantile says little.
constexpr std::size_t kMinObservations = 32;
/// Classes that are kept; a configuration has a few.
constexpr std::size_t kMaxClasses = 256;

double OutputOf(std::uint64_t tokens) {
  return static_cast<double>(std::max<std::uint64_t>(tokens, 1));
}

double NonNegativeSeconds(common::Duration duration) {
  return common::ToSeconds(std::max(duration, common::Duration::zero()));
}

}  // namespace

void ResponseTimeEstimator::Observe(const common::ClassId& class_id, std::uint64_t output_tokens,
                                    common::Duration first, common::Duration total) {
  if (classes_.size() >= kMaxClasses && !classes_.contains(class_id)) classes_.clear();
  ClassState& state = classes_[class_id];
  state.observations[state.next] = {
      .first_s = NonNegativeSeconds(first),
      .s_per_token = NonNegativeSeconds(total - first) / OutputOf(output_tokens)};
  state.next = (state.next + 1) % kObservations;
  state.count = std::min(state.count + 1, kObservations);
}

std::optional<common::Duration> ResponseTimeEstimator::Estimate(const common::ClassId& class_id,
                                                                std::uint64_t output_tokens) const {
  const auto found = classes_.find(class_id);
  if (found == classes_.end() || found->second.count < kMinObservations) return std::nullopt;
  const ClassState& state = found->second;
  std::vector<double> totals;
  totals.reserve(state.count);
  for (std::size_t i = 0; i < state.count; ++i) {
    const Observation& observation = state.observations[i];
    totals.push_back(observation.first_s + observation.s_per_token * OutputOf(output_tokens));
  }
  const auto rank = static_cast<std::ptrdiff_t>(kQuantile * static_cast<double>(state.count));
  std::nth_element(totals.begin(), totals.begin() + rank, totals.end());
  return common::FromSeconds(totals[static_cast<std::size_t>(rank)]);
}

}  // namespace briarwood::routing
