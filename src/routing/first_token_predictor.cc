#include "briarwood/routing/first_token_predictor.h"

#include <algorithm>
#include <cmath>

namespace briarwood::routing {
namespace {

/// Weight of a new observation; the effective window is about 50 observations.
constexpr double kSmoothingFactor = 0.02;
constexpr double kMarginDeviations = 2.0;

}  // namespace

void FirstTokenPredictor::Observe(std::uint64_t input_tokens, common::Duration delay) noexcept {
  const auto input = static_cast<double>(input_tokens);
  const double delay_s = common::ToSeconds(delay);
  if (observed_ == 0) {
    observed_ = 1;
    mean_input_ = input;
    mean_delay_s_ = delay_s;
    return;
  }
  deviation_s_ += kSmoothingFactor * (std::abs(delay_s - Mean(input)) - deviation_s_);
  const double input_change = input - mean_input_;
  const double delay_change = delay_s - mean_delay_s_;
  mean_input_ += kSmoothingFactor * input_change;
  mean_delay_s_ += kSmoothingFactor * delay_change;
  variance_input_ += kSmoothingFactor * (input_change * input_change - variance_input_);
  covariance_ += kSmoothingFactor * (input_change * delay_change - covariance_);
}

common::Duration FirstTokenPredictor::Predict(std::uint64_t input_tokens) const noexcept {
  if (observed_ == 0) return {};
  const double mean_s = Mean(static_cast<double>(input_tokens));
  return common::FromSeconds(std::max(0.0, mean_s) + kMarginDeviations * deviation_s_);
}

double FirstTokenPredictor::Mean(double input_tokens) const noexcept {
  const double slope = variance_input_ > 0 ? std::max(0.0, covariance_ / variance_input_) : 0;
  return mean_delay_s_ + slope * (input_tokens - mean_input_);
}

}  // namespace briarwood::routing
