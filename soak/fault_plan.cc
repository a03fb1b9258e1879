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
    "replace_backend", "platform_down",   "quiet_backend",    "stop_entries_in_turn",
    "crash_on_part",   "limit_backend",   "leaving_backend",  "back_off_backend",
    "replace_member",  "dark_leader",     "lose_spare_member"};

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
    case FaultKind::kCrashOnPart:
    case FaultKind::kLimitBackend:
    case FaultKind::kLeavingBackend:
    case FaultKind::kBackOffBackend:
      return false;
    default:
      return true;
  }
}

/// Kinds that are not chosen at random, at the end of the enumeration.
constexpr std::size_t kPlannedKinds = 7;
/// Kinds that may accompany kCrashOnPart.
constexpr FaultKind kKindsBesideCrashOnPart[] = {FaultKind::kCrashBackend, FaultKind::kReload,
                                                 FaultKind::kReplaceBackend,
                                                 FaultKind::kQuietBackend, FaultKind::kStopEntry};
/// Factor by which faults beside kCrashOnPart are rarer.
constexpr int kIntervalFactorBesideCrashOnPart = 4;
/// Share of the duration before kCrashOnPart, in which calls are counted for comparison.
constexpr double kShareBeforeCrashOnPart = 0.2;

FaultKind ChooseKind(const FaultPlanOptions& options, common::Random& random) {
  if (options.crash_on_part) {
    return kKindsBesideCrashOnPart[random.Below(std::size(kKindsBesideCrashOnPart))];
  }
  return static_cast<FaultKind>(random.Below(kFaultKinds - kPlannedKinds));
}

constexpr double kDarkLeaderProbability = 0.25;
constexpr seconds kFirstReplacement{1};
/// Time from the loss of a member until an empty one starts, while the group is otherwise
/// undisturbed.
constexpr seconds kReplacementDelay{1};
/// Time for an empty member to join and to replace the lost one.
constexpr seconds kReplacementInterval{4};
/// Time in which a spare member joins, before it is lost.
constexpr seconds kSpareLifetime{2};
/// Time from the loss of a member to the end of the other members' processes.
constexpr milliseconds kLossToKill{500};
constexpr milliseconds kMinDownPeriod{300};
constexpr std::uint64_t kDownSpreadMs = 4000;
/// Time for the group to recover, and for the configuration to be in force, after a fault.
constexpr seconds kRecoveryInterval{8};
constexpr std::uint64_t kRecoverySpreadMs = 1000;

/// Replaces all members, then stops the group again and again.
std::vector<PlannedFault> PlanReplacements(const FaultPlanOptions& options) {
  common::Random random(options.seed);
  std::vector<PlannedFault> plan;
  common::Duration at = kFirstReplacement;
  for (std::size_t member = 0; member < options.members && at < options.duration; ++member) {
    // The first member is always the one that has been there longest.
    plan.push_back(
        {.at = at, .kind = FaultKind::kReplaceMember, .target = 0, .duration = kReplacementDelay});
    at += kReplacementInterval;
  }
  plan.push_back(
      {.at = at, .kind = FaultKind::kLoseSpareMember, .target = 0, .duration = kSpareLifetime});
  at += kSpareLifetime;
  while (at < options.duration) {
    const common::Duration recovery =
        kRecoveryInterval + milliseconds(random.Below(kRecoverySpreadMs));
    const common::Duration down = kMinDownPeriod + milliseconds(random.Below(kDownSpreadMs));
    if (random.Chance(kDarkLeaderProbability)) {
      plan.push_back({.at = at,
                      .kind = FaultKind::kDarkLeader,
                      .target = random.Next() % 1024,
                      .duration = down});
      at += recovery;
      continue;
    }
    // The machine of one member stays lost while the others come back.
    plan.push_back({.at = at,
                    .kind = FaultKind::kReplaceMember,
                    .target = random.Next() % 1024,
                    .duration = kLossToKill + recovery});
    plan.push_back({.at = at + kLossToKill,
                    .kind = FaultKind::kKillAllMembers,
                    .target = random.Next() % 1024,
                    .duration = down});
    at += kLossToKill + recovery + kReplacementInterval;
  }
  return plan;
}

/// Mean time between two statements of backend servers.
constexpr seconds kStatementInterval{3};
constexpr FaultKind kStatementKinds[] = {FaultKind::kLimitBackend, FaultKind::kLeavingBackend,
                                         FaultKind::kBackOffBackend};
/// A limit is checked from 3 s after it was first stated.
constexpr seconds kMinStatementDuration{5};

/// Adds statements of backend servers, from a generator of their own, so that a seed gives the same
/// other faults as without them.
void AddStatements(const FaultPlanOptions& options, std::vector<PlannedFault>& plan) {
  constexpr std::uint64_t kStatementSeed = 0x57A7E;
  common::Random random(options.seed ^ kStatementSeed);
  const std::uint64_t interval_ms = 2 * milliseconds(kStatementInterval).count();
  for (common::Duration at = milliseconds(random.Below(interval_ms)); at < options.duration;
       at += milliseconds(random.Below(interval_ms))) {
    plan.push_back({.at = at,
                    .kind = kStatementKinds[random.Below(std::size(kStatementKinds))],
                    .target = random.Next() % 1024,
                    .duration = kMinStatementDuration + milliseconds(random.Below(4000))});
  }
  std::stable_sort(
      plan.begin(), plan.end(),
      [](const PlannedFault& left, const PlannedFault& right) { return left.at < right.at; });
}

bool IsInQuietPeriod(const PlannedFault& fault, const PlannedFault& wipe) {
  return fault.at + fault.duration + kQuietPeriodBeforeWipe > wipe.at &&
         fault.at < wipe.at + kQuietPeriodAfterWipe;
}

}  // namespace

std::string_view NameOf(FaultKind kind) { return kFaultNames[static_cast<std::size_t>(kind)]; }

std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options) {
  if (options.replace_members) return PlanReplacements(options);
  common::Random random(options.seed);
  std::vector<PlannedFault> plan;
  common::Duration at{};
  common::Duration interval = options.mean_interval;
  if (options.crash_on_part) interval *= kIntervalFactorBesideCrashOnPart;
  FaultKind kind = FaultKind::kKillEntry;
  while (true) {
    const bool series = !plan.empty() && random.Chance(kSeriesProbability);
    if (!series) kind = ChooseKind(options, random);
    const double delay_s = -std::log(1 - random.Uniform()) * common::ToSeconds(interval);
    at += series ? common::Duration(kSeriesInterval) : common::FromSeconds(delay_s);
    if (at >= options.duration) break;
    const auto spread = static_cast<std::uint64_t>((kMaxFaultDuration - kMinFaultDuration).count());
    plan.push_back({.at = at,
                    .kind = kind,
                    .target = random.Next() % 1024,
                    .duration = kMinFaultDuration + milliseconds(random.Below(spread))});
  }
  if (options.crash_on_part) {
    const auto start =
        common::FromSeconds(common::ToSeconds(options.duration) * kShareBeforeCrashOnPart);
    const auto later = std::find_if(plan.begin(), plan.end(),
                                    [&](const PlannedFault& fault) { return fault.at > start; });
    plan.insert(later, {.at = start,
                        .kind = FaultKind::kCrashOnPart,
                        .target = random.Next() % 1024,
                        .duration = options.duration - start});
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
  if (!options.crash_on_part) AddStatements(options, plan);
  return plan;
}

}  // namespace briarwood::soak
