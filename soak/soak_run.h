#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

#include "briarwood/common/time.h"

namespace briarwood::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  /// Duration of the phase with faults.
  std::chrono::seconds faults{20};
  /// Duration of the phase after the recovery, in which calls must be served.
  std::chrono::seconds calm{6};
  std::size_t members = 3;
  std::size_t entries = 4;
  std::size_t callers = 16;
  /// Mean time between the start times of consecutive faults.
  std::chrono::milliseconds mean_interval{500};
  /// See FaultPlanOptions::crash_on_part.
  bool crash_on_part = false;
  /// See FaultPlanOptions::replace_members.
  bool replace_members = false;
  std::string programs;
  std::string templates;
  /// Folder for settings, data and output; its previous contents are deleted.
  std::string folder;
};

/// Runs the daemons as child processes under faults and checks the invariants.
/// \param report  receives the plan, the statistics and each violation
/// \returns true if no invariant was violated; throws SoakError if the run cannot be set up.
bool RunSoak(const SoakOptions& options, std::ostream& report);

}  // namespace briarwood::soak
