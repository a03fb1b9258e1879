#include "briarwood/control/member_disk.h"

#include <iterator>
#include <utility>
#include <vector>

namespace briarwood::control {

using storage::StorageError;
using storage::StorageProblem;

namespace {

/// Creates folders of `parent` durably. A synced file is lost together with a folder that is not.
void CreateFolders(storage::Files files, const std::string& parent,
                   const std::vector<std::string>& folders) {
  for (const std::string& folder : folders) files.CreateFolder(folder);
  files.SyncFolder(parent);
}

}  // namespace

common::Result<MemberDisk> MemberDisk::Open(const storage::Files& files, const std::string& folder,
                                            std::uint64_t segment_bytes) {
  using OpenResult = common::Result<MemberDisk>;
  const std::string log_folder = folder + "/log";
  const std::string snapshot_folder = folder + "/snapshots";
  try {
    CreateFolders(files, folder, {log_folder, snapshot_folder});
  } catch (const StorageError& error) {
    return OpenResult::Failure(error.what());
  }
  auto snapshots = storage::SnapshotStore::Open(files, snapshot_folder);
  if (!snapshots.ok()) return OpenResult::Failure(snapshots.error().what());
  auto log = storage::LogStore::Open(files, {.folder = log_folder, .segment_bytes = segment_bytes});
  if (!log.ok()) return OpenResult::Failure(log.error().what());
  try {
    MemberDisk disk(std::move(log).value(), std::move(snapshots).value());
    disk.Reconcile();
    return OpenResult::Success(std::move(disk));
  } catch (const StorageError& error) {
    return OpenResult::Failure(error.what());
  }
}

MemberDisk::MemberDisk(storage::LogStore log, storage::SnapshotStore snapshots)
    : log_(std::move(log)), snapshots_(std::move(snapshots)) {}

void MemberDisk::Reconcile() {
  storage::LogContents contents = log_.TakeContents();
  state_.hard_state = std::move(contents.hard_state);
  if (snapshots_.loaded()) {
    state_.snapshot = snapshots_.loaded()->metadata;
    state_.snapshot_data = snapshots_.loaded()->data;
  }
  const std::uint64_t index = state_.snapshot.index();
  if (contents.start_index > index) {
    throw StorageError(StorageProblem::kDamaged,
                       "the log starts after entry " + std::to_string(contents.start_index) +
                           " but the snapshot ends at " + std::to_string(index));
  }
  const std::uint64_t covered = index - contents.start_index;
  const bool behind = covered > contents.entries.size();
  const bool differs =
      !behind && covered > 0 && contents.entries[covered - 1].term() != state_.snapshot.term();
  if (behind || differs) {
    // The process crashed after it saved a received snapshot and before it restarted the log.
    log_.Restart(index, state_.snapshot.term());
    log_.Sync();
    return;
  }
  const auto first = contents.entries.begin() + static_cast<std::ptrdiff_t>(covered);
  state_.entries.assign(std::make_move_iterator(first),
                        std::make_move_iterator(contents.entries.end()));
}

void MemberDisk::Write(const consensus::PersistHardState& action) {
  log_.SetHardState(action.state);
}

void MemberDisk::Write(const consensus::PersistEntries& action) { log_.Append(action.entries); }

void MemberDisk::Write(const consensus::PersistSnapshot& action) {
  snapshots_.Save(action.metadata, *action.data);
  log_.Restart(action.metadata.index(), action.metadata.term());
  log_.Sync();
  log_.DeletePrefix(action.metadata.index());
}

void MemberDisk::Sync() { log_.Sync(); }

void MemberDisk::SaveOwnSnapshot(const schema::SnapshotMetadata& metadata,
                                 const std::string& data) {
  if (metadata.index() <= snapshots_.latest_index()) return;
  log_.Sync();
  snapshots_.Save(metadata, data);
  log_.DeletePrefix(metadata.index());
}

}  // namespace briarwood::control
