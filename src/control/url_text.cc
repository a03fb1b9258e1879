#include "control/impl/url_text.h"

#include <charconv>

namespace briarwood::control::impl {
namespace {

std::string Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const char* end = text.data() + i + 3;
      if (std::from_chars(text.data() + i + 1, end, value, 16).ptr == end) {
        decoded.push_back(static_cast<char>(value));
        i += 2;
        continue;
      }
    }
    decoded.push_back(text[i]);
  }
  return decoded;
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    if (end != 0) parts.push_back(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return parts;
}

}  // namespace

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  for (const std::string_view part : Split(path, '/')) segments.push_back(Decode(part));
  return segments;
}

std::map<std::string, std::string> SplitQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  for (const std::string_view part : Split(query, '&')) {
    const std::size_t equals = part.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? std::string_view() : part.substr(equals + 1);
    values[Decode(part.substr(0, equals))] = Decode(value);
  }
  return values;
}

}  // namespace briarwood::control::impl
