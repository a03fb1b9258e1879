#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace briarwood::usage {

/// Set of 64-bit numbers, stored as disjoint closed intervals; compact when the numbers are dense.
class IntervalSet {
 public:
  /// Adds `value`.
  /// \returns false when the set already contained it.
  bool Insert(std::uint64_t value);

  /// Adds all numbers of [first, last]; the set must not contain any of them.
  void InsertRange(std::uint64_t first, std::uint64_t last);

  [[nodiscard]] bool Contains(std::uint64_t value) const noexcept;

  /// \returns the smallest number of at least `from` that is not in the set.
  [[nodiscard]] std::uint64_t FirstMissing(std::uint64_t from) const noexcept;

  /// \returns the intervals: the first number of each, mapped to the last.
  [[nodiscard]] const std::map<std::uint64_t, std::uint64_t>& intervals() const noexcept {
    return intervals_;
  }

 private:
  std::map<std::uint64_t, std::uint64_t> intervals_;
};

}  // namespace briarwood::usage
