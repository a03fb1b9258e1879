#pragma once

#include <jsoncpp/json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace briarwood::requests::impl {

/// \returns the value of one JSON document, or nothing if `text` is not valid JSON.
[[nodiscard]] std::optional<Json::Value> ReadJson(std::string_view text);
/// Like ReadJson, but accepts strings that are not UTF-8: for searches in what is passed on as it
/// is.
[[nodiscard]] std::optional<Json::Value> ReadJsonWithAnyText(std::string_view text);

/// \returns `value` on one line, without white space.
[[nodiscard]] std::string WriteJson(const Json::Value& value);

}  // namespace briarwood::requests::impl
