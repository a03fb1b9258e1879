#include "briarwood/http/message.h"

#include <algorithm>

namespace briarwood::http {
namespace {

char ToLower(char c) noexcept {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool HeaderNameLess::operator()(std::string_view left, std::string_view right) const noexcept {
  return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                      [](char a, char b) { return ToLower(a) < ToLower(b); });
}

std::string FindHeader(const Headers& headers, std::string_view name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

}  // namespace briarwood::http
