#pragma once

#include <string>

#include "briarwood/common/result.h"
#include "briarwood/consensus/actions.h"
#include "briarwood/consensus/raft.h"
#include "briarwood/storage/log_store.h"
#include "briarwood/storage/snapshot_store.h"

namespace briarwood::control {

/// Log and snapshots of one member; executes the persist actions of consensus::Raft. All writes may
/// throw storage::StorageError, after which the member must stop. Not thread-safe.
class MemberDisk {
 public:
  /// \returns the disk, or an error that describes why its contents are not usable.
  static common::Result<MemberDisk> Open(const storage::Files& files, const std::string& folder,
                                         std::uint64_t segment_bytes);

  /// \returns the state that Open read from the disk; call only once.
  [[nodiscard]] consensus::DurableState TakeState() { return std::move(state_); }

  void Write(const consensus::PersistHardState& action);
  void Write(const consensus::PersistEntries& action);
  void Write(const consensus::PersistSnapshot& action);
  /// Makes all writes durable.
  void Sync();
  /// Saves a snapshot that this member took and deletes the log up to it.
  void SaveOwnSnapshot(const schema::SnapshotMetadata& metadata, const std::string& data);

  [[nodiscard]] const storage::LogStore& log() const noexcept { return log_; }

 private:
  MemberDisk(storage::LogStore log, storage::SnapshotStore snapshots);

  void Reconcile();

  storage::LogStore log_;
  storage::SnapshotStore snapshots_;
  consensus::DurableState state_;
};

}  // namespace briarwood::control
