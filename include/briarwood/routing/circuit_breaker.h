#pragma once

#include <cstdint>

#include "briarwood/common/random.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

struct CircuitBreakerOptions {
  /// Consecutive failures that open the breaker.
  std::uint32_t failures_to_open = 3;
  /// Backoff after the breaker opens; it doubles with each failed trial up to the maximum below.
  common::Duration first_pause = std::chrono::seconds(1);
  common::Duration longest_pause = std::chrono::seconds(30);
};

/// Blocks requests to one backend server after consecutive failures. After a backoff that doubles
/// with each failed trial, one request is allowed as a trial.
class CircuitBreaker {
 public:
  CircuitBreaker() = default;
  explicit CircuitBreaker(CircuitBreakerOptions options) : options_(options) {}

  /// \returns true if a request may be sent. Does not change the state.
  [[nodiscard]] bool Allows(common::Time now) const noexcept;

  /// Records the start of an attempt. If the breaker is open and the backoff has passed, the
  /// attempt is the trial: no other attempt is allowed until its outcome is recorded.
  void OnAttempt(common::Time now) noexcept;
  void OnSuccess() noexcept;
  /// Records an attempt whose end does not show whether the backend server works, for example
  /// because the caller disconnected.
  void OnInconclusive() noexcept { trial_running_ = false; }
  /// \param random  source of the backoff jitter, which keeps entries from retrying simultaneously
  void OnFailure(common::Time now, common::Random& random) noexcept;

  [[nodiscard]] bool open() const noexcept { return open_; }

 private:
  CircuitBreakerOptions options_;
  std::uint32_t failures_ = 0;
  std::uint32_t openings_ = 0;
  bool open_ = false;
  bool trial_running_ = false;
  common::Time retry_at_;
};

}  // namespace briarwood::routing
