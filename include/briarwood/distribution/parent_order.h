#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace briarwood::distribution {

/// Orders the addresses of possible parents by rendezvous hashing with the id of the child. The
/// order differs between children, so that the parents share the children evenly and the children
/// of a parent that fails move to all others.
[[nodiscard]] std::vector<std::string> OrderParents(std::string_view child,
                                                    std::vector<std::string> addresses);

}  // namespace briarwood::distribution
