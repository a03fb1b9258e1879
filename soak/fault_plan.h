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
  /// The member loses its data folder.
  kWipeMember,
  /// The member is killed in the middle of a write to its log.
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
};
inline constexpr std::size_t kFaultKinds = 18;

[[nodiscard]] std::string_view NameOf(FaultKind kind);

struct PlannedFault {
  /// From the start of the faults.
  common::Duration at;
  FaultKind kind;
  /// Number of the entry, member, link or backend server; the executor takes it modulo their count.
  std::size_t target;
  common::Duration length;
};

struct FaultPlanOptions {
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(20);
  /// Mean time between the beginnings of two faults.
  common::Duration mean_gap = std::chrono::milliseconds(500);
};

/// Draws faults that come in series and overlap.
///
/// One data folder may be lost at a time: around a wipe there is no other fault of members, so that
/// the group can repair itself before the next loss.
/// \returns the faults in the order of their beginnings; the same seed gives the same plan.
[[nodiscard]] std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options);

}  // namespace briarwood::soak
