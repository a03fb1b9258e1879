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
  /// Reads the platform's whole list of backend servers; may block. Called by this entry only while
  /// no control member provides a recent list.
  std::function<common::Result<schema::BackendList>()> read_backends;
};

/// Entry that forwards requests unchanged to backend servers. Its configuration, the list of
/// backend servers and the agreed time come from the control members.
class ForwardingNode {
 public:
  /// Starts listeners and threads.
  /// \returns the entry, or a sentence why an address or setting cannot be used.
  static common::Result<std::unique_ptr<ForwardingNode>> Start(ForwardingNodeOptions options);

  /// Cuts what is in flight; call Drain first for a planned stop.
  ~ForwardingNode();
  ForwardingNode(const ForwardingNode&) = delete;
  ForwardingNode& operator=(const ForwardingNode&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::uint16_t ready_port() const noexcept;
  [[nodiscard]] bool Ready() const;

  /// Replaces the addresses of control members, after the settings file has changed.
  void SetSeeds(const std::vector<std::string>& control_rpc);

  /// Planned stop: turns not ready, lets callers leave and finishes what is in flight.
  /// \returns false when `limit` passed first.
  bool Drain(std::chrono::milliseconds limit);

 private:
  class Impl;
  explicit ForwardingNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::forwarding
