#include "briarwood/routing/prompt_limiter.h"

#include <algorithm>

namespace briarwood::routing {

bool PromptLimiter::Admits(double work, common::Tier tier) {
  // One prompt may always wait; otherwise one that is larger than the limit would never be sent.
  if (waiting_ == 0) return true;
  const double limit = tier.value() == 0 ? limit_ * options_.top_tier_factor : limit_;
  if (waiting_ + work <= limit) return true;
  held_back_ = true;
  return false;
}

void PromptLimiter::Observe(bool late, double weight, common::Time now) {
  observed_ += weight;
  if (late) late_ += weight;
  if (now - period_began_ >= options_.period) Adjust(now);
}

void PromptLimiter::Adjust(common::Time now) {
  period_began_ = now;
  if (observed_ >= options_.least_observations) {
    if (late_ > options_.late_share * observed_) {
      // A limit far above what is in use would take many periods to come down.
      limit_ = options_.decrease * std::min(limit_, std::max(waiting_, options_.least_limit));
    } else if (held_back_) {
      limit_ += options_.growth * limit_ + options_.growth_step;
    }
    observed_ = 0;
    late_ = 0;
    held_back_ = false;
  }
  limit_ = std::clamp(limit_, options_.least_limit, options_.most_limit);
}

}  // namespace briarwood::routing
