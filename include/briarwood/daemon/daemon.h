#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "briarwood/common/result.h"
#include "settings.pb.h"

namespace briarwood::daemon {

/// Thrown when a daemon cannot start or continue; the text is for the operator.
class DaemonError : public common::Error {
 public:
  using Error::Error;
};

/// Settings file of a daemon as given on the command line.
struct SettingsText {
  std::string file_name;
  std::string text;
  /// Only check the settings and exit.
  bool check_only = false;
};

struct DaemonInfo {
  std::string name;
  std::string version;
};

/// Parses the command line (--settings FILE, --check, --version, --help), blocks the stop signals
/// and calls `body`. Errors are written to standard error.
/// \returns the exit status: that of `body`, 1 for an error, 2 for an invalid command line.
[[nodiscard]] int RunDaemon(int argc, const char* const* argv, const DaemonInfo& info,
                            const std::function<int(const SettingsText&)>& body);

/// \returns the first line of the credential file; throws DaemonError if it is missing, empty or
/// readable by others.
[[nodiscard]] std::string ReadCredential(const std::string& file_name);

/// Configures logging of the process from its settings; throws DaemonError if they are invalid.
void SetUpLog(const schema::LogSettings& settings);

/// Waits for SIGTERM or SIGINT, which RunDaemon has blocked in all threads.
void WaitForStopSignal();

enum class ProcessSignal : unsigned char { kStop, kReload };

/// Waits for SIGTERM or SIGINT (kStop) or SIGHUP (kReload), which RunDaemon has blocked in all
/// threads.
/// \returns nothing if `timeout` expired first.
[[nodiscard]] std::optional<ProcessSignal> WaitForSignal(std::chrono::milliseconds timeout);

/// Throws DaemonError if `listen` has no certificate, is not a loopback address and plain text is
/// not allowed.
void RequireProtectedListener(const schema::NodeSettings& node, const std::string& listen,
                              bool has_certificate);

}  // namespace briarwood::daemon
