#include "briarwood/routing/retry_budget.h"

#include <algorithm>

namespace briarwood::routing {

void RetryBudget::OnRequest(const common::ClassId& class_id, common::Time now) {
  classes_[class_id].requests.Add(1, now);
}

bool RetryBudget::TryRetry(const common::ClassId& class_id, common::Time now) {
  ClassState& state = classes_[class_id];
  const double allowed = options_.ratio * state.requests.Sum(now) + options_.min_retries;
  if (state.retries.Sum(now) + 1 > allowed) return false;
  state.retries.Add(1, now);
  return true;
}

common::Duration RetryBudget::Backoff(std::uint32_t attempt, common::Random& random) {
  constexpr double kInitialLimitSeconds = 0.02;
  constexpr double kMaxLimitSeconds = 1.0;
  constexpr std::uint32_t kMaxDoublings = 10;
  const std::uint32_t doublings = std::min(attempt == 0 ? 0 : attempt - 1, kMaxDoublings);
  const double limit_s =
      std::min(kInitialLimitSeconds * static_cast<double>(1U << doublings), kMaxLimitSeconds);
  return common::FromSeconds(limit_s * random.Uniform());
}

}  // namespace briarwood::routing
