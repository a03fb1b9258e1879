#include <iostream>
#include <utility>

#include "briarwood/agent/agent_node.h"
#include "briarwood/common/random.h"
#include "briarwood/daemon/daemon.h"
#include "briarwood/observability/log.h"
#include "briarwood/settings/process_settings.h"

namespace briarwood {
namespace {

// A request with a later deadline is waited for until then.
constexpr std::chrono::minutes kDrainTimeout{10};

int Run(const daemon::SettingsText& file) {
  auto settings = settings::ReadAgentSettings(file.file_name, file.text);
  if (!settings.ok()) {
    for (const settings::Problem& problem : settings.error()) {
      std::cerr << problem.ToString() << "\n";
    }
    return 1;
  }
  if (file.check_only) return 0;
  agent::AgentOptions options{.settings = std::move(settings).value(),
                              .incarnation = common::Incarnation(common::SystemSeed())};
  const schema::NodeSettings& node = options.settings.node();
  daemon::SetUpLog(node.log());
  daemon::RequireProtectedListener(node, options.settings.listen(),
                                   !node.internal_tls().certificate_file().empty());
  options.credential = daemon::ReadCredential(node.fleet_credential_file());
  auto agent = agent::AgentNode::Start(std::move(options));
  if (!agent.ok()) throw daemon::DaemonError(agent.error());
  const observability::Logger log("agent");
  log.Info("Listening on port " + std::to_string(agent.value()->port()) + ".");
  daemon::WaitForStopSignal();
  log.Info("Stopping: waiting for requests in flight.");
  if (!agent.value()->Drain(kDrainTimeout)) log.Warn("Requests were cut off.");
  log.Info("Stopped.");
  return 0;
}

}  // namespace
}  // namespace briarwood

int main(int argc, char** argv) {
  return briarwood::daemon::RunDaemon(
      argc, argv, {.name = "briarwood-agent", .version = BRIARWOOD_VERSION}, briarwood::Run);
}
