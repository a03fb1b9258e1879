#include "briarwood/entry/entry_node.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "briarwood/common/timer_service.h"
#include "briarwood/distribution/sync_client.h"
#include "briarwood/distribution/sync_server.h"
#include "briarwood/observability/status_server.h"
#include "briarwood/proposals/usage_reporter.h"
#include "briarwood/rpc/advertised_address.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/error.h"
#include "briarwood/rpc/node_options.h"
#include "briarwood/rpc/server.h"
#include "entry/impl/agent_heartbeats.h"
#include "entry/impl/entry_core.h"

namespace briarwood::entry {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kDefaultMaxKeyAge{5000};
// Bounds the concurrent proposals of claims and trials; each waits for a commit of the control
// members.
constexpr unsigned kProposerThreads = 16;
constexpr unsigned kRpcThreads = 8;
constexpr std::chrono::milliseconds kDrainPollInterval{10};
// Time after its deadline in which a request ends and, for a call, its outcome is committed.
constexpr std::chrono::seconds kDeadlineGracePeriod{3};
constexpr std::chrono::milliseconds kDeliveryTimeout{5000};
constexpr std::chrono::seconds kUsageFlushTimeout{5};
constexpr std::chrono::milliseconds kAcknowledgeTimeout{300};

std::vector<std::string> ToVector(const google::protobuf::RepeatedPtrField<std::string>& values) {
  return {values.begin(), values.end()};
}

common::Duration MaxKeyAge(const schema::EntrySettings& settings) {
  if (settings.key_freshness_ms() == 0) return kDefaultMaxKeyAge;
  return std::chrono::milliseconds(settings.key_freshness_ms());
}

}  // namespace

class EntryNode::Impl {
 public:
  explicit Impl(EntryOptions options)
      : options_(std::move(options)),
        metrics_(std::make_shared<observability::Metrics>(observability::MetricsOptions{})),
        replica_(std::make_shared<distribution::Replica>()),
        dispatcher_(std::make_shared<impl::Dispatcher>(
            common::FailureDomainId(options_.settings.node().failure_domain()), options_.seed)),
        proposer_(std::make_shared<proposals::BackgroundProposer>(
            proposals::ProposerOptions{.members = ToVector(options_.settings.control_rpc()),
                                       .credential = options_.credential,
                                       .ca_file = CaFile()},
            kProposerThreads)),
        usage_(std::make_shared<proposals::UsageReporter>(proposals::UsageReporterOptions{
            .proposer = {.members = ToVector(options_.settings.control_rpc()),
                         .credential = options_.credential,
                         .ca_file = CaFile()},
            .reporter = options_.settings.node().id(),
            .incarnation = options_.incarnation,
            .on_committed = [this](common::Incarnation,
                                   std::uint64_t below) { AcknowledgeAgents(below); }})),
        core_(impl::EntryCore::Create(
            {.incarnation = options_.incarnation,
             .max_key_age = MaxKeyAge(options_.settings),
             .replica = replica_,
             .dispatcher = dispatcher_,
             .agents = std::make_shared<impl::AgentPool>(options_.credential, CaFile()),
             .proposer = proposer_,
             .metrics = metrics_,
             .usage = usage_,
             .request_confirmation = [this] { sync_client_.SyncNow(); }})),
        sync_client_({.parents = ToVector(options_.settings.control_rpc()),
                      .credential = options_.credential,
                      .ca_file = CaFile()},
                     *replica_, MakeCallbacks()),
        sync_server_({.credential = options_.credential, .ca_file = CaFile()}, MakeSource()) {}

  ~Impl() {
    sync_client_.Stop();
    rpc_server_.Stop();
    tick_ = {};
    rows_ = {};
    usage_->Stop();
    core_->Stop();
    proposer_->Stop();
    status_server_.reset();
    if (http_server_) http_server_->Close();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// \returns an empty string, or an error that describes what could not be started.
  std::string Start() {
    rows_ = replica_->Subscribe([this](const std::vector<distribution::RowTable::RowKey>& changed) {
      core_->OnRows(changed);
      sync_server_.Notify(replica_->index());
    });
    usage_->ReportFor({options_.incarnation});
    AddGauges();
    sync_client_.Register(rpc_server_);
    sync_server_.Register(rpc_server_);
    rpc::ServerOptions rpc_options =
        rpc::MakeServerOptions(options_.settings.node(), options_.credential);
    rpc_options.threads = kRpcThreads;
    const auto rpc_port = rpc_server_.Start(rpc_options);
    if (!rpc_port.ok()) return rpc_port.error();
    rpc_port_ = rpc_port.value();
    if (std::string problem = StartHttpServer(); !problem.empty()) return problem;
    tick_ = timer_.Subscribe(kTickInterval, [core = core_](common::Time now) { core->Tick(now); });
    if (!options_.settings.control_rpc().empty()) sync_client_.Start();
    return {};
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return http_server_->port(); }
  [[nodiscard]] std::uint16_t rpc_port() const noexcept { return rpc_port_; }
  [[nodiscard]] distribution::Replica& replica() noexcept { return *replica_; }
  [[nodiscard]] observability::Metrics& metrics() noexcept { return *metrics_; }
  [[nodiscard]] const impl::EntryCore& core() const noexcept { return *core_; }

  bool Drain(std::chrono::milliseconds drain_timeout) {
    core_->SetStopping();
    const common::Time end = common::BootClock::now() + drain_timeout;
    while (core_->in_flight() != 0) {
      const common::Time limit = std::max(end, core_->LatestDeadline() + kDeadlineGracePeriod);
      if (common::BootClock::now() >= limit) return false;
      std::this_thread::sleep_for(kDrainPollInterval);
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - common::BootClock::now());
    if (!http_server_->WaitIdle(std::max(remaining, kDeliveryTimeout))) return false;
    // If the flush fails, the agents report the records, which they hold as well.
    if (!usage_->Flush(kUsageFlushTimeout)) log_.Warn("Agents will report uncommitted usage.");
    return true;
  }

 private:
  [[nodiscard]] const std::string& CaFile() const {
    return options_.settings.node().internal_tls().ca_file();
  }

  std::string StartHttpServer() {
    http::ServerOptions http_options{
        .listen = options_.settings.listen(),
        .certificate_file = options_.settings.caller_tls().certificate_file(),
        .private_key_file = options_.settings.caller_tls().private_key_file()};
    if (options_.settings.max_body_bytes() != 0) {
      http_options.max_body_bytes = options_.settings.max_body_bytes();
    }
    if (options_.settings.max_requests_in_flight() != 0) {
      http_options.max_in_flight = options_.settings.max_requests_in_flight();
    }
    auto server = http::Server::Start(
        http_options, [core = core_](const std::shared_ptr<http::Exchange>& exchange) {
          core->Handle(exchange);
        });
    if (!server.ok()) return server.error();
    http_server_ = std::move(server).value();
    const std::string& status_listen = options_.settings.node().metrics_listen();
    if (status_listen.empty()) return {};
    auto status = observability::StatusServer::Start(status_listen, *metrics_,
                                                     [core = core_] { return core->Ready(); });
    if (!status.ok()) return status.error();
    status_server_ = std::move(status).value();
    return {};
  }

  void AddGauges() {
    metrics_->AddGauge("briarwood_requests_in_flight", "Requests that have not ended",
                       [this] { return static_cast<double>(core_->in_flight()); });
    metrics_->AddGauge("briarwood_requests_queued", "Requests that wait for a backend server",
                       [this] { return static_cast<double>(dispatcher_->queued()); });
    metrics_->AddGauge("briarwood_index", "Log index of the configuration in force",
                       [this] { return static_cast<double>(replica_->index().value()); });
    metrics_->AddGauge("briarwood_usage_records_held", "Billing records that are not committed",
                       [usage = usage_] { return static_cast<double>(usage->held()); });
    metrics_->AddGauge("briarwood_key_age_seconds", "Age of the key table; -1 before the first",
                       [this] {
                         const auto freshness = replica_->freshness();
                         if (!freshness) return -1.0;
                         return common::ToSeconds(common::BootClock::now() - *freshness);
                       });
  }

  [[nodiscard]] distribution::SyncClientCallbacks MakeCallbacks() {
    return {.fill = [this](schema::SyncRequest& request) { FillSyncRequest(request); },
            .on_response = [this](const schema::SyncResponse& response, common::Time sent_at,
                                  const std::string& /*parent*/) { OnResponse(response, sent_at); },
            .on_failure =
                [this](const std::string& parent, const std::string& problem) {
                  log_.Warn("Sync with " + parent + " failed: " + problem + ".");
                }};
  }

  [[nodiscard]] distribution::SyncSource MakeSource() {
    distribution::SyncSource source = distribution::SourceOf(*replica_);
    source.on_request = [this](const schema::SyncRequest& request) {
      const common::Time now = common::BootClock::now();
      for (const schema::Heartbeat& heartbeat : request.heartbeats()) {
        if (heartbeat.has_load()) dispatcher_->ReportRelayed(heartbeat.load(), now);
        agent_heartbeats_.Add(heartbeat, now);
      }
    };
    return source;
  }

  void FillSyncRequest(schema::SyncRequest& request) {
    const schema::NodeSettings& settings = options_.settings.node();
    schema::NodeIdentity& node = *request.mutable_node();
    node.set_id(settings.id());
    node.set_role(schema::NODE_ROLE_ENTRY);
    node.set_incarnation(options_.incarnation.value());
    node.set_failure_domain(settings.failure_domain());
    node.set_rpc_address(rpc::AdvertisedAddress(settings, rpc_port_));
    request.set_ready(core_->Ready());
    const common::Time now = common::BootClock::now();
    schema::Heartbeat& own = *request.add_heartbeats();
    *own.mutable_node() = node;
    own.set_index(replica_->index().value());
    own.set_ready(core_->Ready());
    for (schema::Heartbeat& heartbeat : agent_heartbeats_.Take(now)) {
      *request.add_heartbeats() = std::move(heartbeat);
    }
    for (schema::CustomerDemand& demand : core_->demand().Take(now)) {
      *request.add_demand() = std::move(demand);
    }
  }

  void OnResponse(const schema::SyncResponse& response, common::Time sent_at) {
    const common::Time now = common::BootClock::now();
    dispatcher_->OnSync(now);
    for (const schema::LoadReport& load : response.loads()) dispatcher_->ReportRelayed(load, now);
    if (response.entry_count() != 0) dispatcher_->SetEntryCount(response.entry_count());
    for (const schema::LimitShare& share : response.limits()) {
      // The lease starts at the send time, so that it never expires later than at the leader.
      dispatcher_->SetShare(common::CustomerId(share.customer()),
                            {.requests_per_minute = share.requests_per_minute(),
                             .tokens_per_minute = share.tokens_per_minute(),
                             .concurrency = share.concurrency()},
                            sent_at + std::chrono::milliseconds(share.lease_ms()));
    }
  }

  /// Notifies the agents that were used of the committed records. Runs on the thread of the usage
  /// reporter.
  void AcknowledgeAgents(std::uint64_t committed_below) {
    schema::AcknowledgeUsage acknowledgement;
    acknowledgement.set_entry_incarnation(options_.incarnation.value());
    acknowledgement.set_committed_below(committed_below);
    for (const std::string& address : core_->TakeUsedAgents()) {
      try {
        rpc::Client client({.address = address,
                            .credential = options_.credential,
                            .ca_file = CaFile(),
                            .timeout = kAcknowledgeTimeout});
        static_cast<void>(
            client.Call<schema::AcknowledgeUsageResponse>("AcknowledgeUsage", acknowledgement));
        // Records numbered `committed_below` or higher are acknowledged after a later batch.
        core_->RecordUsedAgent(address);
      } catch (const rpc::RpcError& error) {
        log_.Debug("Acknowledging usage records to the agent at " + address +
                   " failed: " + error.what() + ".");
      }
    }
  }

  EntryOptions options_;
  observability::Logger log_{"entry"};
  std::shared_ptr<observability::Metrics> metrics_;
  std::shared_ptr<distribution::Replica> replica_;
  std::shared_ptr<impl::Dispatcher> dispatcher_;
  std::shared_ptr<proposals::BackgroundProposer> proposer_;
  std::shared_ptr<proposals::UsageReporter> usage_;
  std::shared_ptr<impl::EntryCore> core_;
  impl::AgentHeartbeats agent_heartbeats_;
  distribution::SyncClient sync_client_;
  distribution::SyncServer sync_server_;
  rpc::Server rpc_server_;
  std::uint16_t rpc_port_ = 0;
  std::unique_ptr<http::Server> http_server_;
  std::unique_ptr<observability::StatusServer> status_server_;
  common::TimerService timer_;
  common::TimerService::Subscription tick_;
  distribution::Replica::Subscription rows_;
};

EntryNode::EntryNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

EntryNode::~EntryNode() = default;

common::Result<std::unique_ptr<EntryNode>> EntryNode::Start(EntryOptions options) {
  using StartResult = common::Result<std::unique_ptr<EntryNode>>;
  auto impl = std::make_unique<Impl>(std::move(options));
  if (std::string problem = impl->Start(); !problem.empty()) {
    return StartResult::Failure(std::move(problem));
  }
  return StartResult::Success(std::unique_ptr<EntryNode>(new EntryNode(std::move(impl))));
}

std::uint16_t EntryNode::port() const noexcept { return impl_->port(); }

std::uint16_t EntryNode::rpc_port() const noexcept { return impl_->rpc_port(); }

distribution::Replica& EntryNode::replica() noexcept { return impl_->replica(); }

observability::Metrics& EntryNode::metrics() noexcept { return impl_->metrics(); }

bool EntryNode::Ready() const { return impl_->core().Ready(); }

std::size_t EntryNode::in_flight() const { return impl_->core().in_flight(); }

bool EntryNode::Drain(std::chrono::milliseconds drain_timeout) {
  return impl_->Drain(drain_timeout);
}

}  // namespace briarwood::entry
