#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::soak {

enum class FaultKind : std::uint8_t {
  kKillEntry,
  kPauseEntry,
  kStopEntry,
  kKillMember,
  kPauseMember,
  kStopMember,
  kKillAllMembers,
  /// Kills the member and deletes its data folder.
  kWipeMember,
  /// Kills the member and leaves an incomplete record at the end of its log.
  kTearLog,
  kReload,
  kDelayLink,
  kResetLink,
  kCutToServer,
  kCutFromServer,
  kSilenceLink,
  kCrashBackend,
  kReplaceBackend,
  kPlatformDown,
  /// The server's streams fall silent and go on.
  kQuietBackend,
  /// Stops all entries one after the other, with changed settings before and during each stop.
  kStopEntriesInTurn,
  /// Requests with one part of a prompt crash each server; see FaultPlanOptions::crash_on_part.
  kCrashOnPart,
  /// The server limits the requests of all entries together.
  kLimitBackend,
  /// The server says that it leaves, later the list does, and then it ends.
  kLeavingBackend,
  /// The server rejects some requests and wants none for a time.
  kBackOffBackend,
  /// The machine of a member is lost for good; after the duration an empty one joins at another
  /// address.
  kReplaceMember,
  /// The machine of the leader is without power.
  kDarkLeader,
  /// An empty member joins the complete group and is lost for good after the duration.
  kLoseSpareMember,
};
inline constexpr std::size_t kFaultKinds = 27;

[[nodiscard]] std::string_view NameOf(FaultKind kind);

struct PlannedFault {
  /// Relative to the start of the phase with faults.
  common::Duration at;
  FaultKind kind;
  /// Index of the entry, member, link or backend server, modulo their count.
  std::size_t target;
  common::Duration duration;
};

struct FaultPlanOptions {
  std::uint64_t seed = 1;
  common::Duration duration = std::chrono::seconds(20);
  /// Mean time between the start times of consecutive faults.
  common::Duration mean_interval = std::chrono::milliseconds(500);
  /// The plan has one kCrashOnPart that lasts to its end, and otherwise fewer faults, of kinds that
  /// leave the members and most entries in touch. Without this it has none.
  bool crash_on_part = false;
  /// The plan replaces all members, one after the other, and adds one that is lost. Then it stops
  /// the group again and again: the leader is without power, or one member is lost for longer and
  /// the others are killed. After each of these the group has time to recover, and no other faults
  /// occur.
  bool replace_members = false;
  /// Number of members, for `replace_members`.
  std::size_t members = 3;
};

/// Generates random faults, which may overlap and occur in series.
///
/// Statements of backend servers come beside the other faults, at times of their own.
///
/// At most one data folder is lost at a time: no other fault affects the members shortly before and
/// after a wipe, so that the group can recover before the next loss.
/// \returns the faults ordered by start time; the same seed gives the same plan.
[[nodiscard]] std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options);

}  // namespace briarwood::soak
