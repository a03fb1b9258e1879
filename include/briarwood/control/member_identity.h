#pragma once

#include <optional>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/storage/files.h"
#include "settings.pb.h"

namespace briarwood::control {

/// Reads the identity file of a data folder, with which a member that formed or joined a group
/// starts again under its id.
/// \returns nothing for a folder that belongs to no member yet, or a sentence for a damaged file.
[[nodiscard]] common::Result<std::optional<schema::MemberIdentity>> LoadMemberIdentity(
    storage::Files& files, const std::string& folder);

/// Writes the identity file; it is durable when this returns. Throws storage::StorageError.
void SaveMemberIdentity(storage::Files& files, const std::string& folder,
                        const schema::MemberIdentity& identity);

/// Removes the identity file, log and snapshots of a member that the group has removed. Throws
/// storage::StorageError.
void EraseMember(storage::Files& files, const std::string& folder);

}  // namespace briarwood::control
