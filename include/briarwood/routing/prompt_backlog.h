#pragma once

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Estimates how long prompts wait at one engine, from the delays that this entry has seen there.
///
/// Requests with the same shared prompt parts come from many entries to the engine that has cached
/// them, and each entry knows only its own. The delay of a prompt until its first event shows the
/// prompts of all of them. Not thread-safe.
class PromptBacklog {
 public:
  /// Time in which the estimate falls by half without new observations. An engine reads a second of
  /// prompts in a second.
  static constexpr std::chrono::seconds kHalfLife{1};
  /// Share of the target for the first event above which an estimated delay is too long.
  static constexpr double kMaxTargetShare = 0.5;

  /// Records that a prompt has waited for its first event for `delay`, or still waits after that
  /// time.
  void Observe(common::Duration delay, common::Time now);

  /// \returns the delay that a prompt sent now would probably have.
  [[nodiscard]] common::Duration Estimate(common::Time now) const;

  /// \returns true if a prompt would probably wait for too long.
  /// \param target  target for the first event; 0 if there is none
  [[nodiscard]] bool Exceeds(common::Duration target, common::Time now) const;

 private:
  common::Duration delay_{};
  common::Time observed_at_;
};

}  // namespace briarwood::routing
