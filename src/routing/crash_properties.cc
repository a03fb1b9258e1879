#include "briarwood/routing/crash_properties.h"

#include <array>
#include <cctype>
#include <cinttypes>
#include <cstdio>

#include "briarwood/common/digest.h"
#include "briarwood/common/utf8.h"

namespace briarwood::routing {
namespace {

std::string Fingerprint(const RequestIdentity& request) {
  std::string input;
  // NUL separators distinguish ("ab", "c") from ("a", "bc").
  const auto add = [&input](std::string_view text) {
    input += text;
    input.push_back('\0');
  };
  add(request.customer.value());
  add(request.method);
  for (const char letter : request.host) {
    input.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(letter))));
  }
  input.push_back('\0');
  add(request.target);
  // The body may be long, so its digest stands for it.
  const common::Digest128 body = common::Hash128(request.body);
  input.append(reinterpret_cast<const char*>(&body.high), sizeof(body.high));
  input.append(reinterpret_cast<const char*>(&body.low), sizeof(body.low));
  const common::Digest128 digest = common::Hash128(input);
  constexpr std::size_t kLength = 41;
  std::array<char, kLength> text{};
  std::snprintf(text.data(), text.size(), "request:%016" PRIx64 "%016" PRIx64, digest.high,
                digest.low);
  return text.data();
}

}  // namespace

std::vector<std::string> CrashProperties(const std::vector<std::string>& prompt_parts,
                                         const RequestIdentity& request) {
  std::vector<std::string> properties;
  properties.reserve(prompt_parts.size() + 1);
  for (const std::string& part : prompt_parts) {
    // Evidence travels in messages, whose text must be UTF-8; callers choose the ids of parts.
    properties.push_back(common::IsUtf8(part) ? part
                                              : "part:" + common::ToHex(common::Sha256(part)));
  }
  properties.push_back(Fingerprint(request));
  return properties;
}

}  // namespace briarwood::routing
