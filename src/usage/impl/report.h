#pragma once

#include <string>

#include "usage.pb.h"

namespace briarwood::usage {

/// \returns the report of a window as JSON with sorted keys and lines in the order of the window,
/// so that equal windows always give the same bytes.
[[nodiscard]] std::string MakeReport(const schema::UsageWindow& window);

}  // namespace briarwood::usage
