#include "briarwood/observability/log_line.h"

#include <algorithm>
#include <cctype>

namespace briarwood::observability {
namespace {

/// Longer values are truncated, so that a peer cannot fill the log.
constexpr std::size_t kMaxValueBytes = 200;

bool NeedsNoQuotes(char c) {
  constexpr std::string_view kUnquotedPunctuation = "._:/@-";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kUnquotedPunctuation.find(c) != std::string::npos;
}

}  // namespace

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  value = value.substr(0, kMaxValueBytes);
  text_.append(" ").append(key).append("=");
  if (!value.empty() && std::all_of(value.begin(), value.end(), NeedsNoQuotes)) {
    text_ += value;
    return *this;
  }
  text_ += '"';
  for (const char c : value) {
    const bool printable = std::isprint(static_cast<unsigned char>(c)) != 0;
    text_ += !printable || c == '"' || c == '\\' ? '?' : c;
  }
  text_ += '"';
  return *this;
}

}  // namespace briarwood::observability
