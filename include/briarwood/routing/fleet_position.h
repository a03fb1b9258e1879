#pragma once

#include <cstdint>
#include <optional>

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Place of an entry among the entries of the fleet.
struct FleetPosition {
  /// Number of entries, at least 1.
  std::uint32_t entries = 1;
  /// Position of this entry among them, from 0; nothing if it is not known.
  std::optional<std::uint32_t> index;
  /// Difference between a clock that all entries share and this entry's clock; nothing if it is not
  /// known.
  std::optional<common::Duration> shared_clock_offset;
};

}  // namespace briarwood::routing
