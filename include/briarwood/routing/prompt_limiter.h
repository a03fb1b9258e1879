#pragma once

#include <cstdint>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

struct PromptLimiterOptions {
  /// Initial limit on the total work of the prompts that wait for their first token, see
  /// QueuedRequest::work.
  double initial_limit = 120;
  double min_limit = 8;
  double max_limit = 2000;
  /// Interval between adjustments of the limit.
  common::Duration adjust_interval = std::chrono::milliseconds(200);
  /// Share of late observations above which the limit is reduced.
  double max_late_share = 0.15;
  /// The limit is adjusted only once the weights of the observations since the last adjustment add
  /// up to this value.
  double min_observed_weight = 6;
  /// Factor by which the limit is reduced.
  double decrease = 0.85;
  /// Relative and absolute increase of the limit after an interval in which it held prompts back.
  double relative_growth = 0.05;
  double absolute_growth = 2;
  /// Multiple of the limit that applies to the top tier.
  double top_tier_factor = 1.25;
};

/// Limits the prompts of one entry that wait for their first token at the engines of a service.
///
/// Engines interleave the prefill of all prompts that they have admitted. With too many prompts,
/// all first tokens are late and the other streams of the engines stall. Prompts that are held back
/// wait at the entry, ordered by tier and deadline. The limit falls while first tokens or gaps
/// between tokens are late; it grows while they are on time and prompts are held back. Entries thus
/// share the engines without communicating with each other. Not thread-safe.
class PromptLimiter {
 public:
  explicit PromptLimiter(PromptLimiterOptions options = {})
      : options_(options), limit_(options.initial_limit) {}

  /// \returns true if a prompt with this work may be sent now.
  [[nodiscard]] bool Admits(double work, common::Tier tier);

  void OnSent(double work) noexcept { waiting_work_ += work; }
  /// The prefill of the prompt is complete, or its request ended.
  void OnDone(double work) noexcept {
    waiting_work_ = waiting_work_ > work ? waiting_work_ - work : 0;
  }

  /// Records a first token or a gap between tokens of a stream.
  /// \param late  whether the delay or gap exceeded its target, which this class does not know
  /// \param weight  higher for first tokens, because each stream has only one but many gaps
  void Observe(bool late, double weight, common::Time now);

  [[nodiscard]] double limit() const noexcept { return limit_; }
  /// \returns true if the limit has held a prompt back since its last adjustment.
  [[nodiscard]] bool held_back() const noexcept { return held_back_; }
  /// \returns the total work of the prompts that wait for their first token.
  [[nodiscard]] double waiting() const noexcept { return waiting_work_; }

 private:
  void Adjust(common::Time now);

  PromptLimiterOptions options_;
  double limit_;
  double waiting_work_ = 0;
  double observed_ = 0;
  double late_ = 0;
  bool held_back_ = false;
  common::Time interval_start_;
};

}  // namespace briarwood::routing
