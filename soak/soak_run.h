#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

#include "briarwood/common/time.h"

namespace briarwood::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  /// Length of the part with faults.
  std::chrono::seconds faults{20};
  /// Length of the part after the recovery in which everything must be served.
  std::chrono::seconds calm{6};
  std::size_t members = 3;
  std::size_t entries = 4;
  std::size_t callers = 16;
  /// Mean time between the beginnings of two faults.
  std::chrono::milliseconds mean_gap{500};
  std::string programs;
  std::string templates;
  /// Folder for settings, data and output; emptied first.
  std::string folder;
};

/// Runs the programs as processes under faults and checks the promises.
/// \param report  gets the plan, the figures and each broken promise
/// \returns true when no promise was broken; throws SoakError when the run cannot be set up.
bool RunSoak(const SoakOptions& options, std::ostream& report);

}  // namespace briarwood::soak
