#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fleet.pb.h"

namespace briarwood::requests {

/// \returns the event as one line of JSON that ends with a line feed.
[[nodiscard]] std::string EncodeRunEvent(const schema::RunEvent& event);
/// \returns the event, or nothing if `line` is not an event.
[[nodiscard]] std::optional<schema::RunEvent> DecodeRunEvent(std::string_view line);

[[nodiscard]] std::string EncodeRunRequest(const schema::RunRequest& request);
[[nodiscard]] std::optional<schema::RunRequest> DecodeRunRequest(std::string_view text);

[[nodiscard]] std::string EncodeCancelRequest(const schema::CancelRequest& request);
[[nodiscard]] std::optional<schema::CancelRequest> DecodeCancelRequest(std::string_view text);

}  // namespace briarwood::requests
