#pragma once

#include <optional>

#include "briarwood/common/time.h"

namespace briarwood::routing {

/// What a backend server states about itself in a response.
struct ServerStatement {
  /// The server stops soon and takes no new requests.
  bool leaving = false;
  /// Requests per second that the server takes from all entries together; nothing if it states no
  /// limit.
  std::optional<double> requests_per_second;
  /// Time for which the server wants no requests of this entry, stated with a rejection.
  std::optional<common::Duration> back_off;
};

}  // namespace briarwood::routing
