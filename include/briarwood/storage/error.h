#pragma once

#include <cstdint>
#include <string>

#include "briarwood/common/result.h"

namespace briarwood::storage {

enum class StorageProblem : std::uint8_t {
  /// A file system call failed.
  kIo,
  /// The disk, or a quota or size limit, leaves no room. Nothing was written, so that the call can
  /// be repeated once there is room.
  kDiskFull,
  /// Synced data does not match what was written.
  kDamaged,
};

/// Failure of a store. After a failure other than kDiskFull in Append, Sync or Save the store
/// rejects further writes, because the state of the disk is no longer known.
class StorageError : public common::Error {
 public:
  StorageError(StorageProblem problem, const std::string& message)
      : Error(message), problem_(problem) {}

  [[nodiscard]] StorageProblem problem() const noexcept { return problem_; }

 private:
  StorageProblem problem_;
};

}  // namespace briarwood::storage
