#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Times to the first byte of the recent answers on one route.
class AnswerTimeWindow {
 public:
  void Add(common::Duration time, common::Time now);

  /// \returns the quantile `share` of the recent times, or nothing if they are too few.
  /// \param share  0 to 1
  [[nodiscard]] std::optional<common::Duration> Quantile(double share, common::Time now) const;

  /// \returns the time of the last answer.
  [[nodiscard]] common::Time last_at() const noexcept { return last_at_; }

 private:
  struct Answer {
    common::Time at;
    common::Duration time{};
  };

  static constexpr std::size_t kMaxAnswers = 128;

  std::array<Answer, kMaxAnswers> answers_{};
  std::size_t size_ = 0;
  /// Place of the next answer.
  std::size_t next_ = 0;
  common::Time last_at_;
};

}  // namespace briarwood::routing
