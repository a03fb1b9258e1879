#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "briarwood/common/ids.h"

namespace briarwood::routing {

/// What makes two requests of a caller the same, whatever their ids and time limits.
struct RequestIdentity {
  common::CustomerId customer;
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

/// \returns the properties of a request that later requests may share and that may crash the
///   servers which run it: the parts of its prompt, and a fingerprint of the whole request. Each is
///   at most 64 bytes long unless the caller chose a longer part id. A fingerprint has the form
///   "request:" and 32 hexadecimal digits, which no part id has if ids contain no colon.
[[nodiscard]] std::vector<std::string> CrashProperties(const std::vector<std::string>& prompt_parts,
                                                       const RequestIdentity& request);

}  // namespace briarwood::routing
