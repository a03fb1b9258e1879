#pragma once

#include <cstddef>
#include <string_view>

namespace briarwood::common {

/// \returns the length in bytes of the UTF-8 character at the start of `text`, which must not be
///   empty, or 0 if it is invalid.
[[nodiscard]] std::size_t Utf8CharacterLength(std::string_view text) noexcept;

[[nodiscard]] bool IsUtf8(std::string_view text) noexcept;

/// True if every escape of a surrogate in a JSON text is half of a pair. JSON parsers turn other
/// ones into bytes that are not UTF-8.
[[nodiscard]] bool HasOnlyPairedSurrogates(std::string_view json) noexcept;

}  // namespace briarwood::common
