#include "briarwood/common/utf8.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace briarwood::common {
namespace {

constexpr std::size_t kEscapeBytes = 6;

/// \returns the code of the escape "\uXXXX" at the start of `text`, if there is one.
std::optional<std::uint32_t> ReadEscape(std::string_view text) noexcept {
  constexpr std::size_t kPrefixBytes = 2;
  constexpr int kHexadecimal = 16;
  if (text.size() < kEscapeBytes || !text.starts_with("\\u")) return std::nullopt;
  std::uint32_t code = 0;
  const char* end = text.data() + kEscapeBytes;
  const auto parsed = std::from_chars(text.data() + kPrefixBytes, end, code, kHexadecimal);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return code;
}

bool IsHighSurrogate(std::uint32_t code) noexcept { return code >= 0xD800 && code <= 0xDBFF; }
bool IsLowSurrogate(std::uint32_t code) noexcept { return code >= 0xDC00 && code <= 0xDFFF; }

}  // namespace

std::size_t Utf8CharacterLength(std::string_view text) noexcept {
  const auto byte = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  constexpr unsigned char kAsciiEnd = 0x80;
  if (byte(0) < kAsciiEnd) return 1;
  const std::size_t length = byte(0) >= 0xF0 ? 4 : byte(0) >= 0xE0 ? 3 : 2;
  if (byte(0) < 0xC2 || byte(0) > 0xF4 || text.size() < length) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xC0U) != kAsciiEnd) return 0;
  }
  // Overlong encodings, surrogates, and values beyond the last code point.
  const bool invalid = (byte(0) == 0xE0 && byte(1) < 0xA0) || (byte(0) == 0xED && byte(1) > 0x9F) ||
                       (byte(0) == 0xF0 && byte(1) < 0x90) || (byte(0) == 0xF4 && byte(1) > 0x8F);
  return invalid ? 0 : length;
}

bool IsUtf8(std::string_view text) noexcept {
  while (!text.empty()) {
    const std::size_t length = Utf8CharacterLength(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

bool HasOnlyPairedSurrogates(std::string_view json) noexcept {
  // Outside of a string, a backslash makes the text invalid.
  for (std::size_t at = json.find('\\'); at < json.size(); at = json.find('\\', at)) {
    const std::optional<std::uint32_t> code = ReadEscape(json.substr(at));
    if (!code) {
      at += 2;
      continue;
    }
    at += kEscapeBytes;
    if (IsLowSurrogate(*code)) return false;
    if (!IsHighSurrogate(*code)) continue;
    const std::optional<std::uint32_t> low = ReadEscape(json.substr(at));
    if (!low || !IsLowSurrogate(*low)) return false;
    at += kEscapeBytes;
  }
  return true;
}

}  // namespace briarwood::common
