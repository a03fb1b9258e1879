#pragma once

#include <map>
#include <string>
#include <utility>

#include "configuration.pb.h"
#include "control.pb.h"

namespace briarwood::control::impl {

/// Value of each published configuration row by (kind, id).
using ConfigurationRows = std::map<std::pair<schema::RowKind, std::string>, std::string>;

/// \returns the rows of a merged configuration. The singletons have the ids "capacity", "usage" and
/// "caller_limits"; routes are known by their path, forwarded ones by host and prefix,
/// everything else by its id.
[[nodiscard]] ConfigurationRows RowsOf(const schema::Configuration& merged);

/// Kinds that RowsOf produces.
[[nodiscard]] bool IsConfigurationKind(schema::RowKind kind) noexcept;

/// \returns the lower-case name of a kind, such as "backend_server".
[[nodiscard]] std::string KindName(schema::RowKind kind);

/// \returns a configuration that holds one row alone.
[[nodiscard]] schema::Configuration ConfigurationOf(schema::RowKind kind, const std::string& value);

}  // namespace briarwood::control::impl
