#include "briarwood/common/host_name.h"

#include <algorithm>
#include <cctype>

namespace briarwood::common {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

}  // namespace briarwood::common
