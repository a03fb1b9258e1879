#pragma once

#include <cstddef>

namespace briarwood::mutation {

/// Measures the heap memory that the current thread allocates during the lifetime of the meter. The
/// test program replaces the global allocation functions for this purpose.
class AllocationMeter {
 public:
  AllocationMeter() noexcept;

  /// \returns the maximum number of bytes in use at any time since the construction.
  [[nodiscard]] std::size_t peak_bytes() const noexcept;

 private:
  std::ptrdiff_t start_bytes_;
};

}  // namespace briarwood::mutation
