#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarwood::cli::impl {

/// Table that is printed as text with aligned columns.
class Table {
 public:
  explicit Table(std::vector<std::string> header) : rows_{std::move(header)} {}

  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  /// \returns the lines; empty cells are shown as "-".
  [[nodiscard]] std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// \returns the time as "2026-01-31T12:00:00Z", or "-" for 0.
[[nodiscard]] std::string FormatTime(std::uint64_t unix_ms);

}  // namespace briarwood::cli::impl
