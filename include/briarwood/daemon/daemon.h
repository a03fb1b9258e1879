#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "briarwood/common/result.h"
#include "settings.pb.h"

namespace briarwood::daemon {

/// A daemon cannot start or go on; the text is for the operator.
class DaemonError : public common::Error {
 public:
  using Error::Error;
};

/// Settings file of a daemon as it was given on the command line.
struct SettingsText {
  std::string file_name;
  std::string text;
  /// Only checks the settings and exits.
  bool check_only = false;
};

struct DaemonInfo {
  std::string name;
  std::string version;
};

/// Parses the command line (--settings FILE, --check, --version, --help), blocks the stop signals
/// and calls `body`. Errors go to standard error.
/// \returns the exit status: that of `body`, 1 for an error, 2 for a wrong command line.
[[nodiscard]] int RunDaemon(int argc, const char* const* argv, const DaemonInfo& info,
                            const std::function<int(const SettingsText&)>& body);

/// \returns the first line of the credential file; throws DaemonError when it is missing, empty or
/// readable by others.
[[nodiscard]] std::string ReadCredential(const std::string& file_name);

/// Sets up the log of the process from its settings; throws DaemonError.
void SetUpLog(const schema::LogSettings& settings);

/// Waits for SIGTERM or SIGINT, which RunDaemon has blocked in all threads.
void WaitForStopSignal();

enum class ProcessSignal : unsigned char { kStop, kReload };

/// Waits for SIGTERM or SIGINT (kStop) or SIGHUP (kReload), which RunDaemon has blocked in all
/// threads.
/// \returns nothing when `limit` passed first.
[[nodiscard]] std::optional<ProcessSignal> WaitForSignal(std::chrono::milliseconds limit);

/// Throws DaemonError when `listen` is neither loopback nor allowed to be plain text.
void RequireProtectedListener(const schema::NodeSettings& node, const std::string& listen,
                              bool has_certificate);

}  // namespace briarwood::daemon
