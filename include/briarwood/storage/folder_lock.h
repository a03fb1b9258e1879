#pragma once

#include <string>

#include "briarwood/common/result.h"

namespace briarwood::storage {

/// Prevents a second process from writing to a data folder. The operating system releases the lock
/// when the process ends.
class FolderLock {
 public:
  /// Constructs an object that holds no lock.
  FolderLock() = default;
  FolderLock(FolderLock&& other) noexcept;
  FolderLock& operator=(FolderLock&& other) noexcept;
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;
  ~FolderLock();

  /// Creates the folder if needed.
  /// \returns the lock, or an error that describes why the folder cannot be locked.
  static common::Result<FolderLock> Acquire(const std::string& folder);

 private:
  int descriptor_ = -1;
};

}  // namespace briarwood::storage
