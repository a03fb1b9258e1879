#include "briarwood/routing/answer_time_window.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace briarwood::routing {
namespace {

/// Answers count for this period.
constexpr common::Duration kWindow = std::chrono::seconds(60);
constexpr std::size_t kMinAnswers = 8;

}  // namespace

void AnswerTimeWindow::Add(common::Duration time, common::Time now) {
  answers_[next_] = {.at = now, .time = time};
  next_ = (next_ + 1) % kMaxAnswers;
  size_ = std::min(size_ + 1, kMaxAnswers);
  last_at_ = now;
}

std::optional<common::Duration> AnswerTimeWindow::Quantile(double share, common::Time now) const {
  std::vector<common::Duration> times;
  times.reserve(size_);
  for (std::size_t i = 0; i < size_; ++i) {
    if (now - answers_[i].at <= kWindow) times.push_back(answers_[i].time);
  }
  if (times.size() < kMinAnswers) return std::nullopt;
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(times.size())));
  const auto quantile =
      times.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1)) - 1;
  std::nth_element(times.begin(), quantile, times.end());
  return *quantile;
}

}  // namespace briarwood::routing
