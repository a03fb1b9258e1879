#include "soak/fault_plan.h"

#include <algorithm>
#include <cmath>

#include "briarwood/common/random.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kNames[kFaultKinds] = {
    "kill_entry",    "pause_entry",      "stop_entry",    "kill_member",     "pause_member",
    "stop_member",   "kill_all_members", "wipe_member",   "tear_log",        "reload",
    "delay_link",    "reset_link",       "cut_to_server", "cut_from_server", "silence_link",
    "crash_backend", "replace_backend",  "platform_down"};

constexpr milliseconds kShortest{200};
constexpr milliseconds kLongest{4000};
/// Members that were disturbed before a wipe are back by then.
constexpr seconds kQuietBeforeWipe{9};
/// The group takes the member in again within this time.
constexpr seconds kQuietAfterWipe{9};
/// Chance that a fault is followed by another one of its kind at once.
constexpr double kSeriesChance = 0.2;
constexpr milliseconds kSeriesGap{150};

bool DisturbsMembers(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillEntry:
    case FaultKind::kPauseEntry:
    case FaultKind::kStopEntry:
    case FaultKind::kReload:
    case FaultKind::kCrashBackend:
    case FaultKind::kReplaceBackend:
    case FaultKind::kPlatformDown:
      return false;
    default:
      return true;
  }
}

bool IsNear(const PlannedFault& fault, const PlannedFault& wipe) {
  return fault.at + fault.length + kQuietBeforeWipe > wipe.at &&
         fault.at < wipe.at + kQuietAfterWipe;
}

}  // namespace

std::string_view NameOf(FaultKind kind) { return kNames[static_cast<std::size_t>(kind)]; }

std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options) {
  common::Random random(options.seed);
  std::vector<PlannedFault> plan;
  common::Duration at{};
  FaultKind kind = FaultKind::kKillEntry;
  while (true) {
    const bool series = !plan.empty() && random.Chance(kSeriesChance);
    if (!series) kind = static_cast<FaultKind>(random.Below(kFaultKinds));
    const double wait = -std::log(1 - random.Uniform()) * common::ToSeconds(options.mean_gap);
    at += series ? common::Duration(kSeriesGap) : common::FromSeconds(wait);
    if (at >= options.length) break;
    const auto spread = static_cast<std::uint64_t>((kLongest - kShortest).count());
    plan.push_back({.at = at,
                    .kind = kind,
                    .target = random.Next() % 1024,
                    .length = kShortest + milliseconds(random.Below(spread))});
  }
  // The first wipe of each quiet span stays; further ones and other faults of members inside it go.
  std::vector<PlannedFault> wipes;
  for (const PlannedFault& fault : plan) {
    if (fault.kind != FaultKind::kWipeMember) continue;
    const bool apart = std::none_of(wipes.begin(), wipes.end(), [&](const PlannedFault& wipe) {
      return fault.at < wipe.at + kQuietAfterWipe + kQuietBeforeWipe;
    });
    if (apart) wipes.push_back(fault);
  }
  std::erase_if(plan, [&](const PlannedFault& fault) {
    const auto is_wipe = [&](const PlannedFault& wipe) { return fault.at == wipe.at; };
    const auto is_near = [&](const PlannedFault& wipe) { return IsNear(fault, wipe); };
    if (fault.kind == FaultKind::kWipeMember) {
      return std::none_of(wipes.begin(), wipes.end(), is_wipe);
    }
    return DisturbsMembers(fault.kind) && std::any_of(wipes.begin(), wipes.end(), is_near);
  });
  return plan;
}

}  // namespace briarwood::soak
