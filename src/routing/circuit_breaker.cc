#include "briarwood/routing/circuit_breaker.h"

#include <algorithm>

namespace briarwood::routing {

bool CircuitBreaker::Allows(common::Time now) const noexcept {
  return !open_ || (!trial_running_ && now >= retry_at_);
}

void CircuitBreaker::OnAttempt(common::Time now) noexcept {
  if (open_ && now >= retry_at_) trial_running_ = true;
}

void CircuitBreaker::OnSuccess() noexcept {
  failures_ = 0;
  openings_ = 0;
  open_ = false;
  trial_running_ = false;
}

void CircuitBreaker::OnFailure(common::Time now, common::Random& random) noexcept {
  ++failures_;
  // Attempts that started before the breaker opened may fail later; they do not extend the backoff.
  if (open_ && !trial_running_) return;
  if (!open_ && failures_ < options_.failures_to_open) return;
  open_ = true;
  trial_running_ = false;
  constexpr std::uint32_t kMaxDoublings = 16;
  const auto doublings = std::min(openings_++, kMaxDoublings);
  const common::Duration backoff =
      std::min(options_.first_pause * (std::int64_t{1} << doublings), options_.longest_pause);
  constexpr double kMinJitter = 0.5;
  const double jitter = kMinJitter + (1 - kMinJitter) * random.Uniform();
  retry_at_ = now + common::FromSeconds(common::ToSeconds(backoff) * jitter);
}

}  // namespace briarwood::routing
