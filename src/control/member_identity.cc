#include "briarwood/control/member_identity.h"

#include <algorithm>
#include <cstring>

#include "briarwood/common/digest.h"
#include "briarwood/storage/error.h"

namespace briarwood::control {
namespace {

constexpr const char* kFile = "/identity";
constexpr const char* kNewFile = "/identity.new";
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
    if (!Contains(files.List(folder), std::string(kFile).substr(1))) {
      return LoadResult::Success(std::nullopt);
    }
    const std::string bytes = files.Read(folder + kFile);
    std::uint64_t checksum = 0;
    if (bytes.size() < kChecksumBytes) return LoadResult::Failure("identity file is cut short");
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
  if (Contains(files.List(folder), std::string(kNewFile).substr(1))) {
    files.Remove(folder + kNewFile);
  }
  {
    storage::File file = files.Open(folder + kNewFile);
    file.Append(Encode(identity));
    file.Sync();
  }
  files.Rename(folder + kNewFile, folder + kFile);
  files.SyncFolder(folder);
}

void EraseMember(storage::Files& files, const std::string& folder) {
  // The identity goes last: a crash in between leaves a member that erases itself again.
  for (const char* part : {"/log", "/snapshots"}) {
    const std::string path = folder + part;
    for (const std::string& name : files.List(path)) {
      std::string file = path;
      files.Remove(file.append("/").append(name));
    }
    files.SyncFolder(path);
  }
  files.Remove(folder + kFile);
  files.SyncFolder(folder);
}

}  // namespace briarwood::control
