#include "soak/fault_plan.h"

#include <algorithm>
#include <cmath>

#include "briarwood/common/random.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kFaultNames[kFaultKinds] = {
    "kill_entry",      "pause_entry",     "stop_entry",       "kill_member",
    "pause_member",    "stop_member",     "kill_all_members", "wipe_member",
    "tear_log",        "reload",          "delay_link",       "reset_link",
    "cut_to_server",   "cut_from_server", "silence_link",     "crash_backend",
    "replace_backend", "platform_down",   "quiet_backend",    "stop_entries_in_turn"};

constexpr milliseconds kMinFaultDuration{200};
constexpr milliseconds kMaxFaultDuration{4000};
/// Time for members to recover from earlier faults before a wipe.
constexpr seconds kQuietPeriodBeforeWipe{9};
/// Time for the wiped member to rejoin the group.
constexpr seconds kQuietPeriodAfterWipe{9};
/// Probability that the next fault has the same kind and follows after kSeriesInterval.
constexpr double kSeriesProbability = 0.2;
constexpr milliseconds kSeriesInterval{150};

bool AffectsMembers(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillEntry:
    case FaultKind::kPauseEntry:
    case FaultKind::kStopEntry:
    case FaultKind::kReload:
    case FaultKind::kCrashBackend:
    case FaultKind::kReplaceBackend:
    case FaultKind::kPlatformDown:
    case FaultKind::kQuietBackend:
    case FaultKind::kStopEntriesInTurn:
      return false;
    default:
      return true;
  }
}

bool IsInQuietPeriod(const PlannedFault& fault, const PlannedFault& wipe) {
  return fault.at + fault.duration + kQuietPeriodBeforeWipe > wipe.at &&
         fault.at < wipe.at + kQuietPeriodAfterWipe;
}

}  // namespace

std::string_view NameOf(FaultKind kind) { return kFaultNames[static_cast<std::size_t>(kind)]; }

std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options) {
  common::Random random(options.seed);
  std::vector<PlannedFault> plan;
  common::Duration at{};
  FaultKind kind = FaultKind::kKillEntry;
  while (true) {
    const bool series = !plan.empty() && random.Chance(kSeriesProbability);
    if (!series) kind = static_cast<FaultKind>(random.Below(kFaultKinds));
    const double delay_s =
        -std::log(1 - random.Uniform()) * common::ToSeconds(options.mean_interval);
    at += series ? common::Duration(kSeriesInterval) : common::FromSeconds(delay_s);
    if (at >= options.duration) break;
    const auto spread = static_cast<std::uint64_t>((kMaxFaultDuration - kMinFaultDuration).count());
    plan.push_back({.at = at,
                    .kind = kind,
                    .target = random.Next() % 1024,
                    .duration = kMinFaultDuration + milliseconds(random.Below(spread))});
  }
  // Keeps the first wipe of each quiet period and drops other wipes and member faults within it.
  std::vector<PlannedFault> wipes;
  for (const PlannedFault& fault : plan) {
    if (fault.kind != FaultKind::kWipeMember) continue;
    const bool separate = std::none_of(wipes.begin(), wipes.end(), [&](const PlannedFault& wipe) {
      return fault.at < wipe.at + kQuietPeriodAfterWipe + kQuietPeriodBeforeWipe;
    });
    if (separate) wipes.push_back(fault);
  }
  std::erase_if(plan, [&](const PlannedFault& fault) {
    const auto is_wipe = [&](const PlannedFault& wipe) { return fault.at == wipe.at; };
    const auto in_quiet_period = [&](const PlannedFault& wipe) {
      return IsInQuietPeriod(fault, wipe);
    };
    if (fault.kind == FaultKind::kWipeMember) {
      return std::none_of(wipes.begin(), wipes.end(), is_wipe);
    }
    return AffectsMembers(fault.kind) && std::any_of(wipes.begin(), wipes.end(), in_quiet_period);
  });
  return plan;
}

}  // namespace briarwood::soak
