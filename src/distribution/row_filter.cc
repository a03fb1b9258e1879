#include "briarwood/distribution/row_filter.h"

#include <utility>

namespace briarwood::distribution {

RowFilter::RowFilter(std::set<schema::RowKind> kinds, std::string backend_server)
    : kinds_(std::move(kinds)), backend_server_(std::move(backend_server)) {}

RowFilter RowFilter::FromRequest(const schema::SyncRequest& request) {
  std::set<schema::RowKind> kinds;
  for (const int kind : request.kinds()) kinds.insert(static_cast<schema::RowKind>(kind));
  return {std::move(kinds), request.backend_server()};
}

void RowFilter::ToRequest(schema::SyncRequest& request) const {
  request.clear_kinds();
  for (const schema::RowKind kind : kinds_) request.add_kinds(kind);
  request.set_backend_server(backend_server_);
}

bool RowFilter::Passes(const schema::Row& row) const {
  if (backend_server_.empty()) return kinds_.empty() || kinds_.contains(row.kind());
  if (row.kind() == schema::ROW_KIND_DEAD_INCARNATION) return kinds_.contains(row.kind());
  const bool own_kind =
      row.kind() == schema::ROW_KIND_BACKEND_SERVER || row.kind() == schema::ROW_KIND_DRAINING;
  return own_kind && row.id() == backend_server_;
}

}  // namespace briarwood::distribution
