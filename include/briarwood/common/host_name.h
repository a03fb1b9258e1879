#pragma once

#include <string>
#include <string_view>

namespace briarwood::common {

/// \returns the name of a Host header or of a configured host, in lower case and without a port,
///   which selects no route.
[[nodiscard]] std::string NormalizeHost(std::string_view host);

}  // namespace briarwood::common
