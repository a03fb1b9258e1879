#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "agent/impl/backend_client.h"
#include "agent/impl/run_table.h"
#include "briarwood/common/ids.h"
#include "briarwood/http/server.h"
#include "briarwood/observability/log.h"
#include "briarwood/observability/metrics.h"
#include "fleet.pb.h"
#include "usage.pb.h"

namespace briarwood::agent::impl {

struct AgentCoreOptions {
  std::string backend_server;
  std::string credential;
  common::Incarnation incarnation;
  /// \returns the highest confirmed fencing token; 0 before the first confirmation.
  std::function<std::uint64_t()> fencing_token;
  /// Reports a crash to the control leader, then calls `done` whether or not the report was
  /// committed. Must not block.
  std::function<void(schema::RecordCrash crash, std::function<void()> done)> report_crash;
  /// Holds the billing record of a run until the entry acknowledges it.
  std::function<void(const schema::BillingRecord&)> bill;
  std::shared_ptr<observability::Metrics> metrics;
};

/// Request path of the agent. Its handlers run on threads of the HTTP library and never block.
class AgentCore : public std::enable_shared_from_this<AgentCore> {
 public:
  explicit AgentCore(AgentCoreOptions options);

  void Handle(const std::shared_ptr<http::Exchange>& exchange);

  void SetBackend(const schema::BackendServer& backend);
  void SetDraining(bool draining);
  void SetStopping();

  /// Probes the backend server and ends runs past their deadline. Must be called periodically.
  void Tick(common::Time now);

  [[nodiscard]] schema::LoadReport Load() const;
  /// Load report that includes the number of runs of the entry that dispatched `run`, so that the
  /// entry need not estimate how many of the running requests are its own.
  [[nodiscard]] schema::LoadReport LoadFor(const Run& run) const;
  [[nodiscard]] bool Ready() const;
  /// \returns the latest deadline of the runs; the epoch if there are none.
  [[nodiscard]] common::Time LatestDeadline() const;

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;
  using RunPtr = std::shared_ptr<Run>;

  void HandleRun(const ExchangePtr& exchange);
  void HandleCancel(const ExchangePtr& exchange);
  void HandleOrder(const ExchangePtr& exchange);
  [[nodiscard]] bool IsAuthorized(const http::Request& request) const;
  void UpdateLeaving();

  void Forward(const RunPtr& run);
  void HandleResponse(const RunPtr& run, ResponseEvents output);
  void HandleBackendEnd(const RunPtr& run, const http::CallOutcome& outcome);
  void Finish(const RunPtr& run, schema::RunEvent event);
  void Cancel(const RunPtr& run, schema::RunEvent event);
  void Bill(const Run& run, const schema::RunEvent& last);
  /// Cancels a retryable run whose entry disconnected.
  void OnDisconnect(const RunPtr& run);
  void RecordToken(const Run& run);

  /// Handles a run whose connection to the backend server failed: probes whether the backend server
  /// crashed, before the failure is reported to the entry.
  void ProbeAfterFailure(const RunPtr& run, schema::RunEvent event);
  void HandleProbe(const ProbeResult& result);
  void HandleCrash(std::vector<std::pair<RunPtr, schema::RunEvent>> interrupted);
  void ApplyLoad(const requests::EngineLoad& load);

  AgentCoreOptions options_;
  observability::Logger log_{"agent"};
  BackendClient backend_client_;
  RunTable runs_;

  mutable std::mutex mutex_;
  bool draining_ = false;
  bool stopping_ = false;
  bool healthy_ = false;
  bool reachable_ = false;
  bool probing_ = false;
  std::uint32_t configured_capacity_ = 0;
  std::uint64_t backend_incarnation_ = 0;
  std::uint64_t crashes_ = 0;
  std::vector<std::pair<RunPtr, schema::RunEvent>> interrupted_;
  common::Time last_token_at_;
  double token_gap_us_ = 0;
};

}  // namespace briarwood::agent::impl
