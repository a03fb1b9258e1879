#include <iostream>
#include <utility>

#include "briarwood/common/random.h"
#include "briarwood/daemon/daemon.h"
#include "briarwood/entry/entry_node.h"
#include "briarwood/observability/log.h"
#include "briarwood/settings/process_settings.h"

namespace briarwood {
namespace {

// A request with a later deadline is waited for until then.
constexpr std::chrono::minutes kDrainTimeout{10};

int Run(const daemon::SettingsText& file) {
  auto settings = settings::ReadEntrySettings(file.file_name, file.text);
  if (!settings.ok()) {
    for (const settings::Problem& problem : settings.error()) {
      std::cerr << problem.ToString() << "\n";
    }
    return 1;
  }
  if (file.check_only) return 0;
  entry::EntryOptions options{.settings = std::move(settings).value(),
                              .incarnation = common::Incarnation(common::SystemSeed()),
                              .seed = common::SystemSeed()};
  const schema::NodeSettings& node = options.settings.node();
  daemon::SetUpLog(node.log());
  daemon::RequireProtectedListener(node, options.settings.listen(),
                                   !options.settings.caller_tls().certificate_file().empty());
  options.credential = daemon::ReadCredential(node.fleet_credential_file());
  auto entry = entry::EntryNode::Start(std::move(options));
  if (!entry.ok()) throw daemon::DaemonError(entry.error());
  const observability::Logger log("entry");
  log.Info("Listening on port " + std::to_string(entry.value()->port()) + ".");
  daemon::WaitForStopSignal();
  log.Info("Stopping: waiting for " + std::to_string(entry.value()->in_flight()) +
           " requests in flight.");
  if (!entry.value()->Drain(kDrainTimeout)) log.Warn("Requests were cut off.");
  log.Info("Stopped.");
  return 0;
}

}  // namespace
}  // namespace briarwood

int main(int argc, char** argv) {
  return briarwood::daemon::RunDaemon(
      argc, argv, {.name = "briarwood-entry", .version = BRIARWOOD_VERSION}, briarwood::Run);
}
