#include "briarwood/storage/folder_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

namespace briarwood::storage {

FolderLock::FolderLock(FolderLock&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

FolderLock& FolderLock::operator=(FolderLock&& other) noexcept {
  if (this != &other) {
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

FolderLock::~FolderLock() {
  if (descriptor_ >= 0) close(descriptor_);
}

common::Result<FolderLock> FolderLock::Acquire(const std::string& folder) {
  using LockResult = common::Result<FolderLock>;
  constexpr mode_t kFileMode = 0600;
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  FolderLock lock;
  lock.descriptor_ = open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock.descriptor_ < 0) {
    return LockResult::Failure("cannot open " + folder + "/lock: " + std::strerror(errno));
  }
  if (flock(lock.descriptor_, LOCK_EX | LOCK_NB) != 0) {
    return LockResult::Failure("data folder " + folder + " is in use by another process");
  }
  return LockResult::Success(std::move(lock));
}

}  // namespace briarwood::storage
