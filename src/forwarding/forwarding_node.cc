#include "briarwood/forwarding/forwarding_node.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "briarwood/distribution/engine_divisions.h"
#include "briarwood/distribution/parent_order.h"
#include "briarwood/distribution/replica.h"
#include "briarwood/distribution/sync_client.h"
#include "briarwood/observability/log_line.h"
#include "briarwood/proposals/background_proposer.h"
#include "briarwood/proposals/usage_reporter.h"
#include "briarwood/rpc/advertised_address.h"
#include "briarwood/rpc/node_options.h"
#include "briarwood/rpc/server.h"
#include "forwarding/impl/forwarder.h"
#include "forwarding/impl/usage_counter.h"

namespace briarwood::forwarding {

using observability::LogLine;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTickInterval{10};
constexpr milliseconds kListPollInterval{250};
/// Delay before the platform's list is read again after a failure.
constexpr milliseconds kListRetryDelay{1000};
constexpr milliseconds kDefaultMaxListAge{2000};
/// A load balancer that checks readiness once a second removes an entry from rotation after two
/// failed checks.
constexpr milliseconds kLeaveRotationDelay{2600};
constexpr milliseconds kDrainPollInterval{20};
constexpr milliseconds kUsageFlushTimeout{800};
/// Time for the kernel to take the responses to the requests that a stop ends.
constexpr milliseconds kResponseFlushTimeout{60};
constexpr milliseconds kResponsePollInterval{2};
/// Evidence is worth little after the requests that come within seconds.
constexpr milliseconds kEvidenceTimeout{800};
constexpr milliseconds kEvidenceCallTimeout{400};
/// Limits the commands of an entry while many attempts fail.
constexpr milliseconds kMinEvidenceInterval{100};
/// Bounds the commands of the fleet that record streams: an entry sends at most one in this time,
/// or in one millisecond for each entry if that is longer. The starts of this time are lost if the
/// entry ends.
constexpr milliseconds kMinStreamBatchInterval{50};
constexpr milliseconds kStreamBatchTimeout{800};
/// The entry counts as connected to the control members if the leader has confirmed the state of
/// the member that responds within this time.
constexpr std::uint64_t kMaxConfirmationAgeMs = 1500;
/// Rounds of calls to control members that take longer are logged.
constexpr milliseconds kSlowSearch{1000};
constexpr unsigned kRpcThreads = 2;
/// Interval between two counts of the streams for the heartbeat.
constexpr milliseconds kStreamCountInterval{250};
/// Descriptors for files, the log, the RPC layer and the listeners.
constexpr std::uint32_t kReservedDescriptors = 400;
constexpr std::uint32_t kDefaultDescriptors = 4000;
/// Share of the descriptors for the connections of callers; the rest is for backend servers.
constexpr double kCallerDescriptorShare = 0.6;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kUnavailable = 503;

std::vector<std::string> ToVector(const google::protobuf::RepeatedPtrField<std::string>& values) {
  return {values.begin(), values.end()};
}

routing::ServiceRetryBudgetOptions RetryBudgetOptions(const schema::ForwardingSettings& settings) {
  routing::ServiceRetryBudgetOptions options;
  if (settings.repeat_ratio() > 0) options.ratio = settings.repeat_ratio();
  if (settings.repeat_burst() > 0) options.burst = settings.repeat_burst();
  if (settings.repeat_window_ms() > 0) options.window = milliseconds(settings.repeat_window_ms());
  return options;
}

}  // namespace

class ForwardingNode::Impl {
 public:
  explicit Impl(ForwardingNodeOptions options)
      : options_(std::move(options)),
        metrics_(observability::MetricsOptions{}),
        tick_timer_(loop_),
        usage_counter_(options_.incarnation,
                       milliseconds(options_.settings.forwarding().usage_window_ms())),
        reporter_({.proposer = {.members = ToVector(options_.settings.control_rpc()),
                                .credential = options_.credential,
                                .ca_file = {}},
                   .reporter = options_.settings.node().id(),
                   .incarnation = options_.incarnation,
                   .period = proposals::UsageReportPeriod(0),
                   .on_committed = {}}),
        evidence_proposer_({.members = ToVector(options_.settings.control_rpc()),
                            .credential = options_.credential,
                            .ca_file = {},
                            .call_timeout = kEvidenceCallTimeout},
                           1),
        stream_proposer_({.members = ToVector(options_.settings.control_rpc()),
                          .credential = options_.credential,
                          .ca_file = {},
                          .call_timeout = kEvidenceCallTimeout},
                         1),
        sync_client_({.parents = distribution::OrderParents(
                          options_.settings.node().id(), ToVector(options_.settings.control_rpc())),
                      .credential = options_.credential,
                      .ca_file = {}},
                     replica_, MakeCallbacks()),
        forwarder_(
            loop_,
            {.failure_domain = common::FailureDomainId(options_.settings.node().failure_domain()),
             .codec = options_.codec,
             .retry_budget = RetryBudgetOptions(options_.settings.forwarding()),
             .second_attempts = {.ratio = options_.settings.forwarding().second_attempt_ratio()},
             .cold_overage = std::max(1.0, options_.settings.forwarding().cold_overage()),
             .cold_slack = options_.settings.forwarding().cold_slack(),
             .seed = options_.seed,
             .on_run_started =
                 [this](const common::CustomerId& customer) {
                   usage_counter_.Count(customer, common::BootClock::now());
                 },
             .request_confirmation = [this] { sync_client_.SyncNow(); }},
            metrics_) {}

  ~Impl() {
    if (control_stop_.joinable()) control_stop_.join();
    StopControl();
    reporter_.Stop();
    if (loop_thread_.joinable()) {
      boost::asio::post(loop_, [this] {
        server_.reset();
        ready_server_.reset();
        loop_.stop();
      });
      loop_thread_.join();
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// \returns an empty string, or a description of the error.
  std::string Start() {
    const schema::EntrySettings& settings = options_.settings;
    metrics_.AddGauge("briarwood_configuration_age_seconds",
                      "Time since the control members confirmed the configuration; -1 before",
                      [this] {
                        const auto confirmed_at = replica_.freshness();
                        if (!confirmed_at) return -1.0;
                        return common::ToSeconds(common::BootClock::now() - *confirmed_at);
                      });
    row_subscription_ = replica_.Subscribe(
        [this](const std::vector<distribution::RowTable::RowKey>& changed) { OnChanged(changed); });
    reporter_.ReportFor({options_.incarnation});
    if (std::string problem = StartHttp(); !problem.empty()) return problem;
    sync_client_.Register(rpc_server_);
    rpc::ServerOptions rpc_options = rpc::MakeServerOptions(settings.node(), options_.credential);
    rpc_options.threads = kRpcThreads;
    const auto rpc_port = rpc_server_.Start(rpc_options);
    if (!rpc_port.ok()) return rpc_port.error();
    rpc_port_ = rpc_port.value();
    ScheduleTick();
    loop_thread_ = std::thread([this] { RunLoop(); });
    if (options_.read_backends) list_thread_ = std::thread([this] { PollBackendList(); });
    sync_client_.Start();
    return {};
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] std::uint16_t ready_port() const noexcept { return ready_port_; }
  [[nodiscard]] bool Ready() const { return ready_; }

  void SetSeeds(const std::vector<std::string>& addresses) {
    const std::lock_guard lock(members_mutex_);
    configured_members_ = addresses;
    UpdateParentsLocked();
  }

  bool Drain(milliseconds limit) {
    const common::Time started = common::BootClock::now();
    const common::Time end = started + limit;
    draining_ = true;
    ready_ = false;
    log_.Info(LogLine("stopping").Add("in_flight", InFlight()).text());
    boost::asio::post(loop_, [this, end] {
      server_->DisableKeepAlive();
      forwarder_.BeginStop(end);
    });
    bool idle = false;
    bool flushed = false;
    while (common::BootClock::now() < end) {
      std::this_thread::sleep_for(kDrainPollInterval);
      if (common::BootClock::now() - started < kLeaveRotationDelay) continue;
      // Counted on the thread that accepts requests, after new ones are rejected, so that a request
      // that arrived just before is included.
      if (RejectNewAndCountOpen() == 0) {
        idle = true;
        break;
      }
      // Streams may use the time until `end`, so what has been counted is handed in beside them.
      if (!flushed && end - common::BootClock::now() < kUsageFlushTimeout) {
        flushed = true;
        // Calls to control members may take as long as their timeouts, which must not delay the end
        // of the process.
        control_stop_ = std::thread([this] { StopControl(); });
        FlushUsage(end);
      }
    }
    const std::size_t cut = idle ? 0 : EndAll();
    FlushUsage(std::max(end, common::BootClock::now() + kDrainPollInterval));
    if (const std::size_t held = reporter_.held(); held > 0) {
      log_.Warn(LogLine("usage_not_flushed").Add("records", held).text());
    }
    // "idle" is false if `limit` elapsed before all requests and connections had ended; "in_flight"
    // counts the requests that were ended then.
    log_.Info(LogLine("drained").Add("idle", idle).Add("in_flight", cut).text());
    return idle;
  }

 private:
  /// Ends all exchange with the control members except usage reports.
  void StopControl() {
    {
      const std::lock_guard lock(stop_mutex_);
      stopping_ = true;
    }
    stop_changed_.notify_all();
    sync_client_.Stop();
    rpc_server_.Stop();
    row_subscription_ = {};
    if (list_thread_.joinable()) list_thread_.join();
    evidence_proposer_.Stop();
    stream_proposer_.Stop();
  }

  void RunLoop() {
    const auto work = boost::asio::make_work_guard(loop_);
    loop_.run();
  }

  std::string StartHttp() {
    const schema::EntrySettings& settings = options_.settings;
    const std::uint32_t descriptors = settings.forwarding().max_descriptors() == 0
                                          ? kDefaultDescriptors
                                          : settings.forwarding().max_descriptors();
    const std::uint32_t usable = descriptors - std::min(descriptors / 2, kReservedDescriptors);
    auto server = http::IncomingServer::Start(
        loop_,
        {.listen = settings.listen(),
         .limits = [this] { return limits_; },
         .max_connections = static_cast<std::size_t>(usable * kCallerDescriptorShare)},
        [this](std::shared_ptr<http::IncomingRequest> request) {
          forwarder_.Handle(std::move(request));
        });
    if (!server.ok()) return server.error();
    server_ = std::move(server).value();
    port_ = server_->port();
    if (settings.forwarding().ready_listen().empty()) return {};
    auto ready = http::IncomingServer::Start(
        loop_, {.listen = settings.forwarding().ready_listen()},
        [this](const std::shared_ptr<http::IncomingRequest>& request) { HandleStatus(*request); });
    if (!ready.ok()) return ready.error();
    ready_server_ = std::move(ready).value();
    ready_port_ = ready_server_->port();
    return {};
  }

  void HandleStatus(http::IncomingRequest& request) {
    const std::string_view path = request.head().path();
    http::ResponseHead head;
    std::string body;
    if (path == options_.codec.ready_path) {
      head.status = ready_ ? kOk : kUnavailable;
    } else if (path == "/metrics") {
      head.status = kOk;
      head.headers.Add("Content-Type", "text/plain; version=0.0.4");
      body = metrics_.Render();
    } else {
      head.status = kNotFound;
    }
    request.Respond(head, body);
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      OnTick(common::BootClock::now());
      ScheduleTick();
    });
  }

  void OnTick(common::Time now) {
    forwarder_.Tick(now);
    in_flight_ = forwarder_.in_flight();
    UpdateReady();
    ReportEvidence(now);
    RequestTrial(now);
    SendStreamBatch(now);
    CountStreams(now);
    if (now - last_usage_transfer_at_ < usage_report_period_) return;
    last_usage_transfer_at_ = now;
    TransferUsage();
  }

  void CountStreams(common::Time now) {
    if (now - streams_counted_at_ < kStreamCountInterval) return;
    streams_counted_at_ = now;
    auto streams = forwarder_.Streams(now);
    const std::lock_guard lock(streams_mutex_);
    streams_ = std::move(streams);
  }

  void UpdateReady() {
    const bool ready = !draining_ && forwarder_.has_configuration() && forwarder_.has_backends();
    if (ready_.exchange(ready) == ready) return;
    log_.Info(LogLine(ready ? "ready" : "not_ready")
                  .Add("draining", draining_.load())
                  .Add("configuration", forwarder_.has_configuration())
                  .Add("backends", forwarder_.has_backends())
                  .text());
  }

  void TransferUsage() {
    for (const schema::BillingRecord& record : usage_counter_.TakeRecords()) reporter_.Hold(record);
  }

  /// Accepts no further connections and requests, as one that is accepted late may not end before
  /// the process is stopped.
  ///
  /// \returns the number of requests and connections that are still open.
  std::size_t RejectNewAndCountOpen() {
    std::promise<std::size_t> open;
    boost::asio::post(loop_, [&] {
      server_->StopAccepting();
      forwarder_.RejectNew();
      server_->CloseIdle();
      open.set_value(forwarder_.in_flight() + server_->connections());
    });
    return open.get_future().get();
  }

  /// Moves the counts of the loop's thread to the usage reporter, and waits until they are
  /// committed or `end` has passed.
  void FlushUsage(common::Time end) {
    CallOnLoop([this] { TransferUsage(); });
    const auto left = std::chrono::duration_cast<milliseconds>(end - common::BootClock::now());
    static_cast<void>(reporter_.Flush(std::clamp(left, kDrainPollInterval, kUsageFlushTimeout)));
  }

  /// Ends the open requests and waits until their callers have been sent the responses.
  /// \returns their number.
  std::size_t EndAll() {
    std::size_t open = 0;
    CallOnLoop([&] {
      open = forwarder_.in_flight();
      forwarder_.EndAll();
    });
    const common::Time end = common::BootClock::now() + kResponseFlushTimeout;
    std::size_t unsent = 1;
    while (unsent > 0 && common::BootClock::now() < end) {
      CallOnLoop([&] { unsent = server_->in_flight(); });
      if (unsent > 0) std::this_thread::sleep_for(kResponsePollInterval);
    }
    return open;
  }

  /// Runs `task` on the thread of the loop and waits for its end.
  template <typename Task>
  void CallOnLoop(Task task) {
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  [[nodiscard]] std::size_t InFlight() const noexcept { return in_flight_; }

  void ReportEvidence(common::Time now) {
    if (evidence_in_flight_ || now - last_evidence_at_ < kMinEvidenceInterval) return;
    auto evidence = forwarder_.crash_guard().TakeReport(now);
    if (!evidence) return;
    evidence_in_flight_ = true;
    last_evidence_at_ = now;
    evidence->set_now_unix_ms(proposals::WallClockMillis());
    schema::Command command;
    *command.mutable_record_crash_evidence() = *evidence;
    evidence_proposer_.Propose(
        std::move(command), now + kEvidenceTimeout,
        [this, evidence = *evidence](const schema::ProposeResponse& response) {
          const bool applied = response.status() == schema::ProposeResponse::STATUS_APPLIED;
          boost::asio::post(loop_, [this, evidence, applied] {
            evidence_in_flight_ = false;
            if (!applied) forwarder_.crash_guard().PutBack(evidence, common::BootClock::now());
          });
        });
  }

  void SendStreamBatch(common::Time now) {
    if (stream_batch_in_flight_ || now - last_stream_batch_at_ < stream_batch_interval_) return;
    const auto batch = forwarder_.stream_versions().TakeBatch();
    if (!batch) return;
    stream_batch_in_flight_ = true;
    last_stream_batch_at_ = now;
    schema::Command command;
    *command.mutable_record_streams() = *batch;
    command.mutable_record_streams()->set_now_unix_ms(proposals::WallClockMillis());
    stream_proposer_.Propose(std::move(command), now + kStreamBatchTimeout,
                             [this, batch = *batch](const schema::ProposeResponse& response) {
                               boost::asio::post(loop_, [this, batch, response] {
                                 stream_batch_in_flight_ = false;
                                 if (response.status() == schema::ProposeResponse::STATUS_APPLIED) {
                                   forwarder_.OnStreamBatchApplied(response.result());
                                 } else {
                                   forwarder_.stream_versions().OnBatchFailed(batch);
                                 }
                               });
                             });
  }

  void RequestTrial(common::Time now) {
    if (trial_in_flight_) return;
    const std::vector<std::string> properties = forwarder_.crash_guard().TakeWantedTrial();
    if (properties.empty()) return;
    trial_in_flight_ = true;
    schema::Command command;
    schema::BeginPropertyTrial& trial = *command.mutable_begin_property_trial();
    trial.mutable_properties()->Add(properties.begin(), properties.end());
    trial.set_entry_incarnation(options_.incarnation.value());
    trial.set_sequence(++trial_sequence_);
    trial.set_now_unix_ms(proposals::WallClockMillis());
    evidence_proposer_.Propose(
        std::move(command), now + kEvidenceTimeout,
        [this, properties](const schema::ProposeResponse& response) {
          const bool granted = response.status() == schema::ProposeResponse::STATUS_APPLIED &&
                               response.result().code() == schema::RESULT_CODE_OK;
          boost::asio::post(loop_, [this, properties, granted] {
            trial_in_flight_ = false;
            if (granted) {
              forwarder_.crash_guard().OnTrialGranted(properties, common::BootClock::now());
            }
          });
        });
  }

  void OnChanged(const std::vector<distribution::RowTable::RowKey>& changed) {
    if (!replica_.freshness()) return;
    const auto is_outside_configuration = [](const distribution::RowTable::RowKey& key) {
      return key.first == schema::ROW_KIND_CRASH_EVIDENCE ||
             key.first == schema::ROW_KIND_DRAINING_DOMAIN;
    };
    if (has_table_ && std::all_of(changed.begin(), changed.end(), is_outside_configuration)) {
      ApplyCrashEvidence();
      ApplyDrainingDomains();
    } else {
      OnRows();
    }
  }

  void ApplyCrashEvidence() {
    boost::asio::post(
        loop_, [this, rows = replica_.CrashEvidence()] { forwarder_.SetCrashEvidence(rows); });
  }

  void ApplyDrainingDomains() {
    boost::asio::post(loop_, [this, domains = replica_.DrainingDomains()] {
      forwarder_.SetDrainingDomains(domains);
    });
  }

  /// Runs on the thread that applies sync responses. No response is applied meanwhile, so all rows
  /// that are read from the replica belong to its current log index. A process that has just
  /// started uses no state until a majority has confirmed it, because a member that has also just
  /// started may provide outdated state.
  void OnRows() {
    if (!replica_.freshness()) return;
    has_table_ = true;
    ApplyCrashEvidence();
    ApplyDrainingDomains();
    auto table = std::make_shared<const routing::ForwardTable>(
        routing::ForwardConfiguration{.routes = replica_.ForwardRoutes(),
                                      .services = replica_.Services(),
                                      .customers = replica_.Customers(),
                                      .limits = replica_.CallerLimits()});
    const common::LogIndex index = replica_.index();
    boost::asio::post(loop_, [this, table = std::move(table), index] {
      limits_ = LimitsOf(table->limits());
      forwarder_.SetTable(table, index);
    });
  }

  static http::IncomingLimits LimitsOf(const schema::CallerLimits& settings) {
    http::IncomingLimits limits;
    if (settings.max_header_bytes() != 0) limits.max_header_bytes = settings.max_header_bytes();
    if (settings.max_body_bytes() != 0) limits.max_body_bytes = settings.max_body_bytes();
    if (settings.header_timeout_ms() != 0) {
      limits.header_timeout = milliseconds(settings.header_timeout_ms());
    }
    if (settings.idle_timeout_ms() != 0) {
      limits.idle_timeout = milliseconds(settings.idle_timeout_ms());
    }
    return limits;
  }

  [[nodiscard]] distribution::SyncClientCallbacks MakeCallbacks() {
    return {
        .fill = [this](schema::SyncRequest& request) { FillSyncRequest(request); },
        .on_response = [this](const schema::SyncResponse& response, common::Time sent_at,
                              const std::string& parent) { OnResponse(response, sent_at, parent); },
        .on_failure = [this](const std::string& parent,
                             const std::string& problem) { OnSyncFailure(parent, problem); },
        .on_round = [this](const distribution::SyncRound& round) { OnSyncRound(round); }};
  }

  void FillSyncRequest(schema::SyncRequest& request) {
    const schema::NodeSettings& settings = options_.settings.node();
    schema::NodeIdentity& node = *request.mutable_node();
    node.set_id(settings.id());
    node.set_role(schema::NODE_ROLE_ENTRY);
    node.set_incarnation(options_.incarnation.value());
    node.set_failure_domain(settings.failure_domain());
    node.set_rpc_address(rpc::AdvertisedAddress(settings, rpc_port_));
    request.set_ready(ready_);
    schema::Heartbeat& own = *request.add_heartbeats();
    *own.mutable_node() = node;
    own.set_index(replica_.index().value());
    own.set_ready(ready_);
    {
      const std::lock_guard lock(streams_mutex_);
      distribution::AddStreams(streams_, own);
    }
    request.set_wall_unix_ms(proposals::WallClockMillis());
    const common::Time now = common::BootClock::now();
    const std::lock_guard lock(list_mutex_);
    const auto age = list_read_at_ ? std::chrono::duration_cast<milliseconds>(now - *list_read_at_)
                                   : milliseconds(std::chrono::hours(1));
    request.set_backends_age_ms_plus_one(static_cast<std::uint64_t>(age.count()) + 1);
    request.set_backends_digest(list_digest_);
  }

  void OnResponse(const schema::SyncResponse& response, common::Time sent_at,
                  const std::string& parent) {
    const common::Time now = common::BootClock::now();
    if (!has_table_) OnRows();
    // A member that is disconnected from its leader still responds, but the leader last confirmed
    // its state some time ago. "control_lost" and "control_regained" log the end and the return of
    // the connection to the control members.
    const bool fresh = response.confirmed() && response.freshness_age_ms() <= kMaxConfirmationAgeMs;
    if (fresh) {
      boost::asio::post(loop_, [this, now] { forwarder_.crash_guard().OnControlContact(now); });
    }
    PostControlView(parent);
    if (fresh && control_disconnected_.exchange(false)) {
      log_.Info(LogLine("control_regained").Add("parent", parent).text());
    }
    if (response.agreed_unix_ms() != 0) {
      const common::Time agreed_at = sent_at + (now - sent_at) / 2;
      boost::asio::post(loop_, [this, agreed_at, agreed = response.agreed_unix_ms()] {
        const common::UnixMillis time(static_cast<std::int64_t>(agreed));
        usage_counter_.SetAgreedTime(time, agreed_at);
        forwarder_.crash_guard().SetAgreedTime(time, agreed_at);
        forwarder_.SetAgreedTime(time, agreed_at);
      });
    }
    if (response.entry_count() != 0) {
      const milliseconds period = proposals::UsageReportPeriod(response.entry_count());
      reporter_.SetPeriod(period);
      std::optional<std::uint32_t> index;
      if (response.entry_index_plus_one() != 0) index = response.entry_index_plus_one() - 1;
      boost::asio::post(loop_, [this, now, period, index, entries = response.entry_count()] {
        usage_report_period_ = period;
        stream_batch_interval_ = std::max(kMinStreamBatchInterval, milliseconds(entries));
        forwarder_.SetEntries(entries, index, now);
      });
    }
    if (response.divisions_known()) {
      boost::asio::post(loop_,
                        [this, divisions = distribution::ReadDivisions(response.divisions())] {
                          forwarder_.SetDivisions(divisions);
                        });
    }
    if (response.has_backends()) {
      ApplyList(response.backends(), sent_at - milliseconds(response.backends().age_ms()),
                "control");
    }
    if (response.control_rpc_size() == 0) return;
    const std::lock_guard lock(members_mutex_);
    reported_members_ = ToVector(response.control_rpc());
    UpdateParentsLocked();
  }

  void PostControlView(const std::string& parent) {
    std::string versions;
    for (const auto& [document, version] : replica_.document_versions()) {
      if (!versions.empty()) versions += ',';
      versions.append(document).append(":").append(std::to_string(version));
    }
    boost::asio::post(loop_,
                      [this, view = impl::ControlView{.confirmed_at = replica_.freshness(),
                                                      .parent = parent,
                                                      .versions = std::move(versions)}]() mutable {
                        forwarder_.SetControlView(std::move(view));
                      });
  }

  /// Logs a search that changed the parent, took long or found none.
  void OnSyncRound(const distribution::SyncRound& round) {
    const std::string previous = std::exchange(last_parent_, round.parent);
    if (previous == round.parent && round.duration < kSlowSearch) return;
    log_.Info(LogLine("control_search")
                  .Add("parent", round.parent)
                  .Add("before", previous)
                  .Add("calls", round.calls)
                  .Add("ms", std::chrono::duration_cast<milliseconds>(round.duration).count())
                  .text());
  }

  void OnSyncFailure(const std::string& parent, const std::string& problem) {
    if (control_disconnected_.exchange(true)) return;
    log_.Warn(LogLine("control_lost").Add("parent", parent).Add("problem", problem).text());
  }

  /// Sets the control members to sync with (parents). Addresses that a member reported come first,
  /// as those in the settings may be out of date.
  void UpdateParentsLocked() {
    const std::string& entry = options_.settings.node().id();
    std::vector<std::string> parents = distribution::OrderParents(entry, reported_members_);
    for (const std::string& address : distribution::OrderParents(entry, configured_members_)) {
      if (std::find(parents.begin(), parents.end(), address) == parents.end()) {
        parents.push_back(address);
      }
    }
    if (parents.empty()) return;
    sync_client_.SetParents(parents);
    reporter_.SetMembers(parents);
    evidence_proposer_.SetMembers(parents);
    stream_proposer_.SetMembers(parents);
  }

  void ApplyList(const schema::BackendList& list, common::Time read_at, std::string_view source) {
    bool source_changed = false;
    bool unchanged = false;
    {
      const std::lock_guard lock(list_mutex_);
      if (list_read_at_ && read_at <= *list_read_at_) return;
      list_read_at_ = read_at;
      unchanged = list.unchanged() || list.digest() == list_digest_;
      list_digest_ = list.digest();
      source_changed = std::exchange(list_source_, source) != source;
    }
    if (source_changed) {
      log_.Info(LogLine("backend_list_source")
                    .Add("source", source)
                    .Add("backends", list.backends_size())
                    .text());
    }
    boost::asio::post(loop_, [this, list, read_at, unchanged] {
      unchanged ? forwarder_.ConfirmBackends(read_at) : forwarder_.SetBackends(list, read_at);
    });
  }

  [[nodiscard]] bool ListIsStale(common::Time now) {
    const std::uint64_t configured = options_.settings.forwarding().list_stale_ms();
    const milliseconds max_age = configured == 0 ? kDefaultMaxListAge : milliseconds(configured);
    const std::lock_guard lock(list_mutex_);
    return !list_read_at_ || now - *list_read_at_ >= max_age;
  }

  void PollBackendList() {
    milliseconds delay{0};
    while (!WaitForStop(delay)) {
      delay = kListPollInterval;
      const common::Time requested_at = common::BootClock::now();
      if (!ListIsStale(requested_at)) continue;
      const auto list = options_.read_backends();
      if (list.ok()) {
        ApplyList(list.value(), requested_at, "platform");
      } else {
        log_.Warn(LogLine("backend_list_failed").Add("problem", list.error()).text());
        delay = kListRetryDelay;
      }
    }
  }

  /// \returns true if the entry is stopping.
  bool WaitForStop(milliseconds period) {
    std::unique_lock lock(stop_mutex_);
    return stop_changed_.wait_for(lock, period, [this] { return stopping_; });
  }

  ForwardingNodeOptions options_;
  observability::Logger log_{"entry"};
  observability::Metrics metrics_;
  http::EventLoop loop_{1};
  http::Timer tick_timer_;
  impl::UsageCounter usage_counter_;
  proposals::UsageReporter reporter_;
  /// Reports evidence against properties of requests and requests trials.
  proposals::BackgroundProposer evidence_proposer_;
  /// Records the starts of streams and asks about those of other entries.
  proposals::BackgroundProposer stream_proposer_;
  distribution::Replica replica_;
  distribution::SyncClient sync_client_;
  rpc::Server rpc_server_;
  impl::Forwarder forwarder_;
  std::unique_ptr<http::IncomingServer> server_;
  std::unique_ptr<http::IncomingServer> ready_server_;
  http::IncomingLimits limits_;
  std::uint16_t port_ = 0;
  std::uint16_t ready_port_ = 0;
  std::uint16_t rpc_port_ = 0;
  milliseconds usage_report_period_ = proposals::UsageReportPeriod(0);
  /// Time of the last transfer of counts to the usage reporter.
  common::Time last_usage_transfer_at_;
  bool evidence_in_flight_ = false;
  common::Time last_evidence_at_;
  bool trial_in_flight_ = false;
  bool stream_batch_in_flight_ = false;
  common::Time last_stream_batch_at_;
  milliseconds stream_batch_interval_ = kMinStreamBatchInterval;
  std::uint64_t trial_sequence_ = 0;
  /// Used on the thread that applies sync responses.
  bool has_table_ = false;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> control_disconnected_ = false;
  /// Parent of the last round; used on the thread of the sync client.
  std::string last_parent_;
  std::atomic<std::size_t> in_flight_ = 0;
  std::mutex members_mutex_;
  std::vector<std::string> configured_members_ = ToVector(options_.settings.control_rpc());
  std::vector<std::string> reported_members_;
  common::Time streams_counted_at_;
  std::mutex streams_mutex_;
  /// Streams of this entry at the last count.
  std::map<std::string, routing::ServiceStreams> streams_;
  std::mutex list_mutex_;
  std::optional<common::Time> list_read_at_;
  std::uint64_t list_digest_ = 0;
  std::string list_source_;
  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;
  distribution::Replica::Subscription row_subscription_;
  std::thread loop_thread_;
  std::thread list_thread_;
  /// Runs StopControl beside the last requests of a planned stop.
  std::thread control_stop_;
};

ForwardingNode::ForwardingNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

ForwardingNode::~ForwardingNode() = default;

common::Result<std::unique_ptr<ForwardingNode>> ForwardingNode::Start(
    ForwardingNodeOptions options) {
  using StartResult = common::Result<std::unique_ptr<ForwardingNode>>;
  auto impl = std::make_unique<Impl>(std::move(options));
  if (std::string problem = impl->Start(); !problem.empty()) {
    return StartResult::Failure(std::move(problem));
  }
  return StartResult::Success(std::unique_ptr<ForwardingNode>(new ForwardingNode(std::move(impl))));
}

std::uint16_t ForwardingNode::port() const noexcept { return impl_->port(); }

std::uint16_t ForwardingNode::ready_port() const noexcept { return impl_->ready_port(); }

bool ForwardingNode::Ready() const { return impl_->Ready(); }

void ForwardingNode::SetSeeds(const std::vector<std::string>& control_rpc) {
  impl_->SetSeeds(control_rpc);
}

bool ForwardingNode::Drain(milliseconds limit) { return impl_->Drain(limit); }

}  // namespace briarwood::forwarding
