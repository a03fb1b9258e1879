#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwood::storage {

/// File of the operating system, opened for appending.
class PosixFile {
 public:
  explicit PosixFile(std::string path);
  PosixFile(PosixFile&& other) noexcept;
  PosixFile& operator=(PosixFile&& other) noexcept;
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;
  ~PosixFile();

  void Append(std::string_view bytes);
  void Sync();

 private:
  std::string path_;
  int descriptor_ = -1;
};

/// Files of the operating system. All calls throw StorageError on failure.
class PosixFiles {
 public:
  using File = PosixFile;

  void CreateFolder(const std::string& path);
  /// Names of the files in a folder, sorted.
  [[nodiscard]] std::vector<std::string> List(const std::string& folder) const;
  [[nodiscard]] std::string Read(const std::string& path) const;
  /// Opens for appending; creates the file if it does not exist.
  [[nodiscard]] PosixFile Open(const std::string& path);
  /// Truncates and syncs the file.
  void Truncate(const std::string& path, std::uint64_t size);
  void Rename(const std::string& from, const std::string& to);
  void Remove(const std::string& path);
  void SyncFolder(const std::string& path);
};

}  // namespace briarwood::storage
