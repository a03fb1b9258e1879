#pragma once

#include <string>
#include <vector>

#include "configuration.pb.h"

namespace briarwood::settings {

/// Validates the forward routes, services, customers and keys of a merged configuration.
/// \returns one message per problem.
[[nodiscard]] std::vector<std::string> CheckForwarding(const schema::Configuration& merged);

}  // namespace briarwood::settings
