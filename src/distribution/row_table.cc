#include "briarwood/distribution/row_table.h"

#include <algorithm>

#include "briarwood/distribution/error.h"

namespace briarwood::distribution {

void RowTable::Store(schema::Row row) {
  const RowKey key{row.kind(), row.id()};
  const auto existing = rows_.find(key);
  if (existing != rows_.end()) {
    const Version version{existing->second.modified_index(), key.first, key.second};
    by_index_.erase(version);
    tombstones_.erase(version);
  }
  const Version version{row.modified_index(), key.first, key.second};
  by_index_.insert(version);
  if (row.deleted()) tombstones_.insert(version);
  last_change_ = std::max(last_change_, common::LogIndex(row.modified_index()));
  rows_[key] = std::move(row);
}

bool RowTable::Put(schema::RowKind kind, const std::string& id, std::string value,
                   common::LogIndex index) {
  Advance(index);
  const schema::Row* existing = Find(kind, id);
  if (existing != nullptr && existing->value() == value) return false;
  schema::Row row;
  row.set_kind(kind);
  row.set_id(id);
  row.set_value(std::move(value));
  row.set_modified_index(index.value());
  Store(std::move(row));
  return true;
}

bool RowTable::Erase(schema::RowKind kind, const std::string& id, common::LogIndex index) {
  Advance(index);
  if (Find(kind, id) == nullptr) return false;
  schema::Row row;
  row.set_kind(kind);
  row.set_id(id);
  row.set_modified_index(index.value());
  row.set_deleted(true);
  Store(std::move(row));
  return true;
}

void RowTable::Advance(common::LogIndex index) {
  if (index < index_) {
    throw DistributionError("index " + std::to_string(index.value()) + " is below " +
                            std::to_string(index_.value()));
  }
  index_ = index;
}

std::vector<RowTable::RowKey> RowTable::EraseRowsNotIn(const Delta& delta) {
  std::set<RowKey> present;
  for (const schema::Row& row : delta.rows) present.emplace(row.kind(), row.id());
  std::vector<RowKey> erased;
  std::erase_if(rows_, [&](const auto& item) {
    if (present.contains(item.first)) return false;
    const Version version{item.second.modified_index(), item.first.first, item.first.second};
    by_index_.erase(version);
    tombstones_.erase(version);
    if (!item.second.deleted()) erased.push_back(item.first);
    return true;
  });
  return erased;
}

std::vector<RowTable::RowKey> RowTable::Merge(const Delta& delta) {
  Advance(delta.index);
  std::vector<RowKey> changed;
  if (delta.full) {
    changed = EraseRowsNotIn(delta);
    // A snapshot carries no tombstones, so deltas from earlier indexes would be incomplete.
    delta_floor_ = delta.index;
  }
  for (const schema::Row& row : delta.rows) {
    const auto existing = rows_.find({row.kind(), row.id()});
    if (existing != rows_.end() && existing->second.modified_index() >= row.modified_index()) {
      continue;
    }
    changed.emplace_back(row.kind(), row.id());
    Store(row);
  }
  return changed;
}

Delta RowTable::DeltaSince(common::LogIndex index, const RowFilter& filter) const {
  if (index > index_) {
    throw ParentBehind("table is at index " + std::to_string(index_.value()) + ", the caller at " +
                       std::to_string(index.value()));
  }
  if (index.value() == 0 || index < delta_floor_) return Snapshot(filter);
  Delta delta{.index = index_};
  const Version first{index.value() + 1, schema::ROW_KIND_UNSPECIFIED, ""};
  for (auto it = by_index_.lower_bound(first); it != by_index_.end(); ++it) {
    const schema::Row& row = rows_.at({std::get<1>(*it), std::get<2>(*it)});
    if (filter.Passes(row)) delta.rows.push_back(row);
  }
  return delta;
}

Delta RowTable::Snapshot(const RowFilter& filter) const {
  Delta delta{.index = index_, .full = true};
  for (const auto& [key, row] : rows_) {
    if (!row.deleted() && filter.Passes(row)) delta.rows.push_back(row);
  }
  return delta;
}

const schema::Row* RowTable::Find(schema::RowKind kind, const std::string& id) const {
  const auto found = rows_.find({kind, id});
  return found == rows_.end() || found->second.deleted() ? nullptr : &found->second;
}

void RowTable::ForEach(schema::RowKind kind,
                       const std::function<void(const schema::Row&)>& visit) const {
  for (auto it = rows_.lower_bound({kind, ""}); it != rows_.end() && it->first.first == kind;
       ++it) {
    if (!it->second.deleted()) visit(it->second);
  }
}

void RowTable::TrimTombstones(std::size_t limit) {
  while (tombstones_.size() > limit) {
    const Version oldest = *tombstones_.begin();
    delta_floor_ = std::max(delta_floor_, common::LogIndex(std::get<0>(oldest)));
    rows_.erase({std::get<1>(oldest), std::get<2>(oldest)});
    by_index_.erase(oldest);
    tombstones_.erase(oldest);
  }
}

void RowTable::Save(schema::RowTableState& state) const {
  state.set_index(index_.value());
  state.set_last_change(last_change_.value());
  state.set_delta_floor(delta_floor_.value());
  for (const auto& [key, row] : rows_) *state.add_rows() = row;
}

RowTable RowTable::FromState(const schema::RowTableState& state) {
  RowTable table;
  for (const schema::Row& row : state.rows()) table.Store(row);
  table.index_ = common::LogIndex(state.index());
  table.last_change_ = common::LogIndex(state.last_change());
  table.delta_floor_ = common::LogIndex(state.delta_floor());
  return table;
}

}  // namespace briarwood::distribution
