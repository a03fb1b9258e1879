#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Part of the engines of a service that takes a request.
enum class EngineSide : std::uint8_t {
  /// Any engine, because the engines are not divided.
  kAny,
  /// Engines that read no long prompts, so that the gaps between the events of streams stay short.
  kStreams,
  /// Engines that read the prompts of all other requests.
  kPrompts,
  /// Engines that finish their streams before they join the prompts' side. No request has this
  /// side.
  kDraining,
};
inline constexpr std::size_t kEngineSides = 4;

/// Division of the engines of a service between streams whose route promises short gaps between
/// events, and all other requests.
///
/// An engine reads prompts in chunks between the steps of the streams that it runs, and an event
/// takes several steps. Long prompts on the same engine therefore break the gaps of all its
/// streams.
struct EngineDivision {
  /// Number of engines, first in the order of OrderEngines, that take the streams. 0 if the engines
  /// are not divided.
  std::uint32_t stream_engines = 0;
  /// Number of engines after these that finish their streams and take no requests.
  std::uint32_t draining_engines = 0;
  /// Longest gap target of the streams that are kept apart.
  std::chrono::milliseconds max_gap_target{0};

  [[nodiscard]] bool active() const noexcept { return stream_engines > 0; }
  /// \param gap_target  target of the route for the gap between events; 0 if it has none
  [[nodiscard]] EngineSide SideOfRequest(std::chrono::milliseconds gap_target) const noexcept;
  /// \param position  position of the engine in the order of OrderEngines
  [[nodiscard]] EngineSide SideOfEngine(std::size_t position) const noexcept;

  friend bool operator==(const EngineDivision&, const EngineDivision&) = default;
};

struct EnginePlace {
  /// Hash of the id of the engine.
  std::uint64_t hash = 0;
  common::FailureDomainId failure_domain;
};

/// Orders engines in a way that all entries derive from their lists without a message. The failure
/// domains take turns, so that both sides of a division have engines in each of them, and an engine
/// that comes or goes moves others by few positions.
///
/// \returns the position of each engine, in the order of `engines`.
[[nodiscard]] std::vector<std::uint32_t> OrderEngines(const std::vector<EnginePlace>& engines);

}  // namespace briarwood::routing
