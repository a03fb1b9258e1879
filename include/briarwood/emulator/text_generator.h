#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarwood::emulator {

/// Range of lengths at which responses stop before the limit of the caller; 0 and 0 disable this.
struct NaturalLength {
  std::uint64_t min_tokens = 0;
  std::uint64_t max_tokens = 0;
};

/// \returns token `index` of the response to `prompt`: a space and a word. The token depends on
/// nothing else, so that any engine can resume a response that another engine started.
[[nodiscard]] std::string GenerateToken(std::string_view prompt, std::uint64_t index);

/// \returns tokens 0 to `count` - 1 of the response to `prompt`, concatenated.
[[nodiscard]] std::string GenerateText(std::string_view prompt, std::uint64_t count);

/// \returns the number of words in `text`, at least 1; the engine counts each word as one token.
[[nodiscard]] std::uint64_t CountTokens(std::string_view text);

/// \returns the number of tokens of the response to `prompt` if the caller's limit is `max_tokens`.
[[nodiscard]] std::uint64_t ResponseLength(std::string_view prompt, const NaturalLength& natural,
                                           std::uint64_t max_tokens);

}  // namespace briarwood::emulator
