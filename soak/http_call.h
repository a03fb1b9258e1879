#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "briarwood/http/event_loop.h"
#include "briarwood/http/heads.h"

namespace briarwood::soak {

struct HttpReply {
  http::ResponseHead head;
  std::string body;
};

/// Sends one request over a connection of its own.
/// \param on_end  called once with the whole response, or nothing when none came in time
void CallOnce(http::EventLoop& loop, const std::string& address, const http::RequestHead& head,
              const std::string& body, std::chrono::milliseconds limit,
              std::function<void(std::optional<HttpReply> reply)> on_end);

}  // namespace briarwood::soak
