#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "agent/impl/run.h"
#include "briarwood/http/client.h"
#include "briarwood/requests/engine_protocol.h"
#include "configuration.pb.h"

namespace briarwood::agent::impl {

/// Result of GET /load.
struct ProbeResult {
  enum class State : std::uint8_t { kAnswered, kUnreachable, kFailed };

  /// kUnreachable: no connection could be opened, because nothing listens at the address. kFailed:
  /// the response was not received in time, or is incomplete.
  State state = State::kFailed;
  requests::EngineLoad load;
};

/// HTTP client of the agent for its backend server. Thread-safe and non-blocking.
class BackendClient {
 public:
  /// Uses the address of `backend` for new calls. Calls in flight continue.
  void SetBackend(const schema::BackendServer& backend);

  [[nodiscard]] std::optional<schema::BackendServer> backend() const;

  /// Sends the run's request over a new connection, because a pooled connection that turns out to
  /// be closed would look like a crash of the backend server.
  void SendRun(const std::shared_ptr<Run>& run, http::CallHandlers handlers);

  /// Sends a cancel request for the run to an engine. Plain services do not support cancellation.
  void SendCancel(const Run& run);

  /// \param done  receives the HTTP status, or 0 if there was no response
  void SendOrder(const schema::Order& order, std::function<void(std::uint16_t status)> done);

  void Probe(std::function<void(const ProbeResult&)> done);

 private:
  [[nodiscard]] std::shared_ptr<http::Client> CallClient() const;
  [[nodiscard]] std::shared_ptr<http::Client> ProbeClient() const;

  mutable std::mutex mutex_;
  std::optional<schema::BackendServer> backend_;
  std::shared_ptr<http::Client> call_client_;
  std::shared_ptr<http::Client> probe_client_;
};

}  // namespace briarwood::agent::impl
