#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace briarwood::common {

/// \returns the padded base64 encoding of `bytes`.
[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/// \returns the decoded bytes of `text`, or nothing if it is not valid padded base64.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace briarwood::common
