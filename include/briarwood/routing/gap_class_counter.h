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
  /// Streams whose first gap above the target was within the last seconds.
  std::uint32_t late = 0;

  friend bool operator==(const GapClass&, const GapClass&) = default;
};

/// Counts the streams of one service at one entry by their gap target. Not thread-safe.
class GapClassCounter {
 public:
  /// Time for which an end and a late gap count.
  static constexpr std::chrono::seconds kWindow{4};

  void OnOpened(std::chrono::milliseconds gap_target);
  /// Records the first gap of a stream that exceeded the target.
  void OnLateGap(std::chrono::milliseconds gap_target, common::Time now);
  /// Each call of OnOpened must be followed by one call of OnEnded.
  /// \param had_gaps  false if the stream ended without a gap between two events
  void OnEnded(std::chrono::milliseconds gap_target, bool had_gaps, common::Time now);

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
  [[nodiscard]] Step& StepAt(std::chrono::milliseconds gap_target, common::Time now);

  std::map<std::chrono::milliseconds, State> classes_;
};

}  // namespace briarwood::routing
