#include "briarwood/emulator/text_generator.h"

#include <algorithm>
#include <array>

#include "briarwood/common/digest.h"

namespace briarwood::emulator {
namespace {

constexpr std::array<std::string_view, 32> kWords{
    "siding", "track",  "kite",   "wind",  "slot",    "wagon",  "entry",  "judge",
    "the",    "and",    "to",     "of",    "north",   "east",   "crew",   "line",
    "yard",   "points", "signal", "sail",  "frame",   "string", "report", "shift",
    "load",   "brake",  "depot",  "beach", "evening", "plan",   "number", "ready"};

/// Hash seed of response lengths; differs from every token index.
constexpr std::uint64_t kLengthSeed = ~std::uint64_t{0};

}  // namespace

std::string GenerateToken(std::string_view prompt, std::uint64_t index) {
  std::string token = " ";
  token += kWords[common::Hash64(prompt, index) % kWords.size()];
  return token;
}

std::string GenerateText(std::string_view prompt, std::uint64_t count) {
  std::string text;
  for (std::uint64_t i = 0; i < count; ++i) text += GenerateToken(prompt, i);
  return text;
}

std::uint64_t CountTokens(std::string_view text) {
  std::uint64_t words = 0;
  bool in_word = false;
  for (const char c : text) {
    const bool space = c == ' ' || c == '\n' || c == '\t' || c == '\r';
    if (!space && !in_word) ++words;
    in_word = !space;
  }
  return std::max<std::uint64_t>(words, 1);
}

std::uint64_t ResponseLength(std::string_view prompt, const NaturalLength& natural,
                             std::uint64_t max_tokens) {
  if (natural.max_tokens == 0) return max_tokens;
  const std::uint64_t range = natural.max_tokens - natural.min_tokens + 1;
  const std::uint64_t length = natural.min_tokens + common::Hash64(prompt, kLengthSeed) % range;
  return std::min(std::max<std::uint64_t>(length, 1), max_tokens);
}

}  // namespace briarwood::emulator
