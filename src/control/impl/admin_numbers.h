#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

#include "control/impl/admin_calls.h"
#include "control/impl/admin_failure.h"

namespace briarwood::control::impl {

/// Throws AdminFailure (400) unless the whole text is a decimal number.
[[nodiscard]] inline std::uint64_t ParseNumber(const std::string& name, const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [position, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || position != end) {
    throw AdminFailure(400, "bad_request", name + ": found another form, expected a number");
  }
  return number;
}

/// \returns the number in the query, or std::nullopt if the query does not contain it.
[[nodiscard]] inline std::optional<std::uint64_t> QueryNumber(const AdminCall& call,
                                                              const std::string& name) {
  const auto found = call.query.find(name);
  if (found == call.query.end()) return std::nullopt;
  return ParseNumber(name, found->second);
}

}  // namespace briarwood::control::impl
