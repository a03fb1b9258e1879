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
  /// Called once after a fatal error; the process should exit then.
  std::function<void(const std::string& reason)> on_failure;
  /// Called once, on a thread of the daemon, after the group has removed this member. The daemon
  /// erases its state when it is destroyed; a new one of the same process then joins the group.
  std::function<void()> on_removed;
  /// Parses configuration documents.
  ConfigurationParser parser = SettingsParser();
  /// Receives reports and orders; by default these are sent to settings.platform_url over HTTP.
  std::optional<PlatformPort> platform;
  /// Reads the platform's list of backend servers, which entries receive with their syncs; may
  /// block.
  std::function<common::Result<schema::BackendList>()> read_backends;
  /// Starts an additional API on this member; the returned object is destroyed before the member
  /// stops.
  std::function<common::Result<std::shared_ptr<void>>(AdminBackend& backend)> start_api;
  /// Polled while a member waits for admission to the group; returns true to stop waiting.
  std::function<bool()> interrupted;
};

/// One control member: replicated log, relay tree, administration API and the leader's duties.
class ControlDaemon {
 public:
  /// Opens the data folder and starts listeners and threads.
  /// \returns the daemon, or an error that describes which address, file or setting is not usable.
  static common::Result<std::unique_ptr<ControlDaemon>> Start(ControlDaemonOptions options);

  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  [[nodiscard]] std::uint16_t rpc_port() const noexcept;
  [[nodiscard]] std::uint16_t admin_port() const noexcept;
  [[nodiscard]] bool Leads() const;

  /// Replaces the addresses of control members after a change of the settings file.
  void SetSeeds(const std::vector<std::string>& seeds);

  /// Prepares a planned stop: reports the member as not ready and transfers leadership.
  /// \returns false if no other member became leader within `limit`.
  bool Drain(std::chrono::milliseconds limit);

 private:
  class Impl;
  explicit ControlDaemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::control
