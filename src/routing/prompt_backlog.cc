#include "briarwood/routing/prompt_backlog.h"

#include <algorithm>
#include <cmath>

namespace briarwood::routing {

void PromptBacklog::Observe(common::Duration delay, common::Time now) {
  // A short delay shows that the engine has caught up; a long one may be that of an old prompt.
  const common::Duration mean = (Estimate(now) + delay) / 2;
  delay_ = std::max(delay, mean);
  observed_at_ = now;
}

common::Duration PromptBacklog::Estimate(common::Time now) const {
  if (delay_ == common::Duration{}) return {};
  const double age_s = std::max(0.0, common::ToSeconds(now - observed_at_));
  return common::FromSeconds(common::ToSeconds(delay_) *
                             std::exp2(-age_s / common::ToSeconds(kHalfLife)));
}

bool PromptBacklog::Exceeds(common::Duration target, common::Time now) const {
  if (target <= common::Duration(0)) return false;
  return common::ToSeconds(Estimate(now)) > kMaxTargetShare * common::ToSeconds(target);
}

}  // namespace briarwood::routing
