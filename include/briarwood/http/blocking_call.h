#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/http/heads.h"

namespace briarwood::http {

/// Complete response of a call.
struct CallResponse {
  ResponseHead head;
  std::string body;
};

/// Default limit on the body of a response.
inline constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

/// Sends one request over a new connection and blocks until the response is complete.
/// \param address  "ip:port"
/// \param max_response_bytes  a longer body ends the call with an error
/// \returns the response, or an error that describes why there is none.
[[nodiscard]] common::Result<CallResponse> CallAndWait(
    const std::string& address, const RequestHead& head, std::string body,
    std::chrono::milliseconds timeout, std::size_t max_response_bytes = kMaxResponseBytes);

}  // namespace briarwood::http
