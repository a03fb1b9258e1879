#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/storage/error.h"
#include "briarwood/storage/files.h"
#include "consensus.pb.h"

namespace briarwood::storage {

struct Snapshot {
  schema::SnapshotMetadata metadata;
  std::shared_ptr<const std::string> data;
};

/// Stores the latest snapshot in its own file. A new snapshot is written to a temporary file, which
/// is synced and renamed, and the folder is synced before the old snapshot is removed. Not
/// thread-safe.
class SnapshotStore {
 public:
  static common::Result<SnapshotStore, StorageError> Open(Files files, std::string folder);

  /// \returns the snapshot that Open loaded and verified, if any; nothing once Save has replaced
  /// it.
  [[nodiscard]] const std::optional<Snapshot>& loaded() const noexcept { return loaded_; }
  [[nodiscard]] std::uint64_t latest_index() const noexcept { return latest_index_; }

  /// Returns once the snapshot is durable. Does nothing if this snapshot or a later one is already
  /// stored. If the disk is full, the call can be repeated; after any other failure every further
  /// call throws StorageError.
  void Save(const schema::SnapshotMetadata& metadata, const std::string& data);

 private:
  SnapshotStore(Files files, std::string folder);

  void Load();
  void Write(const schema::SnapshotMetadata& metadata, const std::string& data);
  [[nodiscard]] Snapshot Read(std::uint64_t index) const;
  [[nodiscard]] std::string PathOf(std::uint64_t index) const;

  Files files_;
  std::string folder_;
  std::optional<Snapshot> loaded_;
  std::uint64_t latest_index_ = 0;
  bool has_temporary_ = false;
  bool failed_ = false;
};

}  // namespace briarwood::storage
