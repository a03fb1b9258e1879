#include "briarwood/usage/interval_set.h"

#include <iterator>

namespace briarwood::usage {

bool IntervalSet::Insert(std::uint64_t value) {
  if (Contains(value)) return false;
  InsertRange(value, value);
  return true;
}

void IntervalSet::InsertRange(std::uint64_t first, std::uint64_t last) {
  auto next = intervals_.upper_bound(last);
  if (next != intervals_.end() && next->first == last + 1) {
    last = next->second;
    intervals_.erase(next);
  }
  const auto after = intervals_.upper_bound(first);
  if (after != intervals_.begin()) {
    const auto previous = std::prev(after);
    if (previous->second + 1 == first) {
      previous->second = last;
      return;
    }
  }
  intervals_[first] = last;
}

bool IntervalSet::Contains(std::uint64_t value) const noexcept {
  const auto after = intervals_.upper_bound(value);
  return after != intervals_.begin() && std::prev(after)->second >= value;
}

std::uint64_t IntervalSet::FirstMissing(std::uint64_t from) const noexcept {
  const auto after = intervals_.upper_bound(from);
  if (after == intervals_.begin()) return from;
  const std::uint64_t last = std::prev(after)->second;
  return last >= from ? last + 1 : from;
}

}  // namespace briarwood::usage
