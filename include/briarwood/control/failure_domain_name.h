#pragma once

#include <string_view>

namespace briarwood::control {

/// \returns true for 1 to 128 printable ASCII characters without spaces and "\?#%.
[[nodiscard]] bool IsFailureDomainName(std::string_view name);

}  // namespace briarwood::control
