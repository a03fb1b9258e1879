#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace briarwood::cli {

/// Exit codes of briarwoodctl, stable for scripts.
enum class ExitCode : int {
  kOk = 0,
  /// Failure without an exit code of its own.
  kFailure = 1,
  /// Invalid command line, settings or input file.
  kUsage = 2,
  /// Invalid content or request; nothing was changed.
  kInvalid = 3,
  /// The version or operation id is already in use, or the version is stale; nothing was changed.
  kConflict = 4,
  kNotFound = 5,
  kUnauthorized = 6,
  /// No member answered in time. A change may or may not have been applied; it is safe to retry the
  /// command with the printed version or operation id.
  kUnavailable = 7,
  /// The change is accepted, but not yet in force on all processes.
  kNotInForce = 8,
};

/// Generators of random values, replaced in tests.
struct CtlEnvironment {
  /// \returns a unique operation id.
  std::function<std::string()> make_operation_id;
  /// \returns a new key for a customer.
  std::function<std::string()> make_key;
};

/// \returns an environment that uses the random number generator of OpenSSL.
[[nodiscard]] CtlEnvironment SystemEnvironment();

/// Runs briarwoodctl with one command line.
/// \param arguments  command line without the program name
/// \param version    version that --version prints
[[nodiscard]] ExitCode RunBriarwoodctl(const std::vector<std::string>& arguments,
                                       const std::string& version,
                                       const CtlEnvironment& environment, std::ostream& out,
                                       std::ostream& err);

}  // namespace briarwood::cli
