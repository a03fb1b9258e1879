#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarwood::control::impl {

/// \returns the non-empty segments of a percent-encoded path, decoded.
[[nodiscard]] std::vector<std::string> SplitPath(std::string_view path);

/// \returns the names and values of a percent-encoded query, decoded.
[[nodiscard]] std::map<std::string, std::string> SplitQuery(std::string_view query);

}  // namespace briarwood::control::impl
