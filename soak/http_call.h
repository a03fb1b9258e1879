#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "briarwood/http/event_loop.h"
#include "briarwood/http/heads.h"

namespace briarwood::soak {

struct HttpResponse {
  http::ResponseHead head;
  std::string body;
};

/// Sends one request over a new connection.
/// \param on_end  called once with the complete response, or nothing if it was not received in time
void CallOnce(http::EventLoop& loop, const std::string& address, const http::RequestHead& head,
              const std::string& body, std::chrono::milliseconds timeout,
              std::function<void(std::optional<HttpResponse> response)> on_end);

}  // namespace briarwood::soak
