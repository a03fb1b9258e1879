#include "briarwood/storage/posix_files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "briarwood/storage/error.h"

namespace briarwood::storage {

namespace {

constexpr mode_t kFileMode = 0600;

[[noreturn]] void ThrowError(const std::string& action, const std::string& path, int error_number) {
  const bool disk_full = error_number == ENOSPC || error_number == EDQUOT || error_number == EFBIG;
  throw StorageError(disk_full ? StorageProblem::kDiskFull : StorageProblem::kIo,
                     "cannot " + action + " " + path + ": " + std::strerror(error_number));
}

/// Owns a file descriptor.
class Descriptor {
 public:
  Descriptor(const std::string& path, int flags) : value_(open(path.c_str(), flags | O_CLOEXEC)) {
    if (value_ < 0) ThrowError("open", path, errno);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() { close(value_); }

  [[nodiscard]] int value() const noexcept { return value_; }

 private:
  int value_;
};

}  // namespace

PosixFile::PosixFile(std::string path)
    : path_(std::move(path)),
      descriptor_(open(path_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode)) {
  if (descriptor_ < 0) ThrowError("open", path_, errno);
}

PosixFile::PosixFile(PosixFile&& other) noexcept
    : path_(std::move(other.path_)), descriptor_(std::exchange(other.descriptor_, -1)) {}

PosixFile& PosixFile::operator=(PosixFile&& other) noexcept {
  if (this != &other) {
    if (descriptor_ >= 0) close(descriptor_);
    path_ = std::move(other.path_);
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

PosixFile::~PosixFile() {
  if (descriptor_ >= 0) close(descriptor_);
}

void PosixFile::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(descriptor_, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) ThrowError("write", path_, errno);
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

void PosixFile::Sync() {
  if (fdatasync(descriptor_) != 0) ThrowError("sync", path_, errno);
}

void PosixFiles::CreateFolder(const std::string& path) {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  if (error) ThrowError("create folder", path, error.value());
}

std::vector<std::string> PosixFiles::List(const std::string& folder) const {
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator it(folder, error), end; !error && it != end;
       it.increment(error)) {
    if (it->is_regular_file()) names.push_back(it->path().filename().string());
  }
  if (error) ThrowError("list", folder, error.value());
  std::sort(names.begin(), names.end());
  return names;
}

std::string PosixFiles::Read(const std::string& path) const {
  std::ifstream in(path, std::ios::binary);
  if (!in) ThrowError("open", path, errno);
  std::string bytes((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  if (in.bad()) ThrowError("read", path, EIO);
  return bytes;
}

PosixFile PosixFiles::Open(const std::string& path) { return PosixFile(path); }

void PosixFiles::Truncate(const std::string& path, std::uint64_t size) {
  const Descriptor descriptor(path, O_WRONLY);
  if (ftruncate(descriptor.value(), static_cast<off_t>(size)) != 0) {
    ThrowError("truncate", path, errno);
  }
  if (fsync(descriptor.value()) != 0) ThrowError("sync", path, errno);
}

void PosixFiles::Rename(const std::string& from, const std::string& to) {
  if (std::rename(from.c_str(), to.c_str()) != 0) ThrowError("rename", from, errno);
}

void PosixFiles::Remove(const std::string& path) {
  if (unlink(path.c_str()) != 0) ThrowError("remove", path, errno);
}

void PosixFiles::SyncFolder(const std::string& path) {
  const Descriptor descriptor(path, O_RDONLY | O_DIRECTORY);
  if (fsync(descriptor.value()) != 0) ThrowError("sync folder", path, errno);
}

}  // namespace briarwood::storage
