#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace briarwood::soak {

/// HTTP listener of a control member or an entry.
struct Listener {
  std::string name;
  std::string address;
  /// \returns the lifetime of the process that serves the listener (Daemon::lifetime).
  std::function<std::uint64_t()> lifetime;
};

}  // namespace briarwood::soak
