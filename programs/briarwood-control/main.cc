#include <unistd.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <utility>

#include "briarwood/common/random.h"
#include "briarwood/control/control_daemon.h"
#include "briarwood/daemon/daemon.h"
#include "briarwood/observability/log.h"
#include "briarwood/settings/process_settings.h"

namespace briarwood {
namespace {

constexpr std::chrono::seconds kTransferTimeout{5};

int Run(const daemon::SettingsText& file) {
  auto settings = settings::ReadControlSettings(file.file_name, file.text);
  if (!settings.ok()) {
    for (const settings::Problem& problem : settings.error()) {
      std::cerr << problem.ToString() << "\n";
    }
    return 1;
  }
  if (file.check_only) return 0;
  control::ControlDaemonOptions options{.settings = std::move(settings).value(),
                                        .incarnation = common::Incarnation(common::SystemSeed())};
  const schema::NodeSettings& node = options.settings.node();
  daemon::SetUpLog(node.log());
  daemon::RequireProtectedListener(node, options.settings.admin_listen(),
                                   !options.settings.admin_tls().certificate_file().empty());
  options.credential = daemon::ReadCredential(node.fleet_credential_file());
  std::atomic<bool> failed = false;
  options.on_failure = [&failed](const std::string&) {
    failed = true;
    // Sent to the whole process, because another thread waits for stop signals.
    ::kill(::getpid(), SIGTERM);
  };
  auto control = control::ControlDaemon::Start(std::move(options));
  if (!control.ok()) throw daemon::DaemonError(control.error());
  const observability::Logger log("control");
  log.Info("Administration API on port " + std::to_string(control.value()->admin_port()) + ".");
  daemon::WaitForStopSignal();
  if (failed) return 1;
  log.Info("Stopping.");
  if (!control.value()->Drain(kTransferTimeout)) log.Warn("Leadership was not transferred.");
  control.value().reset();
  log.Info("Stopped.");
  return 0;
}

}  // namespace
}  // namespace briarwood

int main(int argc, char** argv) {
  return briarwood::daemon::RunDaemon(
      argc, argv, {.name = "briarwood-control", .version = BRIARWOOD_VERSION}, briarwood::Run);
}
