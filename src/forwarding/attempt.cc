#include "forwarding/impl/attempt.h"

#include <algorithm>
#include <chrono>

namespace briarwood::forwarding::impl {

using std::chrono::milliseconds;

namespace {

/// An attempt is stalled if nothing has arrived for this multiple of the route's target for the
/// first event or, after the first event, for the gap between events. Sound servers may be silent
/// for longer, so a stalled attempt is kept until another one has begun to respond. In normal
/// operation 99% of requests are answered within the target.
constexpr int kFirstEventStallTargets = 2;
constexpr int kGapStallTargets = 5;
/// Lower limits of these timeouts, before and after the first event.
constexpr milliseconds kMinFirstEventStallTimeout{250};
constexpr milliseconds kMinGapStallTimeout{1000};

}  // namespace

common::Duration FirstEventStallTimeout(const schema::ForwardRoute& route) {
  return std::max<common::Duration>(kFirstEventStallTargets * milliseconds(route.target_ms()),
                                    kMinFirstEventStallTimeout);
}

bool Attempt::IsStalled(const schema::ForwardRoute& route, common::Time now) const {
  if (!IsExpectingProgress()) return false;
  const milliseconds gap(route.event_gap_target_ms());
  const common::Duration limit =
      has_progress ? std::max<common::Duration>(kGapStallTargets * gap, kMinGapStallTimeout)
                   : FirstEventStallTimeout(route);
  return now - progress_at > limit;
}

}  // namespace briarwood::forwarding::impl
