#include "briarwood/storage/snapshot_store.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "briarwood/common/digest.h"
#include "storage/impl/record.h"

namespace briarwood::storage {

namespace {

constexpr std::string_view kSuffix = ".snapshot";
constexpr std::string_view kTemporaryName = "snapshot.new";

std::optional<std::uint64_t> IndexOf(std::string_view name) {
  if (!name.ends_with(kSuffix)) return std::nullopt;
  name.remove_suffix(kSuffix.size());
  std::uint64_t index = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), index);
  if (error != std::errc() || end != name.data() + name.size()) return std::nullopt;
  return index;
}

}  // namespace

common::Result<SnapshotStore, StorageError> SnapshotStore::Open(Files files, std::string folder) {
  using OpenResult = common::Result<SnapshotStore, StorageError>;
  try {
    SnapshotStore store(std::move(files), std::move(folder));
    store.Load();
    return OpenResult::Success(std::move(store));
  } catch (const StorageError& error) {
    return OpenResult::Failure(error);
  }
}

SnapshotStore::SnapshotStore(Files files, std::string folder)
    : files_(std::move(files)), folder_(std::move(folder)) {}

std::string SnapshotStore::PathOf(std::uint64_t index) const {
  return folder_ + "/" + std::to_string(index) + std::string(kSuffix);
}

void SnapshotStore::Load() {
  files_.CreateFolder(folder_);
  std::vector<std::uint64_t> indexes;
  for (const std::string& name : files_.List(folder_)) {
    if (name == kTemporaryName) files_.Remove(folder_ + "/" + name);
    if (const std::optional<std::uint64_t> index = IndexOf(name)) indexes.push_back(*index);
  }
  if (indexes.empty()) return;
  // The previous process may have ended between a rename and the sync of the folder.
  files_.SyncFolder(folder_);
  std::sort(indexes.begin(), indexes.end());
  latest_index_ = indexes.back();
  loaded_ = Read(latest_index_);
  indexes.pop_back();
  for (const std::uint64_t index : indexes) files_.Remove(PathOf(index));
}

Snapshot SnapshotStore::Read(std::uint64_t index) const {
  const std::string path = PathOf(index);
  const std::string bytes = files_.Read(path);
  const std::optional<ParsedRecord> header = ReadRecord(bytes, 0);
  Snapshot snapshot;
  if (!header || !snapshot.metadata.ParseFromArray(header->payload.data(),
                                                   static_cast<int>(header->payload.size()))) {
    throw StorageError(StorageProblem::kDamaged, path + " is damaged: the header is not readable");
  }
  auto data = std::make_shared<const std::string>(bytes.substr(header->end));
  if (data->size() != snapshot.metadata.size_bytes() ||
      common::Hash64(*data) != snapshot.metadata.checksum()) {
    throw StorageError(StorageProblem::kDamaged, path + " is damaged: checksum mismatch");
  }
  snapshot.data = std::move(data);
  return snapshot;
}

void SnapshotStore::Save(const schema::SnapshotMetadata& metadata, const std::string& data) {
  if (failed_) {
    throw StorageError(StorageProblem::kIo, "no snapshot is saved after an earlier failure");
  }
  if (metadata.index() <= latest_index_) return;
  try {
    Write(metadata, data);
  } catch (const StorageError& error) {
    failed_ = error.problem() != StorageProblem::kDiskFull;
    throw;
  }
}

void SnapshotStore::Write(const schema::SnapshotMetadata& metadata, const std::string& data) {
  const std::string temporary = folder_ + "/" + std::string(kTemporaryName);
  std::string header;
  AppendRecord(header, metadata.SerializeAsString());
  if (std::exchange(has_temporary_, false)) files_.Remove(temporary);
  {
    File file = files_.Open(temporary);
    has_temporary_ = true;
    try {
      file.Append(header);
      file.Append(data);
      file.Sync();
    } catch (const StorageError&) {
      // Leaves the room to the log.
      files_.Remove(temporary);
      has_temporary_ = false;
      throw;
    }
  }
  has_temporary_ = false;
  files_.Rename(temporary, PathOf(metadata.index()));
  files_.SyncFolder(folder_);
  const std::uint64_t previous_index = std::exchange(latest_index_, metadata.index());
  loaded_.reset();
  if (previous_index != 0) files_.Remove(PathOf(previous_index));
}

}  // namespace briarwood::storage
