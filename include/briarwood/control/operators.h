#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarwood/common/result.h"

namespace briarwood::control {

/// Operators and the SHA-256 digests of their bearer credentials.
///
/// The file holds one "name sha256-in-hex" pair per line; empty lines and lines that start with #
/// are skipped.
class Operators {
 public:
  /// \returns the operators, or an error that describes file, line, found and expected text.
  [[nodiscard]] static common::Result<Operators> Parse(const std::string& file_name,
                                                       std::string_view text);
  [[nodiscard]] static common::Result<Operators> Load(const std::string& file_name);

  /// Compares every digest in constant time.
  /// \param credential  bearer credential as the operator sent it
  /// \returns the operator's name, or nothing for an unknown credential.
  [[nodiscard]] std::optional<std::string> Find(std::string_view credential) const;

 private:
  // Name and lower-case hex digest.
  std::vector<std::pair<std::string, std::string>> digests_;
};

}  // namespace briarwood::control
