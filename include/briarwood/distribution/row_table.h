#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/distribution/row_filter.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::distribution {

/// Rows that update a copy from one index to another.
struct Delta {
  common::LogIndex index;
  /// True when `rows` is the whole table and the receiver removes all other rows.
  bool full = false;
  std::vector<schema::Row> rows;
  /// Versions of the documents at `index`, by name; empty if the sender does not state them.
  std::map<std::string, std::uint64_t> document_versions;
};

/// Versioned rows with tombstones. The key of a row is (kind, id); a row carries the log index of
/// its last change. Not thread-safe.
class RowTable {
 public:
  using RowKey = std::pair<schema::RowKind, std::string>;

  /// Writes a row. A value equal to the current one changes nothing, so that a document that is
  /// applied again does not cause another transfer down the relay tree.
  /// \param index  log index of the change
  /// \returns true when the row changed. Throws DistributionError when `index` is below index().
  bool Put(schema::RowKind kind, const std::string& id, std::string value, common::LogIndex index);

  /// Replaces a row by a tombstone.
  /// \returns true when a live row existed. Throws DistributionError when `index` is below index().
  bool Erase(schema::RowKind kind, const std::string& id, common::LogIndex index);

  /// Raises the index without a change of rows. Throws DistributionError when `index` is below
  /// index().
  void Advance(common::LogIndex index);

  /// Applies rows from a parent's table.
  /// \returns the keys of the rows that changed. Throws DistributionError when `delta.index` is
  /// below index().
  std::vector<RowKey> Merge(const Delta& delta);

  /// \returns the rows that a copy at `index` lacks: those that changed later, tombstones included,
  /// or the whole table when `index` is 0 or later tombstones were already removed. Throws
  /// ParentBehind when `index` is above index().
  [[nodiscard]] Delta DeltaSince(common::LogIndex index, const RowFilter& filter) const;

  /// \returns every live row that passes the filter.
  [[nodiscard]] Delta Snapshot(const RowFilter& filter = {}) const;

  /// \returns the live row, or null.
  [[nodiscard]] const schema::Row* Find(schema::RowKind kind, const std::string& id) const;

  /// Visits the live rows of one kind in ascending order of their ids.
  void ForEach(schema::RowKind kind, const std::function<void(const schema::Row&)>& visit) const;

  /// Removes the oldest tombstones until at most `limit` remain.
  void TrimTombstones(std::size_t limit);

  [[nodiscard]] common::LogIndex index() const noexcept { return index_; }
  /// Highest log index at which a row changed.
  [[nodiscard]] common::LogIndex last_change() const noexcept { return last_change_; }
  [[nodiscard]] std::size_t tombstones() const noexcept { return tombstones_.size(); }
  [[nodiscard]] std::size_t size() const noexcept { return rows_.size() - tombstones_.size(); }

  /// Writes the whole state, tombstones included.
  void Save(schema::RowTableState& state) const;
  [[nodiscard]] static RowTable FromState(const schema::RowTableState& state);

 private:
  using Version = std::tuple<std::uint64_t, schema::RowKind, std::string>;

  void Store(schema::Row row);
  std::vector<RowKey> EraseRowsNotIn(const Delta& delta);

  std::map<RowKey, schema::Row> rows_;
  // All rows, and the tombstones only, in the order of their last change.
  std::set<Version> by_index_;
  std::set<Version> tombstones_;
  common::LogIndex index_;
  common::LogIndex last_change_;
  // Lowest index from which a delta is complete; below it, tombstones were removed.
  common::LogIndex delta_floor_;
};

}  // namespace briarwood::distribution
