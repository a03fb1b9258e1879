#pragma once

#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "briarwood/common/random.h"

namespace briarwood::storage {

/// In-memory disk that tracks written and synced data separately. It is shared by copies of
/// MemoryFiles, so that it outlives a simulated process.
class MemoryDisk {
 public:
  /// Discards unsynced data, except for a random part of each unsynced tail, which may be damaged,
  /// and a random number of the unsynced folder changes.
  void Crash(common::Random& random);
  /// Deletes all files, including synced ones.
  void Wipe();

  /// Appends beyond this total size write what fits and then fail with kDiskFull.
  void set_capacity(std::uint64_t bytes) noexcept { capacity_ = bytes; }
  /// While set, every sync fails without making anything durable. May be called at any time from
  /// any thread.
  void set_sync_fails(bool fails) noexcept { sync_fails_ = fails; }

  /// Changes one byte of a file, whether synced or not.
  void Damage(const std::string& path, std::uint64_t offset);
  [[nodiscard]] std::uint64_t size() const noexcept;
  [[nodiscard]] std::vector<std::string> paths() const;
  [[nodiscard]] const std::string& content(const std::string& path) const;

 private:
  friend class MemoryFile;
  friend class MemoryFiles;

  struct Content {
    std::string bytes;
    std::string synced;
  };
  using Folder = std::map<std::string, std::shared_ptr<Content>>;

  [[nodiscard]] std::shared_ptr<Content> Find(const std::string& path) const;
  void ApplyChange(Folder changed);

  Folder files_;
  Folder synced_files_;
  /// States of the folder since the last sync, oldest first.
  std::vector<Folder> unsynced_changes_;
  std::uint64_t capacity_ = std::numeric_limits<std::uint64_t>::max();
  std::atomic<bool> sync_fails_ = false;
};

class MemoryFile {
 public:
  MemoryFile(std::shared_ptr<MemoryDisk> disk, std::shared_ptr<MemoryDisk::Content> content)
      : disk_(std::move(disk)), content_(std::move(content)) {}

  void Append(std::string_view bytes);
  void Sync();

 private:
  std::shared_ptr<MemoryDisk> disk_;
  std::shared_ptr<MemoryDisk::Content> content_;
};

/// Files of a MemoryDisk. All calls throw StorageError on failure. Not thread-safe.
class MemoryFiles {
 public:
  using File = MemoryFile;

  explicit MemoryFiles(std::shared_ptr<MemoryDisk> disk) : disk_(std::move(disk)) {}

  void CreateFolder(const std::string& path);
  [[nodiscard]] std::vector<std::string> List(const std::string& folder) const;
  [[nodiscard]] std::string Read(const std::string& path) const;
  [[nodiscard]] MemoryFile Open(const std::string& path);
  void Truncate(const std::string& path, std::uint64_t size);
  void Rename(const std::string& from, const std::string& to);
  void Remove(const std::string& path);
  void SyncFolder(const std::string& path);

 private:
  std::shared_ptr<MemoryDisk> disk_;
};

}  // namespace briarwood::storage
