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
/// MemoryFiles, so that it outlives a simulated process: the files of a process that ends remain as
/// they are, and what it has not synced is still lost at the next loss of power.
class MemoryDisk {
 public:
  /// Simulates a loss of power: discards unsynced data, except for a random part of each unsynced
  /// tail, which may be damaged, and keeps or discards each unsynced folder change independently.
  /// What remains without a sync may be lost at the next loss of power.
  void Crash(common::Random& random);
  /// Deletes all files, including synced ones.
  void Wipe();

  /// Appends beyond this total size write what fits and then fail with kDiskFull.
  void set_capacity(std::uint64_t bytes) noexcept { capacity_ = bytes; }
  /// While set, every sync fails without making anything durable. May be called at any time from
  /// any thread.
  void set_sync_fails(bool fails) noexcept { sync_fails_ = fails; }
  /// Simulates a process that is killed: after the next `operations` writes, syncs and folder
  /// changes, all further ones fail until Restart.
  void KillAfter(std::uint64_t operations) noexcept { operations_left_ = operations; }
  /// \returns true if an operation has failed since KillAfter.
  [[nodiscard]] bool killed() const noexcept { return killed_; }
  void Restart() noexcept;

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
    bool is_folder = false;
  };
  using Folder = std::map<std::string, std::shared_ptr<Content>>;
  /// Creation, renaming or removal of a file, or creation of a folder. Paths are empty where they
  /// do not apply.
  struct Change {
    std::string removed;
    std::string added;
    std::shared_ptr<Content> content;
  };

  [[nodiscard]] std::shared_ptr<Content> Find(const std::string& path) const;
  static void Apply(const Change& change, Folder& folder);
  /// \returns what a loss of power leaves of a file.
  [[nodiscard]] static Content Survive(const Content& content, common::Random& random);
  void ApplyChange(Change change);
  /// Removes the files whose folder was lost.
  void RemoveOrphans();
  /// Throws StorageError if the simulated process has been killed.
  void CountOperation();

  /// Files and created folders by path. A folder without a parent always exists.
  Folder files_;
  Folder synced_files_;
  /// Changes since the last sync of their folder, oldest first.
  std::vector<Change> unsynced_changes_;
  std::uint64_t capacity_ = std::numeric_limits<std::uint64_t>::max();
  std::atomic<bool> sync_fails_ = false;
  std::uint64_t operations_left_ = std::numeric_limits<std::uint64_t>::max();
  bool killed_ = false;
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
