#include "settings/impl/text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace briarwood::settings::impl {
namespace {

constexpr std::size_t kMaxShownBytes = 200;
constexpr std::size_t kMaxIdBytes = 128;

bool IsIp(int family, std::string_view text) {
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(family, std::string(text).c_str(), address.data()) == 1;
}

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size();
}

bool IsIdCharacter(char c) {
  constexpr std::string_view kPunctuation = "._:/@-";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         kPunctuation.find(c) != std::string_view::npos;
}

}  // namespace

std::string Clip(std::string_view text) {
  std::string shown;
  for (const char c : text.substr(0, kMaxShownBytes)) {
    shown += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
  }
  if (text.size() > kMaxShownBytes) {
    // A truncated UTF-8 sequence would make the message invalid in a JSON response.
    while (!shown.empty() && (static_cast<unsigned char>(shown.back()) & 0x80U) != 0) {
      shown.pop_back();
    }
    shown += "...";
  }
  return shown;
}

std::string Quote(std::string_view text) { return "\"" + Clip(text) + "\""; }

std::string OneOf(const std::vector<std::string>& names) {
  if (names.size() == 1) return names.front();
  std::string text = "one of ";
  for (std::size_t i = 0; i < names.size(); ++i) text += (i == 0 ? "" : ", ") + names[i];
  return text;
}

bool IsIpPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) return false;
  const std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsIp(AF_INET6, host.substr(1, host.size() - 2));
  }
  return IsIp(AF_INET, host);
}

bool IsIpUrl(std::string_view text) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (!text.starts_with(scheme)) continue;
    const std::string_view rest = text.substr(scheme.size());
    return IsIpPort(rest.substr(0, rest.find('/')));
  }
  return false;
}

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(), IsIdCharacter);
}

}  // namespace briarwood::settings::impl
