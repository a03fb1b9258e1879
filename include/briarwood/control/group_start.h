#pragma once

#include <functional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/storage/files.h"
#include "settings.pb.h"

namespace briarwood::control {

/// How a member of a group that is formed from seeds starts.
struct GroupStart {
  common::MemberId id;
  /// Voters of a new group, or the members of a running group with their addresses.
  std::vector<schema::ControlPeer> peers;
  bool joined = false;
};

struct GroupStartOptions {
  schema::ControlSettings settings;
  std::string credential;
  common::Incarnation incarnation;
  /// Addresses to contact; called again for each round, since the settings may change.
  std::function<std::vector<std::string>()> seeds;
  /// Returns true to stop waiting for the group.
  std::function<bool()> interrupted;
  std::function<void(const std::string& line)> log;
};

/// Determines the member id of this process and stores it durably.
///
/// A data folder with an identity keeps it. A process with an empty folder forms the group together
/// with the other seeds if `bootstrap` is set and its own address is one of the seeds; the ids
/// follow from the sorted addresses, which all seeds know. Otherwise the process requests admission
/// to the running group until it succeeds: an empty member never forms a group by itself.
/// \returns how to start, or an error that describes why this process cannot become a member.
[[nodiscard]] common::Result<GroupStart> PrepareGroupStart(storage::Files& files,
                                                           const GroupStartOptions& options);

}  // namespace briarwood::control
