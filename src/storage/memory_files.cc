#include "briarwood/storage/memory_files.h"

#include <algorithm>
#include <utility>

#include "briarwood/storage/error.h"

namespace briarwood::storage {

namespace {

[[noreturn]] void ThrowMissing(const std::string& path) {
  throw StorageError(StorageProblem::kIo, "no such file: " + path);
}

std::string ParentOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

}  // namespace

std::shared_ptr<MemoryDisk::Content> MemoryDisk::Find(const std::string& path) const {
  const auto found = files_.find(path);
  if (found == files_.end()) ThrowMissing(path);
  return found->second;
}

void MemoryDisk::Apply(const Change& change, Folder& folder) {
  if (!change.removed.empty()) folder.erase(change.removed);
  if (!change.added.empty()) folder[change.added] = change.content;
}

void MemoryDisk::ApplyChange(Change change) {
  Apply(change, files_);
  unsynced_changes_.push_back(std::move(change));
}

void MemoryDisk::CountOperation() {
  if (operations_left_ == 0) {
    killed_ = true;
    throw StorageError(StorageProblem::kIo, "the process was killed");
  }
  --operations_left_;
}

void MemoryDisk::Restart() noexcept {
  operations_left_ = std::numeric_limits<std::uint64_t>::max();
  killed_ = false;
}

void MemoryDisk::Crash(common::Random& random) {
  constexpr double kLostChangeProbability = 0.5;
  std::erase_if(unsynced_changes_,
                [&](const Change&) { return random.Chance(kLostChangeProbability); });
  // Open files of the previous process must not modify the surviving file.
  std::map<const Content*, std::shared_ptr<Content>> survivors;
  const auto survivor = [&](const std::shared_ptr<Content>& content) {
    std::shared_ptr<Content>& kept = survivors[content.get()];
    if (kept == nullptr) kept = std::make_shared<Content>(Survive(*content, random));
    return kept;
  };
  for (auto& [path, content] : synced_files_) content = survivor(content);
  files_ = synced_files_;
  for (Change& change : unsynced_changes_) {
    if (change.content != nullptr) change.content = survivor(change.content);
    Apply(change, files_);
  }
  RemoveOrphans();
}

void MemoryDisk::RemoveOrphans() {
  const auto is_orphan = [this](const auto& item) {
    const std::string parent = ParentOf(item.first);
    return parent.find('/') != std::string::npos && !files_.contains(parent);
  };
  std::erase_if(files_, is_orphan);
  std::erase_if(synced_files_, is_orphan);
  std::erase_if(unsynced_changes_, [&](const Change& change) {
    return !change.added.empty() && !files_.contains(change.added);
  });
}

MemoryDisk::Content MemoryDisk::Survive(const Content& content, common::Random& random) {
  Content kept{.bytes = content.synced, .synced = content.synced, .is_folder = content.is_folder};
  if (content.bytes.size() <= kept.bytes.size()) return kept;
  const std::size_t tail = content.bytes.size() - kept.bytes.size();
  kept.bytes += content.bytes.substr(kept.bytes.size(), random.Below(tail + 1));
  const std::size_t torn_bytes = kept.bytes.size() - content.synced.size();
  constexpr double kDamagedTailProbability = 0.3;
  if (torn_bytes > 0 && random.Chance(kDamagedTailProbability)) {
    kept.bytes[content.synced.size() + random.Below(torn_bytes)] ^= 1;
  }
  return kept;
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
  for (const auto& [path, content] : files_) {
    if (!content->is_folder) paths.push_back(path);
  }
  return paths;
}

const std::string& MemoryDisk::content(const std::string& path) const { return Find(path)->bytes; }

void MemoryFile::Append(std::string_view bytes) {
  disk_->CountOperation();
  const std::uint64_t used = disk_->size();
  const std::uint64_t free_bytes = disk_->capacity_ > used ? disk_->capacity_ - used : 0;
  content_->bytes += bytes.substr(0, std::min<std::uint64_t>(free_bytes, bytes.size()));
  if (bytes.size() > free_bytes) throw StorageError(StorageProblem::kDiskFull, "disk is full");
}

void MemoryFile::Sync() {
  disk_->CountOperation();
  if (disk_->sync_fails_) throw StorageError(StorageProblem::kIo, "sync failed");
  content_->synced = content_->bytes;
}

void MemoryFiles::CreateFolder(const std::string& path) {
  if (path.find('/') == std::string::npos || disk_->files_.contains(path)) return;
  disk_->CountOperation();
  auto folder = std::make_shared<MemoryDisk::Content>();
  folder->is_folder = true;
  disk_->ApplyChange({.removed = {}, .added = path, .content = std::move(folder)});
}

std::vector<std::string> MemoryFiles::List(const std::string& folder) const {
  std::vector<std::string> names;
  for (const auto& [path, content] : disk_->files_) {
    if (!content->is_folder && path.starts_with(folder + "/")) {
      names.push_back(path.substr(folder.size() + 1));
    }
  }
  return names;
}

std::string MemoryFiles::Read(const std::string& path) const { return disk_->Find(path)->bytes; }

MemoryFile MemoryFiles::Open(const std::string& path) {
  const auto found = disk_->files_.find(path);
  if (found != disk_->files_.end()) return {disk_, found->second};
  disk_->CountOperation();
  disk_->ApplyChange(
      {.removed = {}, .added = path, .content = std::make_shared<MemoryDisk::Content>()});
  return {disk_, disk_->Find(path)};
}

void MemoryFiles::Truncate(const std::string& path, std::uint64_t size) {
  disk_->CountOperation();
  if (disk_->sync_fails_) throw StorageError(StorageProblem::kIo, "sync failed");
  const std::shared_ptr<MemoryDisk::Content> content = disk_->Find(path);
  content->bytes.resize(size);
  content->synced = content->bytes;
}

void MemoryFiles::Rename(const std::string& from, const std::string& to) {
  disk_->CountOperation();
  disk_->ApplyChange({.removed = from, .added = to, .content = disk_->Find(from)});
}

void MemoryFiles::Remove(const std::string& path) {
  disk_->CountOperation();
  static_cast<void>(disk_->Find(path));
  disk_->ApplyChange({.removed = path, .added = {}, .content = nullptr});
}

void MemoryFiles::SyncFolder(const std::string& path) {
  disk_->CountOperation();
  if (disk_->sync_fails_) throw StorageError(StorageProblem::kIo, "folder sync failed");
  std::erase_if(disk_->unsynced_changes_, [&](const MemoryDisk::Change& change) {
    const std::string& changed = change.added.empty() ? change.removed : change.added;
    if (ParentOf(changed) != path) return false;
    MemoryDisk::Apply(change, disk_->synced_files_);
    return true;
  });
}

}  // namespace briarwood::storage
