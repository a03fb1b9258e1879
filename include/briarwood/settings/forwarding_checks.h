#pragma once

#include <string>
#include <vector>

#include "configuration.pb.h"

namespace briarwood::settings {

/// Checks the parts of a merged configuration that requests are forwarded by.
/// \returns one sentence per problem.
[[nodiscard]] std::vector<std::string> CheckForwarding(const schema::Configuration& merged);

}  // namespace briarwood::settings
