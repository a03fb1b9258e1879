#pragma once

#include <set>
#include <string>

#include "fleet.pb.h"

namespace briarwood::distribution {

/// Selects the rows that a child receives.
///
/// A filter with a backend server passes the rows of that backend server (ROW_KIND_BACKEND_SERVER
/// and ROW_KIND_DRAINING) and, when `kinds` contains it, ROW_KIND_DEAD_INCARNATION. Keys, customers
/// and other backend servers never pass it, whatever `kinds` contains.
class RowFilter {
 public:
  /// Passes every row.
  RowFilter() = default;
  RowFilter(std::set<schema::RowKind> kinds, std::string backend_server);

  [[nodiscard]] static RowFilter FromRequest(const schema::SyncRequest& request);

  /// Writes the filter into a request; the inverse of FromRequest.
  void ToRequest(schema::SyncRequest& request) const;

  [[nodiscard]] bool Passes(const schema::Row& row) const;

 private:
  std::set<schema::RowKind> kinds_;
  std::string backend_server_;
};

}  // namespace briarwood::distribution
