#pragma once

#include <cstdint>

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Predicts the time from dispatch to first token as a linear function of the input tokens, fitted
/// to recent observations with exponential decay.
class FirstTokenPredictor {
 public:
  void Observe(std::uint64_t input_tokens, common::Duration delay) noexcept;

  /// \returns the expected delay plus a margin of two mean absolute deviations; zero before the
  ///   first observation.
  [[nodiscard]] common::Duration Predict(std::uint64_t input_tokens) const noexcept;

 private:
  [[nodiscard]] double Mean(double input_tokens) const noexcept;

  /// 0 before the first observation, then 1.
  double observed_ = 0;
  double mean_input_ = 0;
  double mean_delay_s_ = 0;
  double variance_input_ = 0;
  double covariance_ = 0;
  double deviation_s_ = 0;
};

}  // namespace briarwood::routing
