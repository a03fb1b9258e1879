#pragma once

#include <optional>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/storage/files.h"
#include "settings.pb.h"

namespace briarwood::control {

/// Reads the identity file of a data folder, which keeps the id of a member across restarts, and
/// makes it durable.
/// \returns the identity, std::nullopt for a folder without one, or an error that describes why the
/// file cannot be read.
[[nodiscard]] common::Result<std::optional<schema::MemberIdentity>> LoadMemberIdentity(
    storage::Files& files, const std::string& folder);

/// Writes the identity file durably. Throws storage::StorageError.
void SaveMemberIdentity(storage::Files& files, const std::string& folder,
                        const schema::MemberIdentity& identity);

/// Deletes identity file, log and snapshots of a member that was removed from the group, or what an
/// interrupted call left of them. Throws storage::StorageError.
void EraseMember(storage::Files& files, const std::string& folder);

}  // namespace briarwood::control
