#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace briarwood::settings::impl {

/// Refers to a row of a repeated field, or to a singular field if the index is -1.
struct RowRef {
  std::string_view table;
  int index = -1;
  std::string_view id;
};

/// Problem found by a check. It identifies the row by both index and id: a report on one document
/// shows the index, a report on merged documents the id.
struct Finding {
  std::string table;
  int index = -1;
  std::string id;
  std::string field;
  std::string found;
  std::string expected;
};

/// Collects the findings of the checks.
class Findings {
 public:
  void Add(const RowRef& row, std::string_view field, std::string found, std::string expected) {
    list_.push_back({std::string(row.table), row.index, std::string(row.id), std::string(field),
                     std::move(found), std::move(expected)});
  }

  /// Adds a finding if `valid` is false.
  void Require(bool valid, const RowRef& row, std::string_view field, std::string found,
               std::string expected) {
    if (!valid) Add(row, field, std::move(found), std::move(expected));
  }

  [[nodiscard]] const std::vector<Finding>& list() const noexcept { return list_; }

 private:
  std::vector<Finding> list_;
};

}  // namespace briarwood::settings::impl
