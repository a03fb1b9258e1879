#pragma once

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Requests that a cold backend server tolerates from all entries together.
struct ColdLimit {
  double requests_per_second = 0;
  /// Within one second the server tolerates this multiple of the rate, plus `slack` requests.
  double overage = 1;
  double slack = 0;

  friend bool operator==(const ColdLimit&, const ColdLimit&) = default;
};

/// Decides whether a backend server counts as cold, so that it tolerates few requests. The list of
/// backend servers, which states this, is late: after an event with which a server may have become
/// cold, it counts as cold until a list that cannot be older than the event shows it warm. Not
/// thread-safe.
class ColdStart {
 public:
  /// Time by which a list may be older than the time at which it was read.
  static constexpr common::Duration kListDelay = std::chrono::seconds(1);
  /// Bounds the time for which the server counts as cold if no list arrives.
  static constexpr common::Duration kMaxUnconfirmedPeriod = std::chrono::seconds(15);

  /// Applies a list, which shows that the server needs `warm_up` more; 0 if it is warm.
  void OnListed(common::Duration warm_up, common::Time read_at);
  /// The server may have become cold at `now`.
  void OnMayBeCold(common::Time now);

  [[nodiscard]] bool IsCold(common::Time now) const noexcept {
    return now < listed_until_ || now < unconfirmed_until_;
  }

 private:
  /// End of the warm-up that the last list shows.
  common::Time listed_until_;
  /// Time of the last event after which no list has confirmed that the server is warm.
  common::Time event_at_;
  common::Time unconfirmed_until_;
};

}  // namespace briarwood::routing
