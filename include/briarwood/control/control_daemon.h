#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/consensus/options.h"
#include "briarwood/control/admin_backend.h"
#include "briarwood/control/configuration_parser.h"
#include "briarwood/control/platform_port.h"
#include "fleet.pb.h"
#include "settings.pb.h"

namespace briarwood::control {

struct ControlDaemonOptions {
  schema::ControlSettings settings;
  /// Shared credential of the fleet.
  std::string credential;
  common::Incarnation incarnation;
  /// Called once when the member can no longer work; the process should end then.
  std::function<void(const std::string& reason)> on_failure;
  /// Reads configuration documents.
  ConfigurationParser parser = SettingsParser();
  /// Takes reports and orders; without it, settings.platform_url does over HTTP.
  std::optional<PlatformPort> platform;
  /// Reads the platform's list of backend servers, which entries get with their syncs; may block.
  std::function<common::Result<schema::BackendList>()> read_backends;
  /// Starts a further API on this member; what it returns is destroyed before the member stops.
  std::function<common::Result<std::shared_ptr<void>>(AdminBackend& backend)> start_api;
  /// Asked while a member waits for the group to take it in; true gives up.
  std::function<bool()> interrupted;
};

/// One control member: replicated log, relay tree, administration API and the leader's duties.
class ControlDaemon {
 public:
  /// Opens the data folder and starts listeners and threads.
  /// \returns the daemon, or a sentence why an address, file or setting cannot be used.
  static common::Result<std::unique_ptr<ControlDaemon>> Start(ControlDaemonOptions options);

  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  [[nodiscard]] std::uint16_t rpc_port() const noexcept;
  [[nodiscard]] std::uint16_t admin_port() const noexcept;
  [[nodiscard]] bool Leads() const;

  /// Replaces the addresses of control members, after the settings file has changed.
  void SetSeeds(const std::vector<std::string>& seeds);

  /// Planned stop: hands leadership over.
  /// \returns false when no other member took it within `limit`.
  bool Drain(std::chrono::milliseconds limit);

 private:
  class Impl;
  explicit ControlDaemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::control
