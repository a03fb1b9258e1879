#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::control {

/// Wall clock time that a majority of processes agrees on: the median of their wall clocks, carried
/// forward by the boot clock. Clocks of single VMs may step by seconds. Not thread-safe.
class AgreedClock {
 public:
  /// Records the wall clock of a process as it was at `now`.
  void Observe(const std::string& process, common::UnixMillis wall, common::Time now);

  /// \returns nothing before the first observation.
  [[nodiscard]] std::optional<common::UnixMillis> At(common::Time now) const;

 private:
  struct Sample {
    /// Wall clock time of the boot clock's epoch.
    common::UnixMillis offset{};
    common::Time seen_at;
  };

  std::map<std::string, Sample> samples_;
};

}  // namespace briarwood::control
