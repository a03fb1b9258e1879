#include "briarwood/routing/prompt_limiter.h"

#include <algorithm>

namespace briarwood::routing {

bool PromptLimiter::Admits(double work, common::Tier tier) {
  // A single prompt is always admitted; otherwise one larger than the limit would never be sent.
  if (waiting_work_ == 0) return true;
  const double limit = tier.value() == 0 ? limit_ * options_.top_tier_factor : limit_;
  if (waiting_work_ + work <= limit) return true;
  held_back_ = true;
  return false;
}

void PromptLimiter::Observe(bool late, double weight, common::Time now) {
  observed_ += weight;
  if (late) late_ += weight;
  if (now - interval_start_ >= options_.adjust_interval) Adjust(now);
}

void PromptLimiter::Adjust(common::Time now) {
  interval_start_ = now;
  if (observed_ >= options_.min_observed_weight) {
    if (late_ > options_.max_late_share * observed_) {
      // Starts from the work that waits now if that is less than the limit. A limit far above it
      // would otherwise take many intervals to take effect.
      limit_ = options_.decrease * std::min(limit_, std::max(waiting_work_, options_.min_limit));
    } else if (held_back_) {
      limit_ += options_.relative_growth * limit_ + options_.absolute_growth;
    }
    observed_ = 0;
    late_ = 0;
    held_back_ = false;
  }
  limit_ = std::clamp(limit_, options_.min_limit, options_.max_limit);
}

}  // namespace briarwood::routing
