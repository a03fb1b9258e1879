#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "configuration.pb.h"

namespace briarwood::control {

/// One sentence per problem, with file, line, key, found and expected value.
using Problems = std::vector<std::string>;

/// Which versions of a document are accepted.
enum class ApplyRule : std::uint8_t {
  /// The version after the one in force; a resend with the same content gets its first answer.
  kReplaceNext,
  /// Any version above the one in force. A valid document with another version is acknowledged and
  /// changes nothing, so that resends and overtaken changes are never refused.
  kHighestVersion,
};

/// How the control state reads configuration; both functions must be deterministic, because every
/// member applies the same log.
struct ConfigurationParser {
  /// Reads one document from its text.
  std::function<common::Result<schema::Configuration, Problems>(const std::string& document,
                                                                const std::string& content)>
      parse;
  /// Checks the merged configuration of all documents.
  std::function<Problems(const schema::Configuration& merged)> validate;
  ApplyRule rule = ApplyRule::kReplaceNext;
};

/// \returns the parser of TOML documents of briarwood::settings.
[[nodiscard]] ConfigurationParser SettingsParser();

}  // namespace briarwood::control
