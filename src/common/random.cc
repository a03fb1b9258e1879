#include "briarwood/common/random.h"

namespace briarwood::common {

std::uint64_t SystemSeed() {
  constexpr unsigned kWordBits = 32;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << kWordBits) | device();
}

}  // namespace briarwood::common
