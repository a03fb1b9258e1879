#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>

namespace briarwood::load {

struct ProcessUsage {
  std::uint64_t resident_bytes = 0;
  std::uint64_t peak_resident_bytes = 0;
  /// User and system time since the start of the process, in seconds.
  double cpu_seconds = 0;
};

/// Reads /proc. \returns the usage, or nothing if the process does not exist.
[[nodiscard]] std::optional<ProcessUsage> ReadProcessUsage(pid_t pid);

}  // namespace briarwood::load
