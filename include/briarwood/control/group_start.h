#pragma once

#include <functional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/storage/files.h"
#include "settings.pb.h"

namespace briarwood::control {

/// How a member of a group that forms itself starts.
struct GroupStart {
  common::MemberId id;
  /// Voters of a new group, or members of a running one, for their addresses.
  std::vector<schema::ControlPeer> peers;
  bool joined = false;
};

struct GroupStartOptions {
  schema::ControlSettings settings;
  std::string credential;
  common::Incarnation incarnation;
  /// Addresses to ask; read again for each round, since the settings may change meanwhile.
  std::function<std::vector<std::string>()> seeds;
  /// True gives up.
  std::function<bool()> interrupted;
  std::function<void(const std::string& line)> log;
};

/// Finds out under which id this process takes part in the group, and makes that durable.
///
/// A folder with an identity goes on under it. An empty folder forms the group together with the
/// other seeds if the settings say that it has never run, and the member is one of the seeds; the
/// ids follow from the order of the addresses, which all seeds know. Otherwise the process asks the
/// running group to take it in, for as long as that takes: an empty member never forms a group by
/// itself.
/// \returns the start, or a sentence why there is none.
[[nodiscard]] common::Result<GroupStart> PrepareGroupStart(storage::Files& files,
                                                           const GroupStartOptions& options);

}  // namespace briarwood::control
