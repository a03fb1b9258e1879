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
  /// Optional: reads the platform's complete list of backend servers; may block. Called only while
  /// the last list from any source is older than the setting `list_stale_ms` (2 s by default), that
  /// is, while the control members provide no newer one.
  std::function<common::Result<schema::BackendList>()> read_backends;
};

/// Entry that forwards requests unchanged to backend servers. Its configuration, the list of
/// backend servers and the wall clock time for usage windows, on which the control members agree,
/// come from the control members.
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

  /// Replaces the addresses of control members that come from the settings, for use after the
  /// settings file has changed. Addresses that a control member reported stay in use and are tried
  /// first.
  void SetSeeds(const std::vector<std::string>& control_rpc);

  /// Planned stop: reports not ready, asks callers to close their connections, waits 2.6 s, in
  /// which load balancers remove the entry from rotation, and finishes the requests in flight. From
  /// the start, requests whose responses will probably not end within `limit` are rejected before
  /// a backend server receives them. Requests that are open after `limit` are ended: with 503 if
  /// they have not run, else with 502, or by closing the connection if the response has started.
  ///
  /// \param limit  has to be longer than that wait
  /// \returns false if `limit` elapsed first.
  bool Drain(std::chrono::milliseconds limit);

 private:
  class Impl;
  explicit ForwardingNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::forwarding
