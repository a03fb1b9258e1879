#include "briarwood/routing/dispatch.h"

#include <utility>

namespace briarwood::routing {
namespace {

/// A preempted stream has to repeat its prefill, so a request waits for a free slot during the
/// first half of its first-token target before it may preempt.
bool MayPreempt(const QueuedRequest& request, common::Time now) {
  const common::Duration target = request.first_token_deadline - request.enqueued_at;
  return request.first_token_deadline - now < target / 2;
}

}  // namespace

std::optional<Dispatch> NextDispatch(
    Scheduler& scheduler, Placement& placement, common::Time now,
    const std::function<bool(const QueuedRequest&, common::Tier)>& admits,
    const std::function<void(const QueuedRequest&)>& on_lack_of_memory) {
  std::optional<PlacementChoice> choice;
  auto picked = scheduler.PickNext(
      now, [&](const QueuedRequest& request, common::Tier tier, bool class_below_floor) {
        if (admits && !admits(request, tier)) return false;
        choice = placement.Pick({.capability = request.capability,
                                 .tier = tier,
                                 .prefix_hash = request.prefix_hash,
                                 .work = request.work,
                                 .memory = &request.memory,
                                 .alone = request.alone,
                                 .may_preempt = MayPreempt(request, now),
                                 .class_below_floor = class_below_floor,
                                 .gap_target = request.gap_target,
                                 .first_event_target = request.prompt_target,
                                 .avoid = request.avoid},
                                now);
        if (!choice && on_lack_of_memory && placement.LastPickLackedMemory()) {
          on_lack_of_memory(request);
        }
        return choice.has_value();
      });
  if (!picked) return std::nullopt;
  placement.OnSent(choice->id, picked->tier, picked->request.alone, now, picked->request.work,
                   picked->request.memory);
  return Dispatch{.picked = std::move(*picked), .choice = std::move(*choice)};
}

}  // namespace briarwood::routing
