#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Streams of one service whose routes have the same target for the gap between events.
struct GapClass {
  std::chrono::milliseconds gap_target{0};
  /// Streams that run or are queued.
  std::uint32_t open = 0;
  /// Streams that ended within the last seconds.
  std::uint32_t ended = 0;
  /// Those of them that had a gap above the target.
  std::uint32_t late = 0;

  friend bool operator==(const GapClass&, const GapClass&) = default;
};

/// Counts the streams of one service at one entry by their gap target. Not thread-safe.
class GapClassCounter {
 public:
  /// Time for which a stream that has ended counts.
  static constexpr std::chrono::seconds kWindow{4};

  void OnOpened(std::chrono::milliseconds gap_target);
  /// Each call of OnOpened must be followed by one call of OnEnded.
  /// \param completed  false if the stream ended without showing whether its gaps were in time
  /// \param late       a gap of the stream exceeded the target
  void OnEnded(std::chrono::milliseconds gap_target, bool completed, bool late, common::Time now);

  /// \returns the classes with open streams or streams that ended within kWindow, by gap target.
  [[nodiscard]] std::vector<GapClass> Classes(common::Time now);

 private:
  static constexpr std::size_t kSteps = 8;

  struct Step {
    std::int64_t number = 0;
    std::uint32_t ended = 0;
    std::uint32_t late = 0;
  };
  struct State {
    std::uint32_t open = 0;
    std::array<Step, kSteps> steps{};
  };

  [[nodiscard]] static std::int64_t StepNumber(common::Time now);

  std::map<std::chrono::milliseconds, State> classes_;
};

}  // namespace briarwood::routing
