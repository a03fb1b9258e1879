#pragma once

#include <functional>
#include <optional>

#include "briarwood/common/time.h"
#include "briarwood/routing/placement.h"
#include "briarwood/routing/scheduler.h"

namespace briarwood::routing {

/// Request and the backend server it is sent to.
struct Dispatch {
  PickedRequest picked;
  PlacementChoice choice;
};

/// Takes the next request that can be placed from the queue and counts it as in flight. The entry
/// calls it until it returns nothing: after an arrival, after a request ends, and on its timer.
/// \param admits  optional: says whether a request may be sent now, apart from room at a server
[[nodiscard]] std::optional<Dispatch> NextDispatch(
    Scheduler& scheduler, Placement& placement, common::Time now,
    const std::function<bool(const QueuedRequest&, common::Tier)>& admits = nullptr);

}  // namespace briarwood::routing
