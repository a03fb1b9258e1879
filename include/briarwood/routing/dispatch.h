#pragma once

#include <functional>
#include <optional>

#include "briarwood/common/time.h"
#include "briarwood/routing/placement.h"
#include "briarwood/routing/scheduler.h"

namespace briarwood::routing {

/// Request and the backend server chosen for it.
struct Dispatch {
  PickedRequest picked;
  PlacementChoice choice;
};

/// Removes the next request for which a backend server is available from the scheduler, and counts
/// it as in flight on that server. Entries call it until it returns `std::nullopt`: after an
/// arrival, after a request ends, and on a timer.
/// \param admits  optional predicate: whether a request may be sent now, regardless of the capacity
///   of the backend servers
[[nodiscard]] std::optional<Dispatch> NextDispatch(
    Scheduler& scheduler, Placement& placement, common::Time now,
    const std::function<bool(const QueuedRequest&, common::Tier)>& admits = nullptr,
    const std::function<void(const QueuedRequest&)>& on_lack_of_memory = nullptr);

}  // namespace briarwood::routing
