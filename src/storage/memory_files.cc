#include "briarwood/storage/memory_files.h"

#include <algorithm>
#include <utility>

#include "briarwood/storage/error.h"

namespace briarwood::storage {

namespace {

[[noreturn]] void ThrowMissing(const std::string& path) {
  throw StorageError(StorageProblem::kIo, "no such file: " + path);
}

}  // namespace

std::shared_ptr<MemoryDisk::Content> MemoryDisk::Find(const std::string& path) const {
  const auto found = files_.find(path);
  if (found == files_.end()) ThrowMissing(path);
  return found->second;
}

void MemoryDisk::ApplyChange(Folder changed) {
  files_ = std::move(changed);
  unsynced_changes_.push_back(files_);
}

void MemoryDisk::Crash(common::Random& random) {
  const std::uint64_t surviving_changes = random.Below(unsynced_changes_.size() + 1);
  files_ = surviving_changes == 0 ? synced_files_ : unsynced_changes_[surviving_changes - 1];
  unsynced_changes_.clear();
  synced_files_ = files_;
  for (auto& [path, content] : files_) {
    std::string kept = content->synced;
    if (content->bytes.size() > kept.size()) {
      const std::size_t tail = content->bytes.size() - kept.size();
      kept += content->bytes.substr(kept.size(), random.Below(tail + 1));
      const std::size_t torn_bytes = kept.size() - content->synced.size();
      constexpr double kDamagedTailProbability = 0.3;
      if (torn_bytes > 0 && random.Chance(kDamagedTailProbability)) {
        kept[content->synced.size() + random.Below(torn_bytes)] ^= 1;
      }
    }
    // Open files of the previous process must not modify the surviving file.
    content = std::make_shared<Content>(Content{kept, kept});
  }
  synced_files_ = files_;
}

void MemoryDisk::Wipe() {
  files_.clear();
  synced_files_.clear();
  unsynced_changes_.clear();
}

void MemoryDisk::Damage(const std::string& path, std::uint64_t offset) {
  const std::shared_ptr<Content> content = Find(path);
  content->bytes.at(offset) ^= 1;
  if (offset < content->synced.size()) content->synced[offset] ^= 1;
}

std::uint64_t MemoryDisk::size() const noexcept {
  std::uint64_t total = 0;
  for (const auto& [path, content] : files_) total += content->bytes.size();
  return total;
}

std::vector<std::string> MemoryDisk::paths() const {
  std::vector<std::string> paths;
  for (const auto& [path, content] : files_) paths.push_back(path);
  return paths;
}

const std::string& MemoryDisk::content(const std::string& path) const { return Find(path)->bytes; }

void MemoryFile::Append(std::string_view bytes) {
  const std::uint64_t used = disk_->size();
  const std::uint64_t free_bytes = disk_->capacity_ > used ? disk_->capacity_ - used : 0;
  content_->bytes += bytes.substr(0, std::min<std::uint64_t>(free_bytes, bytes.size()));
  if (bytes.size() > free_bytes) throw StorageError(StorageProblem::kDiskFull, "disk is full");
}

void MemoryFile::Sync() {
  if (disk_->sync_fails_) throw StorageError(StorageProblem::kIo, "sync failed");
  content_->synced = content_->bytes;
}

void MemoryFiles::CreateFolder(const std::string& /*path*/) {}

std::vector<std::string> MemoryFiles::List(const std::string& folder) const {
  std::vector<std::string> names;
  for (const auto& [path, content] : disk_->files_) {
    if (path.starts_with(folder + "/")) names.push_back(path.substr(folder.size() + 1));
  }
  return names;
}

std::string MemoryFiles::Read(const std::string& path) const { return disk_->Find(path)->bytes; }

MemoryFile MemoryFiles::Open(const std::string& path) {
  const auto found = disk_->files_.find(path);
  if (found != disk_->files_.end()) return {disk_, found->second};
  MemoryDisk::Folder changed = disk_->files_;
  changed[path] = std::make_shared<MemoryDisk::Content>();
  disk_->ApplyChange(std::move(changed));
  return {disk_, disk_->Find(path)};
}

void MemoryFiles::Truncate(const std::string& path, std::uint64_t size) {
  if (disk_->sync_fails_) throw StorageError(StorageProblem::kIo, "sync failed");
  const std::shared_ptr<MemoryDisk::Content> content = disk_->Find(path);
  content->bytes.resize(size);
  content->synced = content->bytes;
}

void MemoryFiles::Rename(const std::string& from, const std::string& to) {
  MemoryDisk::Folder changed = disk_->files_;
  changed[to] = disk_->Find(from);
  changed.erase(from);
  disk_->ApplyChange(std::move(changed));
}

void MemoryFiles::Remove(const std::string& path) {
  MemoryDisk::Folder changed = disk_->files_;
  if (changed.erase(path) == 0) ThrowMissing(path);
  disk_->ApplyChange(std::move(changed));
}

void MemoryFiles::SyncFolder(const std::string& /*path*/) {
  if (disk_->sync_fails_) throw StorageError(StorageProblem::kIo, "folder sync failed");
  disk_->synced_files_ = disk_->files_;
  disk_->unsynced_changes_.clear();
}

}  // namespace briarwood::storage
