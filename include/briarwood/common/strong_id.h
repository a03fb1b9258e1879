#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace briarwood::common {

/// Strongly typed identifier that does not convert to identifiers of other kinds.
///
/// \code
/// using CustomerId = StrongId<struct CustomerIdTag, std::string>;
/// \endcode
template <typename Tag, typename T>
class StrongId {
 public:
  using ValueType = T;

  StrongId() = default;
  explicit StrongId(T value) noexcept : value_(std::move(value)) {}

  [[nodiscard]] const T& value() const noexcept { return value_; }

  friend bool operator==(const StrongId&, const StrongId&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted operator
  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  T value_{};
};

}  // namespace briarwood::common

template <typename Tag, typename T>
struct std::hash<briarwood::common::StrongId<Tag, T>> {
  std::size_t operator()(const briarwood::common::StrongId<Tag, T>& id) const noexcept {
    return std::hash<T>{}(id.value());
  }
};
