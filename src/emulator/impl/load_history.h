#pragma once

#include <cstdint>
#include <deque>

#include "briarwood/common/time.h"

namespace briarwood::emulator::impl {

struct LoadSample {
  common::Time at;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  /// Duration of the last step.
  std::uint64_t token_gap_us = 0;
};

/// Records load samples and reports them with a lag.
class LoadHistory {
 public:
  explicit LoadHistory(common::Duration lag) : lag_(lag) {}

  void Add(const LoadSample& sample);

  /// \returns the newest sample that is at least as old as the lag, or an idle one if there is
  /// none.
  [[nodiscard]] LoadSample DelayedSample(common::Time now) const;

 private:
  common::Duration lag_;
  std::deque<LoadSample> samples_;
};

}  // namespace briarwood::emulator::impl
