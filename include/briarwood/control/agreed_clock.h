#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::control {

/// Median of the wall clocks of several processes, advanced by the boot clock. It tolerates clocks
/// of single VMs that step by seconds. Not thread-safe.
class AgreedClock {
 public:
  /// Records the wall clock time of a process at `now`.
  void Observe(const std::string& process, common::UnixMillis wall, common::Time now);

  /// \returns the median wall clock time at `now`; nothing before the first observation.
  [[nodiscard]] std::optional<common::UnixMillis> At(common::Time now) const;

 private:
  struct Sample {
    /// Wall clock time at the epoch of the boot clock.
    common::UnixMillis offset{};
    common::Time seen_at;
  };

  std::map<std::string, Sample> samples_;
};

}  // namespace briarwood::control
