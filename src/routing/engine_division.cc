#include "briarwood/routing/engine_division.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace briarwood::routing {

EngineSide EngineDivision::SideOfRequest(std::chrono::milliseconds gap_target) const noexcept {
  if (!active()) return EngineSide::kAny;
  const bool has_short_gaps = gap_target.count() > 0 && gap_target <= max_gap_target;
  return has_short_gaps ? EngineSide::kStreams : EngineSide::kPrompts;
}

EngineSide EngineDivision::SideOfEngine(std::size_t position) const noexcept {
  if (!active()) return EngineSide::kAny;
  if (position < stream_engines) return EngineSide::kStreams;
  if (position < std::size_t{stream_engines} + draining_engines) return EngineSide::kDraining;
  return EngineSide::kPrompts;
}

std::vector<std::uint32_t> OrderEngines(const std::vector<EnginePlace>& engines) {
  std::vector<std::uint32_t> by_hash(engines.size());
  std::iota(by_hash.begin(), by_hash.end(), 0U);
  std::sort(by_hash.begin(), by_hash.end(), [&](std::uint32_t left, std::uint32_t right) {
    return engines[left].hash < engines[right].hash;
  });
  // Engines of a failure domain that precede an engine decide the round in which it has its turn.
  std::map<common::FailureDomainId, std::uint32_t> rounds;
  std::vector<std::uint32_t> round(engines.size());
  for (const std::uint32_t engine : by_hash) {
    round[engine] = rounds[engines[engine].failure_domain]++;
  }
  std::vector<std::uint32_t> ordered = by_hash;
  std::sort(ordered.begin(), ordered.end(), [&](std::uint32_t left, std::uint32_t right) {
    return std::tie(round[left], engines[left].failure_domain, engines[left].hash) <
           std::tie(round[right], engines[right].failure_domain, engines[right].hash);
  });
  std::vector<std::uint32_t> positions(engines.size());
  for (std::uint32_t position = 0; position < ordered.size(); ++position) {
    positions[ordered[position]] = position;
  }
  return positions;
}

}  // namespace briarwood::routing
