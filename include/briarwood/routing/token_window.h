#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Sliding sum over the last 10 s, in steps of 500 ms: of tokens, or of a count of events.
class TokenWindow {
 public:
  static constexpr common::Duration kLength = std::chrono::seconds(10);

  void Add(double amount, common::Time now) noexcept;
  [[nodiscard]] double Sum(common::Time now) noexcept;

 private:
  static constexpr std::size_t kSteps = 20;
  static constexpr common::Duration kStep = kLength / kSteps;

  void Advance(common::Time now) noexcept;

  std::array<double, kSteps> steps_{};
  std::int64_t current_ = 0;
  double sum_ = 0;
};

}  // namespace briarwood::routing
