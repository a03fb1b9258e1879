#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/storage/folder_lock.h"
#include "briarwood/storage/memory_files.h"
#include "briarwood/storage/posix_files.h"

namespace briarwood::storage {

/// File opened for appending.
class File {
 public:
  template <typename Kind>
  explicit File(Kind file) : file_(std::move(file)) {}

  void Append(std::string_view bytes) {
    std::visit([&](auto& file) { file.Append(bytes); }, file_);
  }
  /// Returns once all appended bytes are durable.
  void Sync() {
    std::visit([](auto& file) { file.Sync(); }, file_);
  }

 private:
  std::variant<PosixFile, MemoryFile> file_;
};

/// Access to files of the operating system, or to files in memory with injected faults. All calls
/// except Lock throw StorageError on failure.
class Files {
 public:
  template <typename Kind>
  requires(!std::is_same_v<std::decay_t<Kind>, Files>) explicit Files(Kind files)
      : files_(std::move(files)) {}

  void CreateFolder(const std::string& path) {
    std::visit([&](auto& files) { files.CreateFolder(path); }, files_);
  }
  [[nodiscard]] std::vector<std::string> List(const std::string& folder) const {
    return std::visit([&](const auto& files) { return files.List(folder); }, files_);
  }
  [[nodiscard]] std::string Read(const std::string& path) const {
    return std::visit([&](const auto& files) { return files.Read(path); }, files_);
  }
  [[nodiscard]] File Open(const std::string& path) {
    return std::visit([&](auto& files) { return File(files.Open(path)); }, files_);
  }
  void Truncate(const std::string& path, std::uint64_t size) {
    std::visit([&](auto& files) { files.Truncate(path, size); }, files_);
  }
  void Rename(const std::string& from, const std::string& to) {
    std::visit([&](auto& files) { files.Rename(from, to); }, files_);
  }
  void Remove(const std::string& path) {
    std::visit([&](auto& files) { files.Remove(path); }, files_);
  }
  /// Creates the folder and locks it against other processes. Files in memory need no lock.
  /// \returns the lock, or an error that describes why the folder cannot be locked.
  [[nodiscard]] common::Result<FolderLock> Lock(const std::string& folder) const {
    using LockResult = common::Result<FolderLock>;
    return std::holds_alternative<PosixFiles>(files_) ? FolderLock::Acquire(folder)
                                                      : LockResult::Success(FolderLock());
  }
  /// Makes creations, renames and removals in the folder durable.
  void SyncFolder(const std::string& path) {
    std::visit([&](auto& files) { files.SyncFolder(path); }, files_);
  }

 private:
  std::variant<PosixFiles, MemoryFiles> files_;
};

}  // namespace briarwood::storage
