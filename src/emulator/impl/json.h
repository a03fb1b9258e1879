#pragma once

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarwood/http/message.h"

namespace briarwood::emulator::impl {

/// \returns the object in `text`, or nothing if `text` is not a JSON object.
[[nodiscard]] std::optional<Json::Value> ReadObject(std::string_view text);

/// \returns `value` on one line.
[[nodiscard]] std::string WriteJson(const Json::Value& value);

/// \returns the unsigned number in `field`, `fallback` if the field is absent, or nothing if it is
/// of another type.
[[nodiscard]] std::optional<std::uint64_t> ReadCount(const Json::Value& object, const char* field,
                                                     std::uint64_t fallback);

/// \returns the string in `field`, or an empty string.
[[nodiscard]] std::string ReadText(const Json::Value& object, const char* field);

[[nodiscard]] http::Response JsonResponse(http::Status status, const Json::Value& body);

[[nodiscard]] http::Response ErrorResponse(http::Status status, const std::string& code);

/// \returns the unsigned number in parameter `name` of a query string, or nothing.
[[nodiscard]] std::optional<std::uint64_t> QueryCount(std::string_view query,
                                                      std::string_view name);

/// \returns the wall-clock time.
[[nodiscard]] std::uint64_t UnixMillisNow();

}  // namespace briarwood::emulator::impl
