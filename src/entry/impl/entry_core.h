#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/distribution/replica.h"
#include "briarwood/http/server.h"
#include "briarwood/observability/log.h"
#include "briarwood/proposals/usage_reporter.h"
#include "briarwood/requests/caller_error.h"
#include "briarwood/requests/caller_request.h"
#include "entry/impl/demand_meter.h"
#include "entry/impl/directory.h"
#include "entry/impl/live_table.h"
#include "entry/impl/task_queue.h"

namespace briarwood::entry::impl {

struct EntryCoreOptions {
  common::Incarnation incarnation;
  /// Keys are accepted only while the key table is younger than this.
  common::Duration max_key_age = std::chrono::seconds(5);
  std::shared_ptr<distribution::Replica> replica;
  std::shared_ptr<Dispatcher> dispatcher;
  std::shared_ptr<AgentPool> agents;
  std::shared_ptr<proposals::BackgroundProposer> proposer;
  std::shared_ptr<observability::Metrics> metrics;
  std::shared_ptr<proposals::UsageReporter> usage;
  /// Optional: called when a request waits for a configuration that was confirmed since its
  /// arrival.
  std::function<void()> request_confirmation;
};

/// Caller API of the entry. Its handlers run on threads of the HTTP library and never block.
class EntryCore : public std::enable_shared_from_this<EntryCore> {
 public:
  [[nodiscard]] static std::shared_ptr<EntryCore> Create(EntryCoreOptions options);

  void Handle(const std::shared_ptr<http::Exchange>& exchange);

  /// Applies changed rows of the replica.
  void OnRows(const std::vector<distribution::RowTable::RowKey>& changed);

  /// Handles deadlines, retries and an outdated key table, and requests a dispatch pass. Must be
  /// called about every 20 ms.
  void Tick(common::Time now);

  void SetStopping() noexcept { stopping_ = true; }
  /// Stops the task thread; requests that arrive later are not dispatched.
  void Stop() { tasks_.Stop(); }

  [[nodiscard]] bool Ready() const;
  [[nodiscard]] std::size_t in_flight() const;
  /// \returns the latest deadline of the requests in flight; the epoch if there are none.
  [[nodiscard]] common::Time LatestDeadline() const;
  /// \returns the RPC addresses of the agents that were used since the previous call.
  [[nodiscard]] std::set<std::string> TakeUsedAgents();
  void RecordUsedAgent(const std::string& rpc_address);
  [[nodiscard]] DemandMeter& demand() noexcept { return demand_; }

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;
  template <typename T>
  using Checked = common::Result<T, requests::CallerError>;

  /// Authenticated caller.
  struct Caller {
    schema::Customer customer;
    std::string key_sha256_hex;
  };

  /// Request that the configuration refuses and that waits until it is confirmed.
  struct UnconfirmedRequest {
    ExchangePtr exchange;
    RequestPlan plan;
    /// Log index of the configuration that refused the request.
    common::LogIndex index;
  };

  explicit EntryCore(EntryCoreOptions options) : options_(std::move(options)) {}
  void MakeServices();

  [[nodiscard]] std::shared_ptr<const Directory> directory() const;
  [[nodiscard]] bool KeysAreFresh(common::Time now) const;
  [[nodiscard]] Checked<Caller> Authenticate(const requests::CallerHttpRequest& request) const;
  void HandleCaller(const ExchangePtr& exchange, const RequestPlan& plan);
  [[nodiscard]] Checked<RequestPlan> MakePlan(const requests::CallerHttpRequest& request,
                                              const Caller& caller, RequestPlan plan) const;
  [[nodiscard]] Checked<RequestPlan> PlanCompletion(requests::CompletionKind kind,
                                                    const requests::CallerHttpRequest& request,
                                                    const Caller& caller, RequestPlan plan) const;
  [[nodiscard]] Checked<RequestPlan> PlanRoute(const schema::Route& route,
                                               const requests::CallerHttpRequest& request,
                                               const Caller& caller, RequestPlan plan) const;
  /// \param requested_class  id of the class; empty selects the customer's default class
  [[nodiscard]] std::optional<requests::CallerError> SetClass(const std::string& requested_class,
                                                              const schema::Customer& customer,
                                                              RequestPlan& plan) const;
  [[nodiscard]] std::optional<requests::CallerError> CheckSuspect(RequestPlan& plan) const;
  [[nodiscard]] std::optional<requests::CallerError> Admit(const RequestPlan& plan);
  /// Rejects a request that the configuration does not allow, if the control members have confirmed
  /// the configuration since the arrival of the request. Until then the request is held.
  /// \param plan  id, sequence and arrival of the request
  void RejectOnceConfirmed(const ExchangePtr& exchange, const requests::CallerError& error,
                           const RequestPlan& plan);
  /// Holds a request until the configuration is confirmed.
  /// \returns false if it cannot be held any longer, or too many are.
  [[nodiscard]] bool Hold(const ExchangePtr& exchange, const RequestPlan& plan);
  /// Handles the held requests again whose configuration was confirmed or has changed, or whose
  /// time has run out.
  void ReviewUnconfirmed(common::Time now);
  void ServeModels(const ExchangePtr& exchange, const common::RequestId& id) const;
  void Reject(const ExchangePtr& exchange, const requests::CallerError& error,
              const common::RequestId& id) const;

  /// Posts a dispatch pass unless one is pending.
  void RequestDispatch();
  void RunDispatch();
  void NotifyDropped(const std::vector<routing::DroppedRequest>& dropped);

  EntryCoreOptions options_;
  observability::Logger log_{"entry"};
  std::shared_ptr<const RequestServices> services_;
  LiveTable requests_;
  DemandMeter demand_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> dispatch_requested_ = false;
  std::atomic<std::uint64_t> next_sequence_ = 1;
  std::atomic<std::uint64_t> next_billing_sequence_ = 1;
  mutable std::mutex mutex_;
  std::set<std::string> used_agents_;
  std::vector<UnconfirmedRequest> unconfirmed_;
  common::Time confirmation_requested_at_;
  std::shared_ptr<const Directory> directory_ = std::make_shared<Directory>();
  TaskQueue tasks_;
};

}  // namespace briarwood::entry::impl
