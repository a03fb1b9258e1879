#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

namespace briarwood::common {

/// Base class of all exceptions. Each layer throws its own subclass and translates the exceptions
/// of the layers below.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Thrown when the value of a failed result or the error of a successful one is read.
class BadResultAccess : public Error {
 public:
  using Error::Error;
};

/// Either a value or an error, for example the result of a static factory function.
///
/// \code
/// Result<Raft, std::string> raft = Raft::Create(options);
/// if (!raft.ok()) return raft.error();
/// \endcode
template <typename T, typename E = std::string>
class [[nodiscard]] Result {
 public:
  static Result Success(T value) { return Result(std::in_place_index<0>, std::move(value)); }
  static Result Failure(E error) { return Result(std::in_place_index<1>, std::move(error)); }

  [[nodiscard]] bool ok() const noexcept { return storage_.index() == 0; }

  /// \returns the value; throws BadResultAccess if there is none.
  [[nodiscard]] T& value() & {
    RequireValue();
    return std::get<0>(storage_);
  }
  [[nodiscard]] const T& value() const& {
    RequireValue();
    return std::get<0>(storage_);
  }
  [[nodiscard]] T&& value() && {
    RequireValue();
    return std::get<0>(std::move(storage_));
  }

  /// \returns the error; throws BadResultAccess on success.
  [[nodiscard]] const E& error() const {
    if (ok()) throw BadResultAccess("result holds no error");
    return std::get<1>(storage_);
  }

 private:
  using Storage = std::variant<T, E>;

  // Constructed in place: GCC 12 reports a false "may be used uninitialized" for a moved variant.
  template <std::size_t index, typename Value>
  Result(std::in_place_index_t<index> tag, Value value) : storage_(tag, std::move(value)) {}

  void RequireValue() const {
    if (!ok()) throw BadResultAccess("result holds an error");
  }

  Storage storage_;
};

}  // namespace briarwood::common
