#pragma once

#include <cstdint>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

struct PromptLimiterOptions {
  /// Load of prompts that may wait for their first token at first, see QueuedRequest::work.
  double first_limit = 120;
  double least_limit = 8;
  double most_limit = 2000;
  /// The limit is looked at this often.
  common::Duration period = std::chrono::milliseconds(200);
  /// Share of late observations above which the limit falls.
  double late_share = 0.15;
  /// Observations in a period without which it stays.
  double least_observations = 6;
  double decrease = 0.85;
  /// Relative and absolute growth in a period in which the limit held something back.
  double growth = 0.05;
  double growth_step = 2;
  /// The top tier may go beyond the limit by this factor.
  double top_tier_factor = 1.25;
};

/// Bounds the prompts that one entry lets wait for their first token at the engines of a service.
///
/// Engines read all the prompts they have admitted by turns, so when too many are sent all of them
/// are late and the streams beside them pause. What is held back waits at the entry in the order of
/// tiers and deadlines. The limit falls while first tokens or pauses are late, and grows while it
/// holds something back and they are not; so entries share the engines without a word to each
/// other. Not thread-safe.
class PromptLimiter {
 public:
  explicit PromptLimiter(PromptLimiterOptions options = {})
      : options_(options), limit_(options.first_limit) {}

  /// \returns true when a prompt of this load may be sent now.
  [[nodiscard]] bool Admits(double work, common::Tier tier);

  void OnSent(double work) noexcept { waiting_ += work; }
  /// The prompt was read, or its request ended.
  void OnDone(double work) noexcept { waiting_ = waiting_ > work ? waiting_ - work : 0; }

  /// One first token or pause of a stream.
  /// \param weight  first tokens tell more than pauses, of which each stream has many
  void Observe(bool late, double weight, common::Time now);

  [[nodiscard]] double limit() const noexcept { return limit_; }
  [[nodiscard]] double waiting() const noexcept { return waiting_; }

 private:
  void Adjust(common::Time now);

  PromptLimiterOptions options_;
  double limit_;
  double waiting_ = 0;
  double observed_ = 0;
  double late_ = 0;
  bool held_back_ = false;
  common::Time period_began_;
};

}  // namespace briarwood::routing
