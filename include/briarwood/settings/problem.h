#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarwood::settings {

/// A problem in a document.
struct Problem {
  /// Empty if the problem is in the merge of several documents.
  std::string file;
  /// Starts at 1; 0 if unknown.
  std::uint32_t line = 0;
  /// Path of the key, such as `classes[1].floor_share`; empty for the whole document.
  std::string key;
  std::string found;
  std::string expected;

  /// \returns "file:line: key: found X, expected Y"; unknown parts are omitted.
  [[nodiscard]] std::string ToString() const;

  friend bool operator==(const Problem&, const Problem&) = default;
};

/// \returns all problems, one per line.
[[nodiscard]] std::string ToString(const std::vector<Problem>& problems);

}  // namespace briarwood::settings
