#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/distribution/replica.h"
#include "briarwood/observability/metrics.h"
#include "settings.pb.h"

namespace briarwood::entry {

struct EntryOptions {
  schema::EntrySettings settings;
  /// Shared credential of the fleet.
  std::string credential;
  common::Incarnation incarnation;
  /// Seeds the retry backoff and the choice of backend servers.
  std::uint64_t seed = 1;
};

/// The daemon that serves callers: caller API, admission, queues, choice of backend servers,
/// retries and streams. It receives its configuration from the control members; if the settings
/// name no control members, the owner of this object fills the replica.
class EntryNode {
 public:
  /// Starts listeners and threads.
  /// \returns the entry, or an error that describes the address or setting that cannot be used.
  static common::Result<std::unique_ptr<EntryNode>> Start(EntryOptions options);

  /// Aborts requests in flight; call Drain first for a planned stop.
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Port of the caller API.
  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::uint16_t rpc_port() const noexcept;

  [[nodiscard]] distribution::Replica& replica() noexcept;
  [[nodiscard]] observability::Metrics& metrics() noexcept;

  /// True when the replica is confirmed and recent and the entry is not draining.
  [[nodiscard]] bool Ready() const;

  /// Requests that have not ended.
  [[nodiscard]] std::size_t in_flight() const;

  /// Planned stop: rejects new requests as `not_run` and waits for those in flight.
  /// \returns false if requests were still in flight after `drain_timeout` and their deadlines.
  bool Drain(std::chrono::milliseconds drain_timeout);

 private:
  class Impl;
  explicit EntryNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::entry
