#include "briarwood/daemon/daemon.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "briarwood/observability/log.h"

namespace briarwood::daemon {
namespace {

namespace options = boost::program_options;

constexpr int kFailure = 1;
constexpr int kUsageError = 2;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

sigset_t AllSignals() {
  sigset_t signals = StopSignals();
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Threads inherit the mask, so this runs before any is started.
void PrepareSignals() {
  const sigset_t signals = AllSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond a limit on the size of files fails like one to a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
}

std::string ReadTextFile(const std::string& file_name) {
  std::ifstream file(file_name);
  if (!file) throw DaemonError("cannot read " + file_name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

options::options_description MakeDescription() {
  options::options_description description("Options");
  description.add_options()("settings", options::value<std::string>(), "TOML settings file")(
      "check", "check the settings and exit")("version", "print the version and exit")(
      "help", "print this text and exit");
  return description;
}

int Run(const options::variables_map& values, const options::options_description& description,
        const DaemonInfo& info, const std::function<int(const SettingsText&)>& body) {
  if (values.contains("help")) {
    std::cout << info.name << " --settings FILE\n" << description;
    return 0;
  }
  if (values.contains("version")) {
    std::cout << info.name << " " << info.version << "\n";
    return 0;
  }
  if (!values.contains("settings")) {
    std::cerr << info.name << ": --settings is required\n" << description;
    return kUsageError;
  }
  SettingsText settings{.file_name = values["settings"].as<std::string>(),
                        .text = {},
                        .check_only = values.contains("check")};
  settings.text = ReadTextFile(settings.file_name);
  return body(settings);
}

}  // namespace

int RunDaemon(int argc, const char* const* argv, const DaemonInfo& info,
              const std::function<int(const SettingsText&)>& body) {
  // First, as a SIGHUP ends a process that has not blocked it.
  PrepareSignals();
  const options::options_description description = MakeDescription();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << info.name << ": " << error.what() << "\n" << description;
    return kUsageError;
  }
  try {
    return Run(values, description, info, body);
  } catch (const std::exception& error) {
    std::cerr << info.name << ": " << error.what() << "\n";
    return kFailure;
  }
}

std::string ReadCredential(const std::string& file_name) {
  namespace fs = std::filesystem;
  std::error_code error;
  const fs::perms permissions = fs::status(file_name, error).permissions();
  if (error) throw DaemonError("cannot read the credential file " + file_name);
  if ((permissions & fs::perms::others_read) != fs::perms::none) {
    throw DaemonError("the credential file " + file_name +
                      " is readable by others; use mode 0640 or stricter");
  }
  std::string credential;
  std::istringstream text(ReadTextFile(file_name));
  std::getline(text, credential);
  if (credential.empty()) throw DaemonError("the credential file " + file_name + " is empty");
  return credential;
}

void SetUpLog(const schema::LogSettings& settings) {
  const auto log_options =
      observability::MakeLogOptions(settings.format(), settings.level(), settings.file());
  if (!log_options.ok()) throw DaemonError(log_options.error());
  observability::ConfigureLog(log_options.value());
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  while (sigwait(&signals, &signal) != 0) {
  }
}

std::optional<ProcessSignal> WaitForSignal(std::chrono::milliseconds timeout) {
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  const sigset_t signals = AllSignals();
  timespec wait{};
  wait.tv_sec = timeout.count() / kMillisPerSecond;
  wait.tv_nsec = timeout.count() % kMillisPerSecond * kNanosPerMilli;
  const int signal = sigtimedwait(&signals, nullptr, &wait);
  if (signal == SIGHUP) return ProcessSignal::kReload;
  if (signal == SIGTERM || signal == SIGINT) return ProcessSignal::kStop;
  return std::nullopt;
}

void RequireProtectedListener(const schema::NodeSettings& node, const std::string& listen,
                              bool has_certificate) {
  if (has_certificate || node.allow_plain_text() || listen.empty() || listen.starts_with("127.")) {
    return;
  }
  throw DaemonError("the listener " + listen +
                    " has no certificate; set allow_plain_text = true to allow plain text");
}

}  // namespace briarwood::daemon
