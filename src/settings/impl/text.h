#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace briarwood::settings::impl {

/// \returns at most the first 200 bytes of `text`, with "?" in place of control characters and
/// "..." after a truncated text.
[[nodiscard]] std::string Clip(std::string_view text);

/// \returns `text` in double quotes, truncated as by Clip.
[[nodiscard]] std::string Quote(std::string_view text);

/// \returns "a" for a single name, "one of a, b, c" for several.
[[nodiscard]] std::string OneOf(const std::vector<std::string>& names);

/// \returns true for "a.b.c.d:port" and "[v6]:port" with a port from 0 to 65535.
[[nodiscard]] bool IsIpPort(std::string_view text);

/// \returns true for "http://ip:port" and "https://ip:port", with or without a path.
[[nodiscard]] bool IsIpUrl(std::string_view text);

/// \returns true for 1 to 128 letters, digits and the characters "._:/@-".
[[nodiscard]] bool IsId(std::string_view text);

}  // namespace briarwood::settings::impl
