#include "briarwood/control/failure_domain_name.h"

#include <algorithm>
#include <cctype>

namespace briarwood::control {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::string_view kReserved = "\"\\?#%";

}  // namespace

bool IsFailureDomainName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isgraph(c) != 0 && c < 0x80 &&
                  kReserved.find(static_cast<char>(c)) == std::string_view::npos;
         });
}

}  // namespace briarwood::control
