#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/random.h"
#include "briarwood/forwarding/wire_codec.h"
#include "briarwood/http/incoming.h"
#include "briarwood/observability/log.h"
#include "briarwood/observability/metrics.h"
#include "briarwood/routing/crash_guard.h"
#include "briarwood/routing/crash_properties.h"
#include "briarwood/routing/dispatch.h"
#include "briarwood/routing/division_planner.h"
#include "briarwood/routing/forward_table.h"
#include "briarwood/routing/gap_class_counter.h"
#include "briarwood/routing/placement.h"
#include "briarwood/routing/prompt_limiter.h"
#include "briarwood/routing/response_time_estimator.h"
#include "briarwood/routing/scheduler.h"
#include "briarwood/routing/second_attempt_policy.h"
#include "briarwood/routing/service_retry_budget.h"
#include "briarwood/routing/stream_versions.h"
#include "fleet.pb.h"
#include "forwarding/impl/connection_pool.h"

namespace briarwood::forwarding::impl {

class Exchange;

struct ForwarderOptions {
  common::FailureDomainId failure_domain;
  WireCodec codec;
  routing::ServiceRetryBudgetOptions retry_budget;
  routing::SecondAttemptOptions second_attempts;
  /// Factor and number of requests by which all entries together may exceed the rate of a cold
  /// server within one second.
  double cold_overage = 1;
  double cold_slack = 0;
  std::uint64_t seed = 1;
  /// Called when a backend server has begun to run a request.
  std::function<void(const common::CustomerId& customer)> on_run_started;
  /// Called when a request waits for a configuration that was confirmed since its arrival.
  std::function<void()> request_confirmation;
};

/// What the entry knows of the state of the control members.
struct ControlView {
  /// Time up to which the table holds everything that was committed.
  std::optional<common::Time> confirmed_at;
  /// Member that last confirmed it.
  std::string parent;
  /// Versions of the documents in the table, as "name:version" joined by commas.
  std::string versions;
};

/// State that the requests of one entry share: configuration, backend servers, queues, connections
/// and budgets. Belongs to the thread of the event loop.
class Forwarder {
 public:
  Forwarder(http::EventLoop& loop, ForwarderOptions options, observability::Metrics& metrics);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void SetTable(std::shared_ptr<const routing::ForwardTable> table, common::LogIndex index);
  /// Sets what is known of the control members; called after SetTable if the table has changed.
  void SetControlView(ControlView view);
  /// \param read_at  time at which the list was read from the platform
  void SetBackends(const schema::BackendList& list, common::Time read_at);
  /// Records that the list was read again and has not changed, apart from the lengths of warm-ups.
  void ConfirmBackends(common::Time read_at);
  /// \param index  position of this entry among the entries, if it is known
  void SetEntries(std::uint32_t entries, std::optional<std::uint32_t> index, common::Time now);
  /// Sets the time that the entries agree on.
  /// \param at  time of this entry's clock to which it belongs
  void SetAgreedTime(common::UnixMillis agreed, common::Time at);

  /// Replaces the failure domains whose backend servers receive no further requests. Requests that
  /// run there continue.
  void SetDrainingDomains(const std::set<common::FailureDomainId>& domains);

  /// Replaces the divisions of the engines of services, as the leader decided them.
  void SetDivisions(const std::map<std::string, routing::EngineDivision>& divisions);
  /// \returns the streams of this entry by service, for the leader.
  [[nodiscard]] std::map<std::string, routing::ServiceStreams> Streams(common::Time now);

  /// Replaces the fleet's evidence against properties of requests.
  void SetCrashEvidence(const std::vector<schema::CrashEvidence>& rows);
  [[nodiscard]] routing::CrashGuard& crash_guard() noexcept { return crash_guard_; }

  [[nodiscard]] routing::StreamVersions& stream_versions() noexcept { return stream_versions_; }
  /// Passes the answers of the control members on to the requests that wait for them.
  void OnStreamBatchApplied(const schema::CommandResult& result);

  /// From now on, rejects new requests before any backend server receives them. Requests in
  /// progress continue.
  void RejectNew() noexcept { rejecting_new_ = true; }

  void Handle(std::shared_ptr<http::IncomingRequest> request);
  /// Ends requests that have run out of time and dispatches queued ones; call it about every 10 ms.
  void Tick(common::Time now);

  /// From now on, takes only requests that will probably end before `end`, and rejects those in the
  /// queue that will not.
  void BeginStop(common::Time end) noexcept { stop_end_ = end; }
  /// Ends the requests that are still open when the process stops.
  void EndAll();

  [[nodiscard]] std::size_t in_flight() const noexcept { return exchanges_.size(); }
  [[nodiscard]] bool has_configuration() const noexcept { return table_ && table_->known(); }
  [[nodiscard]] bool has_backends() const noexcept { return list_read_at_.has_value(); }

 private:
  friend class Exchange;

  /// True if one more request may be held until a configuration is active or confirmed.
  [[nodiscard]] bool MayHold() const noexcept;
  /// True if the table holds everything that was committed up to this time.
  [[nodiscard]] bool ConfigurationIsFrom(common::Time time) const noexcept {
    return control_view_.confirmed_at && *control_view_.confirmed_at >= time;
  }
  /// Requests a confirmation for the requests that wait for one, unless one was requested recently.
  void RequestConfirmation(common::Time now);
  /// Lets the requests that wait for a confirmation look again at the configuration.
  void ReviewUnconfirmed();
  /// True if the list of backend servers was read from the platform at this time or later.
  [[nodiscard]] bool ListIsFrom(common::Time time) const noexcept {
    return list_read_at_ && *list_read_at_ >= time;
  }
  /// Prompt limit of one side of the engines of a service.
  struct PromptState {
    routing::PromptLimiter limiter{routing::PromptLimiterOptions()};
    /// Limit in the last log line about it.
    double logged_limit = routing::PromptLimiterOptions().initial_limit;
  };
  /// Queue, prompt limits and streams of one service.
  struct ServiceState {
    routing::Scheduler scheduler;
    std::array<PromptState, routing::kEngineSides> prompts;
    routing::GapClassCounter gap_classes;
    /// Requests that are queued or running, by their id in the scheduler.
    std::map<common::RequestId, Exchange*> exchanges;
    /// Requests that have begun to wait for memory of an engine since the last log line about it.
    std::uint32_t memory_waits = 0;
    common::Time memory_waits_logged_at;

    [[nodiscard]] routing::PromptLimiter& PromptsOf(routing::EngineSide side) {
      return prompts[static_cast<std::size_t>(side)].limiter;
    }
  };

  struct ListedServer {
    std::string service;
    std::string lifetime;
    std::string software_version;
    common::FailureDomainId failure_domain;
    bool leaving = false;
    bool cold = false;
  };

  /// \returns the open requests, which may end while the caller iterates over them.
  [[nodiscard]] std::vector<std::shared_ptr<Exchange>> OpenExchanges() const;
  ServiceState& StateOf(const std::string& service);
  /// \returns the time for which a new request of this tier would wait because all servers of the
  ///   service limit their requests or want none; 0 if one of them does not.
  [[nodiscard]] common::Duration ExpectedWait(const std::string& service, const common::Tier& tier,
                                              common::Time now);
  /// \returns the delay after which a rejected caller of this tier may find a server.
  [[nodiscard]] std::chrono::milliseconds RetryDelay(const std::string& service,
                                                     const common::Tier& tier, common::Time now);
  /// Queues a request; the exchange is called back when it is placed or dropped.
  void Enqueue(const std::string& service, const routing::ClassPolicy& policy,
               routing::QueuedRequest request, Exchange& exchange);
  /// Dispatches the queued requests of a service for which a backend server is available.
  void DispatchQueued(const std::string& service);
  void HandleDropped(ServiceState& state, const std::vector<routing::DroppedRequest>& dropped);
  /// \returns the number of connections that this entry may open to each backend server of the
  /// service; 0 means no limit.
  [[nodiscard]] std::uint32_t MaxConnections(const std::string& service) const;
  void ApplyBackends();
  void ApplyWarmUps();
  [[nodiscard]] std::map<std::string, routing::ColdLimit> ColdLimits() const;
  [[nodiscard]] std::uint32_t CountServers(const std::string& service) const;
  /// \returns a name of the process that runs as this backend server, which differs between two
  ///   processes with the same id as far as the list shows it.
  [[nodiscard]] std::string LifetimeOf(const common::BackendServerId& id) const;
  /// \returns the software version of a backend server; empty if the list states none.
  [[nodiscard]] std::string VersionOf(const common::BackendServerId& id) const;
  /// \returns the software versions of the listed servers of a service.
  [[nodiscard]] std::set<std::string> VersionsOf(const std::string& service) const;
  [[nodiscard]] common::FailureDomainId DomainOf(const common::BackendServerId& id) const;

  // Signs that a service is at its limit, see service_load.cc.

  void OnLoadSign(const std::string& service, routing::LoadSign sign, common::Time now);
  /// Looks for signs in the queues, and lets second attempts begin again without them.
  void CheckLoad(common::Time now);

  /// Tells the guard which server processes have ended without having been announced as leaving.
  void RecordEndedServers(const std::map<common::BackendServerId, ListedServer>& listed);
  void LogMemoryWaits(const std::string& service, ServiceState& state, common::Time now);
  void LogPromptLimit(const std::string& service, ServiceState& state, routing::EngineSide side);
  /// \returns what this entry knows of the engines of a service.
  [[nodiscard]] routing::ServiceStreams DescribeEngines(const std::string& service) const;

  http::EventLoop& loop_;
  ForwarderOptions options_;
  observability::Metrics& metrics_;
  observability::Logger log_{"entry"};
  common::Random random_;
  std::shared_ptr<const routing::ForwardTable> table_;
  common::LogIndex table_index_;
  ControlView control_view_;
  schema::BackendList backends_;
  std::optional<common::Time> list_read_at_;
  /// Backend servers in the list.
  std::map<common::BackendServerId, ListedServer> servers_;
  std::uint32_t entries_ = 0;
  /// Place among the highest recent number of entries, among which limits of servers are split.
  routing::FleetPosition position_;
  common::Time peak_entries_at_;
  routing::Placement placement_;
  std::map<std::string, routing::EngineDivision> divisions_;
  std::set<common::FailureDomainId> draining_domains_;
  routing::ServiceRetryBudget retry_budget_;
  routing::SecondAttemptPolicy second_attempts_;
  routing::CrashGuard crash_guard_;
  /// Held properties in the last rows of the control members.
  std::set<std::string> held_properties_;
  routing::StreamVersions stream_versions_;
  ConnectionPool pool_;
  std::map<std::string, ServiceState> services_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges_;
  std::uint64_t next_exchange_ = 1;
  bool rejecting_new_ = false;
  /// Time at which a planned stop ends the open requests.
  std::optional<common::Time> stop_end_;
  routing::ResponseTimeEstimator response_times_;
  /// Bytes of responses that are buffered until they are complete.
  std::shared_ptr<std::size_t> buffered_body_bytes_ = std::make_shared<std::size_t>(0);
  /// Numbers of the requests that are held until the first configuration is active.
  std::set<std::uint64_t> held_;
  /// Numbers of the requests that the table refuses and that wait until it is confirmed.
  std::set<std::uint64_t> unconfirmed_;
  common::Time confirmation_requested_at_;
};

}  // namespace briarwood::forwarding::impl
