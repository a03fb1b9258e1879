#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "settings.pb.h"

namespace briarwood::control {

struct ControlRelayOptions {
  schema::ControlSettings settings;
  /// Shared credential of the fleet.
  std::string credential;
};

/// \returns true if a process with these settings runs as a relay: it belongs to a group that forms
/// itself and has no data folder.
[[nodiscard]] bool RunsAsRelay(const schema::ControlSettings& settings) noexcept;

/// Control process on a VM without a disk, which could not vote. It holds no state of the group and
/// is not a member of it, so its starts and stops change no membership and the group does not grow
/// with the fleet. It tells the processes that contact it which members there are.
class ControlRelay {
 public:
  /// \returns the running relay, or an error that describes why it cannot listen on the RPC
  /// address.
  static common::Result<std::unique_ptr<ControlRelay>> Start(ControlRelayOptions options);

  ~ControlRelay();
  ControlRelay(const ControlRelay&) = delete;
  ControlRelay& operator=(const ControlRelay&) = delete;

  [[nodiscard]] std::uint16_t rpc_port() const noexcept;

  /// Replaces the addresses of control processes after a change of the settings file.
  void SetSeeds(const std::vector<std::string>& seeds);

  /// \returns the RPC address of the leader, or nothing if no member has confirmed it recently.
  [[nodiscard]] std::optional<std::string> leader() const;
  /// \returns the RPC addresses of the members, starting with the leader; empty if unknown.
  [[nodiscard]] std::vector<std::string> members() const;

 private:
  class Impl;
  explicit ControlRelay(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::control
