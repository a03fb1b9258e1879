#pragma once

#include <algorithm>
#include <chrono>

#include "briarwood/common/time.h"

namespace briarwood::forwarding::impl {

/// Spaces the searches of one request for a backend server that replaces a silent one. The interval
/// doubles with each replacement.
class ReplacementPacer {
 public:
  [[nodiscard]] bool MayTry(common::Time now) const noexcept { return now >= next_try_at_; }
  void OnTry(common::Time now) noexcept { next_try_at_ = now + interval_; }
  void OnReplaced() noexcept { interval_ = std::min(2 * interval_, kMaxInterval); }

 private:
  static constexpr std::chrono::milliseconds kMinInterval{50};
  static constexpr std::chrono::milliseconds kMaxInterval{800};

  common::Time next_try_at_;
  std::chrono::milliseconds interval_ = kMinInterval;
};

}  // namespace briarwood::forwarding::impl
