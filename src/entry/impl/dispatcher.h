#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/routing/customer_limits.h"
#include "briarwood/routing/dispatch.h"
#include "briarwood/routing/length_estimator.h"
#include "briarwood/routing/retry_budget.h"
#include "entry/impl/backend_liveness.h"
#include "entry/impl/directory.h"
#include "fleet.pb.h"

namespace briarwood::entry::impl {

/// Request that leaves the queue for a backend server.
struct PlacedRequest {
  common::RequestId id;
  common::BackendServerId server;
  bool floor_protected = false;
};

/// Result of one dispatch pass over the queues.
struct DispatchRound {
  std::vector<PlacedRequest> placed;
  std::vector<routing::DroppedRequest> dropped;
};

/// How an attempt counts for later choices of its backend server. kFull: the server had no
/// capacity. kInconclusive: the attempt shows nothing about the server.
enum class AttemptOutcome : std::uint8_t { kSuccess, kFailure, kFull, kInconclusive };

/// Queues, limits and choice of backend servers of one entry: the routing policy behind one mutex.
/// Thread-safe and non-blocking.
class Dispatcher {
 public:
  /// \param near_domain  failure domain of the entry
  /// \param seed         must differ between entries
  Dispatcher(common::FailureDomainId near_domain, std::uint64_t seed);

  void Configure(const Directory& directory, common::Time now);

  /// Sets the number of entries among which limits without a lease are divided.
  void SetEntryCount(std::size_t entries);
  [[nodiscard]] routing::LimitDecision TryAdmit(const common::CustomerId& customer, double tokens,
                                                common::Time now);
  void Release(const common::CustomerId& customer, double estimated_tokens, double served_tokens);
  void SetShare(const common::CustomerId& customer, const routing::Limits& share,
                common::Time lease_end);

  [[nodiscard]] double EstimateOutput(const common::CustomerId& customer,
                                      const common::ClassId& request_class,
                                      const common::ModelId& model) const;
  void ObserveOutput(const common::CustomerId& customer, const common::ClassId& request_class,
                     const common::ModelId& model, std::uint64_t tokens);

  void OnRequest(const common::ClassId& request_class, common::Time now);
  /// \returns the delay before the retry, or nothing if the retry budget is exhausted.
  [[nodiscard]] std::optional<common::Duration> TryRetry(const common::ClassId& request_class,
                                                         std::uint32_t attempt, common::Time now);

  /// \returns the requests that were dropped from the queue in exchange.
  [[nodiscard]] std::vector<routing::DroppedRequest> Enqueue(const routing::QueuedRequest& request,
                                                             common::Time now);

  /// Removes all requests that can be placed now from the queues.
  [[nodiscard]] DispatchRound Next(common::Time now);

  void OnToken(const common::RequestId& id, common::Time now);
  /// Records the first token of a request, which from then on requires the version of the model
  /// that wrote it: text of two versions does not fit together. \returns the version; empty if the
  /// request is unknown or its server states none.
  std::string OnFirstToken(const common::RequestId& id, common::Duration delay);

  /// Ends the attempt of a placed request. The request stays tracked; Finish, PutBack or Requeue
  /// must follow.
  void EndAttempt(const common::RequestId& id, AttemptOutcome outcome, common::Time now);
  /// Returns a request whose backend server rejected it to the head of its queue.
  void PutBack(const common::RequestId& id, common::Time now);
  /// Returns an interrupted request to its queue.
  void Requeue(const common::RequestId& id, std::uint64_t resume_from, common::Time now);
  /// Stops tracking the request, whether queued or running.
  void Finish(const common::RequestId& id);

  /// Records a load report that the agent sent to this entry itself.
  void Report(const schema::LoadReport& load, common::Time now);

  /// Records a load report that arrived through the relay tree; it also counts as a heartbeat of
  /// the agent.
  void ReportRelayed(const schema::LoadReport& load, common::Time now);
  /// Records a sync that a parent answered.
  void OnSync(common::Time now);
  /// True if the agent has sent no heartbeat for so long that its streams are aborted.
  [[nodiscard]] bool IsDead(const common::BackendServerId& id) const;

  [[nodiscard]] std::size_t queued() const;

 private:
  using SchedulerPtr = std::shared_ptr<routing::Scheduler>;

  struct Attempt {
    common::BackendServerId server;
    common::Tier tier;
    bool alone = false;
  };
  struct TrackedRequest {
    routing::QueuedRequest request;
    SchedulerPtr scheduler;
    std::optional<Attempt> attempt;
    /// The first token has fixed the version of the model.
    bool version_fixed = false;
  };

  [[nodiscard]] SchedulerPtr SchedulerFor(const routing::Capability& capability);
  [[nodiscard]] SchedulerPtr MakeScheduler() const;
  void ConfigureBackends(const Directory& directory, common::Time now);
  void UpdateLiveness(common::Time now);
  void ApplyLoad(const schema::LoadReport& load, common::Time now);
  /// Adds the classes of tracked requests that a change of the configuration removed.
  void AddRemovedClassesInUse(std::vector<routing::ClassPolicy>& classes) const;
  void ReplaceSchedulers(common::Time now);
  void QueueAgain(TrackedRequest& tracked, std::uint64_t resume_from, common::Time now);
  void TakeFrom(routing::Scheduler& scheduler, common::Time now, DispatchRound& round);

  mutable std::mutex mutex_;
  common::Random random_;
  routing::Placement placement_;
  routing::CustomerLimits limits_{1};
  routing::RetryBudget budget_;
  routing::LengthEstimator lengths_;
  std::vector<routing::ClassPolicy> classes_;
  std::map<std::string, double> weights_;
  std::map<routing::Capability, SchedulerPtr> schedulers_;
  std::map<common::RequestId, TrackedRequest> tracked_;
  BackendLiveness liveness_;
  std::set<std::string> suspected_servers_;
  std::set<std::string> dead_servers_;
  // Requests that were dropped when they were queued again; the next dispatch pass reports them.
  std::vector<routing::DroppedRequest> dropped_;
};

}  // namespace briarwood::entry::impl
