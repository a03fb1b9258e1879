#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/distribution/replica.h"
#include "briarwood/observability/metrics.h"
#include "fleet.pb.h"
#include "settings.pb.h"

namespace briarwood::agent {

struct AgentOptions {
  schema::AgentSettings settings;
  /// Shared credential of the fleet.
  std::string credential;
  common::Incarnation incarnation;
};

/// The daemon that accompanies one backend server.
///
/// It makes the final admission decision, forwards requests to the backend server, checks the
/// fencing token of orders, detects crashes and reports load. It receives its part of the
/// configuration from an entry.
class AgentNode {
 public:
  /// Starts listeners and threads.
  /// \returns the agent, or an error that describes the address or setting that cannot be used.
  static common::Result<std::unique_ptr<AgentNode>> Start(AgentOptions options);

  /// Aborts requests in flight; call Drain first for a planned stop.
  ~AgentNode();
  AgentNode(const AgentNode&) = delete;
  AgentNode& operator=(const AgentNode&) = delete;

  /// Port of the HTTP listener for entries.
  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::uint16_t rpc_port() const noexcept;

  /// Rows of this agent's backend server, and the fencing token.
  [[nodiscard]] distribution::Replica& replica() noexcept;
  [[nodiscard]] observability::Metrics& metrics() noexcept;

  /// \returns the load report that the agent sends to entries.
  [[nodiscard]] schema::LoadReport Load() const;

  /// True when the agent has received the configuration of its backend server and the fencing
  /// token, and the backend server responds.
  [[nodiscard]] bool Ready() const;

  /// Planned stop: rejects new requests as `leaving` and waits for those in flight.
  /// \returns false if requests were still in flight after `drain_timeout` and their deadlines.
  bool Drain(std::chrono::milliseconds drain_timeout);

 private:
  class Impl;
  explicit AgentNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::agent
