#pragma once

#include <cstdint>
#include <string>

#include "soak/invariant_checkers.h"

namespace briarwood::soak {

/// Result of one call.
struct CallOutcome {
  std::string id;
  CallKind kind = CallKind::kOnce;
  /// Entry that the call was sent to, the address of its link, and the lifetime of its process.
  std::string entry;
  std::string entry_address;
  std::uint64_t entry_lifetime = 0;
  common::Time connected_at;
  common::Time sent_at;
  common::Time ended_at;
  /// HTTP status; 0 if there was no response.
  std::uint16_t status = 0;
  bool complete = false;
  /// The connection could not be established, so that nothing was sent.
  bool not_sent = false;
  /// The caller closed the connection before the response was complete.
  bool disconnected = false;
};

}  // namespace briarwood::soak
