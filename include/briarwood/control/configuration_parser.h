#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "configuration.pb.h"

namespace briarwood::control {

/// One message per problem, with file, line, key, found and expected value.
using Problems = std::vector<std::string>;

/// Which versions of a document are accepted.
enum class ApplyRule : std::uint8_t {
  /// The version after the current one. A repeated command with the same content gets its first
  /// result.
  kNextVersion,
  /// Any version above the current one. A valid document with another version is acknowledged and
  /// changes nothing, so that repeated and superseded changes are never rejected.
  kHighestVersion,
};

/// Functions by which the control state reads configuration. Both must be deterministic, because
/// every member applies the same log.
struct ConfigurationParser {
  /// Parses one document.
  std::function<common::Result<schema::Configuration, Problems>(const std::string& document,
                                                                const std::string& content)>
      parse;
  /// Checks the merged configuration of all documents.
  std::function<Problems(const schema::Configuration& merged)> validate;
  ApplyRule rule = ApplyRule::kNextVersion;
};

/// \returns the parser for the TOML documents of briarwood::settings.
[[nodiscard]] ConfigurationParser SettingsParser();

}  // namespace briarwood::control
