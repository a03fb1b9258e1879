#pragma once

#include <optional>

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Moving mean of how long work takes at one server, relative to the usual time.
///
/// A server that shares its machine reports values that change many times a second, while one entry
/// sees one of them every few seconds. A single value says little about the next request; the mean
/// shows which machines are slow for long. Without recent values it returns to 1.
class SlownessMean {
 public:
  /// Records a reported value; 1 is the usual time.
  void Observe(double slowness, common::Time now) noexcept;
  /// \returns the mean.
  [[nodiscard]] double At(common::Time now) const noexcept;

 private:
  double weight_ = 0;
  double sum_ = 0;
  std::optional<common::Time> observed_at_;
};

}  // namespace briarwood::routing
