#include "briarwood/routing/token_window.h"

#include <algorithm>

namespace briarwood::routing {

void TokenWindow::Add(double amount, common::Time now) noexcept {
  Advance(now);
  steps_[static_cast<std::size_t>(current_) % kSteps] += amount;
  sum_ += amount;
}

double TokenWindow::Sum(common::Time now) noexcept {
  Advance(now);
  return std::max(sum_, 0.0);
}

void TokenWindow::Advance(common::Time now) noexcept {
  const std::int64_t step = now.time_since_epoch() / kStep;
  if (step <= current_) return;
  if (step - current_ >= static_cast<std::int64_t>(kSteps)) {
    steps_.fill(0);
    sum_ = 0;
    current_ = step;
    return;
  }
  while (current_ < step) {
    ++current_;
    double& slot = steps_[static_cast<std::size_t>(current_) % kSteps];
    sum_ -= slot;
    slot = 0;
  }
}

}  // namespace briarwood::routing
