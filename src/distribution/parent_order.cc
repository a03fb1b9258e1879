#include "briarwood/distribution/parent_order.h"

#include <algorithm>
#include <cstdint>

#include "briarwood/common/digest.h"

namespace briarwood::distribution {

std::vector<std::string> OrderParents(std::string_view child, std::vector<std::string> addresses) {
  const std::uint64_t seed = common::Hash64(child);
  std::sort(addresses.begin(), addresses.end(),
            [seed](const std::string& left, const std::string& right) {
              return common::Hash64(left, seed) < common::Hash64(right, seed);
            });
  return addresses;
}

}  // namespace briarwood::distribution
