#pragma once

#include <chrono>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/http/heads.h"

namespace briarwood::http {

/// Complete response of a call.
struct CallResponse {
  ResponseHead head;
  std::string body;
};

/// Sends one request over a new connection and blocks until the response is complete.
/// \param address  "ip:port"
/// \returns the response, or an error that describes why there is none.
[[nodiscard]] common::Result<CallResponse> CallAndWait(const std::string& address,
                                                       const RequestHead& head, std::string body,
                                                       std::chrono::milliseconds timeout);

}  // namespace briarwood::http
