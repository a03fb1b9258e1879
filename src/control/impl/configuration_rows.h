#pragma once

#include <map>
#include <string>
#include <utility>

#include "configuration.pb.h"
#include "control.pb.h"

namespace briarwood::control::impl {

/// Value of each published configuration row by (kind, id).
using ConfigurationRows = std::map<std::pair<schema::RowKind, std::string>, std::string>;

/// \returns the rows of a merged configuration. Single tables have the row ids "capacity", "usage"
/// and "caller_limits"; the row id of a route is its path, that of a forward route its host and
/// path prefix; all other rows have the id of their message.
[[nodiscard]] ConfigurationRows MakeConfigurationRows(const schema::Configuration& merged);

/// \returns true for the kinds that MakeConfigurationRows produces.
[[nodiscard]] bool IsConfigurationKind(schema::RowKind kind) noexcept;

/// \returns the lower-case name of a kind, such as "backend_server".
[[nodiscard]] std::string RowKindName(schema::RowKind kind);

/// \returns a configuration that contains only this row; an empty one when `value` is not valid.
[[nodiscard]] schema::Configuration MakeSingleRowConfiguration(schema::RowKind kind,
                                                               const std::string& value);

}  // namespace briarwood::control::impl
