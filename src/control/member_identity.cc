#include "briarwood/control/member_identity.h"

#include <algorithm>
#include <cstring>

#include "briarwood/common/digest.h"
#include "briarwood/storage/error.h"

namespace briarwood::control {
namespace {

constexpr const char* kIdentityFile = "/identity";
constexpr const char* kNewIdentityFile = "/identity.new";
constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);

std::string Encode(const schema::MemberIdentity& identity) {
  const std::string payload = identity.SerializeAsString();
  const std::uint64_t checksum = common::Hash64(payload);
  std::string bytes(kChecksumBytes, '\0');
  std::memcpy(bytes.data(), &checksum, kChecksumBytes);
  return bytes + payload;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

common::Result<std::optional<schema::MemberIdentity>> LoadMemberIdentity(
    storage::Files& files, const std::string& folder) {
  using LoadResult = common::Result<std::optional<schema::MemberIdentity>>;
  try {
    files.CreateFolder(folder);
    if (!Contains(files.List(folder), std::string(kIdentityFile).substr(1))) {
      return LoadResult::Success(std::nullopt);
    }
    // The previous process may have ended between the rename and the sync of the folder.
    files.SyncFolder(folder);
    const std::string bytes = files.Read(folder + kIdentityFile);
    std::uint64_t checksum = 0;
    if (bytes.size() < kChecksumBytes) return LoadResult::Failure("identity file is truncated");
    std::memcpy(&checksum, bytes.data(), kChecksumBytes);
    const std::string payload = bytes.substr(kChecksumBytes);
    schema::MemberIdentity identity;
    if (common::Hash64(payload) != checksum || !identity.ParseFromString(payload)) {
      return LoadResult::Failure("identity file is damaged");
    }
    return LoadResult::Success(std::move(identity));
  } catch (const storage::StorageError& error) {
    return LoadResult::Failure(error.what());
  }
}

void SaveMemberIdentity(storage::Files& files, const std::string& folder,
                        const schema::MemberIdentity& identity) {
  if (Contains(files.List(folder), std::string(kNewIdentityFile).substr(1))) {
    files.Remove(folder + kNewIdentityFile);
  }
  {
    storage::File file = files.Open(folder + kNewIdentityFile);
    file.Append(Encode(identity));
    file.Sync();
  }
  files.Rename(folder + kNewIdentityFile, folder + kIdentityFile);
  files.SyncFolder(folder);
}

void EraseMember(storage::Files& files, const std::string& folder) {
  // The identity is deleted first: a log that has lost a part cannot be opened any more, and a
  // process without an identity erases its folder again.
  files.CreateFolder(folder);
  if (Contains(files.List(folder), std::string(kIdentityFile).substr(1))) {
    files.Remove(folder + kIdentityFile);
    files.SyncFolder(folder);
  }
  for (const char* part : {"/log", "/snapshots"}) {
    const std::string path = folder + part;
    files.CreateFolder(path);
    for (const std::string& name : files.List(path)) {
      std::string file = path;
      files.Remove(file.append("/").append(name));
    }
    files.SyncFolder(path);
  }
}

}  // namespace briarwood::control
