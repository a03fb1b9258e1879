#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/forwarding/wire_codec.h"
#include "fleet.pb.h"
#include "settings.pb.h"

namespace briarwood::forwarding {

struct ForwardingNodeOptions {
  schema::EntrySettings settings;
  /// Shared credential of the fleet.
  std::string credential;
  common::Incarnation incarnation;
  std::uint64_t seed = 1;
  WireCodec codec;
  /// Reads the platform's complete list of backend servers; may block. Called only while no control
  /// member provides a recent list.
  std::function<common::Result<schema::BackendList>()> read_backends;
};

/// Entry that forwards requests unchanged to backend servers. Its configuration, the list of
/// backend servers and the agreed time come from the control members.
class ForwardingNode {
 public:
  /// Starts listeners and threads.
  /// \returns the entry, or an error that describes which address or setting cannot be used.
  static common::Result<std::unique_ptr<ForwardingNode>> Start(ForwardingNodeOptions options);

  /// Aborts the requests in flight; call Drain first for a planned stop.
  ~ForwardingNode();
  ForwardingNode(const ForwardingNode&) = delete;
  ForwardingNode& operator=(const ForwardingNode&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::uint16_t ready_port() const noexcept;
  [[nodiscard]] bool Ready() const;

  /// Replaces the addresses of control members, for use after the settings file has changed.
  void SetSeeds(const std::vector<std::string>& control_rpc);

  /// Planned stop: reports not ready, asks callers to close their connections, waits until load
  /// balancers have had time to remove the entry from rotation and finishes the requests in flight.
  ///
  /// \returns false if `limit` elapsed first.
  bool Drain(std::chrono::milliseconds limit);

 private:
  class Impl;
  explicit ForwardingNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::forwarding
