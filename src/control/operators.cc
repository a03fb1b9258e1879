#include "briarwood/control/operators.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

#include "briarwood/common/digest.h"

namespace briarwood::control {
namespace {

constexpr std::size_t kHexDigits = 64;

bool IsLowerHexDigest(const std::string& text) {
  return text.size() == kHexDigits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace

common::Result<Operators> Operators::Parse(const std::string& file_name, std::string_view text) {
  using ParseResult = common::Result<Operators>;
  Operators operators;
  std::istringstream lines{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    std::istringstream fields(line);
    std::string name;
    std::string digest;
    std::string rest;
    if (!(fields >> name) || name.front() == '#') continue;
    fields >> digest >> rest;
    if (!IsLowerHexDigest(digest) || !rest.empty()) {
      // The line is not quoted, because it may contain a credential in place of its digest.
      return ParseResult::Failure(
          file_name + ":" + std::to_string(number) +
          ": found a line of another format, expected \"name sha256-in-hex\"");
    }
    operators.digests_.emplace_back(std::move(name), std::move(digest));
  }
  return ParseResult::Success(std::move(operators));
}

common::Result<Operators> Operators::Load(const std::string& file_name) {
  std::ifstream file(file_name);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return common::Result<Operators>::Failure(file_name +
                                              ": found no readable file of operators, " +
                                              "expected lines of \"name sha256-in-hex\"");
  }
  return Parse(file_name, text.str());
}

std::optional<std::string> Operators::Find(std::string_view credential) const {
  const std::string digest = common::ToHex(common::Sha256(credential));
  std::optional<std::string> found;
  for (const auto& [name, expected] : digests_) {
    if (common::EqualConstantTime(expected, digest)) found = name;
  }
  return found;
}

}  // namespace briarwood::control
