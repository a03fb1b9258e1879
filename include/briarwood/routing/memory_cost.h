#pragma once

#include <cstdint>
#include <vector>

namespace briarwood::routing {

/// Part of a prompt that requests share. An engine holds it once.
struct SharedPart {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/// Tokens that a request occupies in the memory of an engine.
struct MemoryCost {
  /// Part of the prompt that no other request shares.
  std::uint64_t own_prompt_tokens = 0;
  std::uint64_t expected_output_tokens = 0;
  std::vector<SharedPart> shared_parts;

  [[nodiscard]] std::uint64_t OwnTokens() const noexcept {
    return own_prompt_tokens + expected_output_tokens;
  }
  [[nodiscard]] std::uint64_t SharedTokens() const noexcept {
    std::uint64_t tokens = 0;
    for (const SharedPart& part : shared_parts) tokens += part.tokens;
    return tokens;
  }
  /// \returns the tokens that the request needs before its first output token.
  [[nodiscard]] std::uint64_t PromptTokens() const noexcept {
    return own_prompt_tokens + SharedTokens();
  }
};

}  // namespace briarwood::routing
