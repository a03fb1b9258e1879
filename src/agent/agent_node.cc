#include "briarwood/agent/agent_node.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "agent/impl/agent_core.h"
#include "briarwood/common/timer_service.h"
#include "briarwood/distribution/sync_client.h"
#include "briarwood/observability/status_server.h"
#include "briarwood/proposals/background_proposer.h"
#include "briarwood/proposals/usage_reporter.h"
#include "briarwood/rpc/advertised_address.h"
#include "briarwood/rpc/node_options.h"
#include "briarwood/rpc/server.h"

namespace briarwood::agent {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{250};
// Time after its deadline in which a run ends and its last event is delivered.
constexpr std::chrono::seconds kDeadlineGracePeriod{3};
constexpr milliseconds kDrainCheckInterval{1000};
// Interrupted streams are resumed after the crash report, so its duration is bounded.
constexpr milliseconds kCrashReportTimeout{1000};
// Run requests are JSON documents that contain the body of the caller's request in base64.
constexpr std::size_t kMaxRunRequestBytes = std::size_t{24} * 1024 * 1024;

distribution::RowFilter MakeFilter(const std::string& backend_server) {
  return {{schema::ROW_KIND_BACKEND_SERVER, schema::ROW_KIND_DRAINING,
           schema::ROW_KIND_DEAD_INCARNATION},
          backend_server};
}

}  // namespace

class AgentNode::Impl {
 public:
  explicit Impl(AgentOptions options)
      : options_(std::move(options)),
        metrics_(std::make_shared<observability::Metrics>(observability::MetricsOptions{})),
        replica_(std::make_shared<distribution::Replica>(
            MakeFilter(options_.settings.backend_server()))),
        proposer_(std::make_shared<proposals::BackgroundProposer>(
            proposals::ProposerOptions{.members = {options_.settings.control_rpc().begin(),
                                                   options_.settings.control_rpc().end()},
                                       .credential = options_.credential,
                                       .ca_file = Tls().ca_file()},
            1)),
        usage_(std::make_shared<proposals::UsageReporter>(proposals::UsageReporterOptions{
            .proposer = {.members = {options_.settings.control_rpc().begin(),
                                     options_.settings.control_rpc().end()},
                         .credential = options_.credential,
                         .ca_file = Tls().ca_file()},
            .reporter = options_.settings.node().id(),
            .incarnation = options_.incarnation})),
        sync_client_(SyncOptions(), *replica_,
                     {.fill = [this](schema::SyncRequest& request) { FillSyncRequest(request); }}) {
  }

  ~Impl() {
    sync_client_.Stop();
    rpc_server_.Stop();
    proposer_->Stop();
    usage_->Stop();
    tick_ = {};
    if (http_server_) http_server_->Close();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// \returns an empty string, or an error that describes what could not be started.
  std::string Start() {
    core_ = std::make_shared<impl::AgentCore>(impl::AgentCoreOptions{
        .backend_server = options_.settings.backend_server(),
        .credential = options_.credential,
        .incarnation = options_.incarnation,
        .fencing_token = [replica = replica_] { return replica->fence().value(); },
        .report_crash =
            [proposer = proposer_](schema::RecordCrash crash, const std::function<void()>& done) {
              ReportCrash(*proposer, std::move(crash), done);
            },
        .bill = [usage = usage_](const schema::BillingRecord& record) { usage->Hold(record); },
        .metrics = metrics_});
    rows_ = replica_->Subscribe([this](const auto&) { ApplyRows(); });
    metrics_->AddGauge("briarwood_index", "Log index of the configuration in force",
                       [this] { return static_cast<double>(replica_->index().value()); });
    metrics_->AddGauge("briarwood_usage_records_held", "Billing records without acknowledgement",
                       [usage = usage_] { return static_cast<double>(usage->held()); });
    metrics_->AddGauge("briarwood_running", "Requests on the backend server",
                       [core = std::weak_ptr(core_)] {
                         const auto owner = core.lock();
                         return owner ? static_cast<double>(owner->Load().running()) : 0.0;
                       });
    sync_client_.Register(rpc_server_);
    rpc_server_.Handle<schema::AcknowledgeUsage, schema::AcknowledgeUsageResponse>(
        "AcknowledgeUsage", [usage = usage_](const schema::AcknowledgeUsage& acknowledgement) {
          usage->Acknowledge(acknowledgement);
          return schema::AcknowledgeUsageResponse();
        });
    const auto rpc_port =
        rpc_server_.Start(rpc::MakeServerOptions(options_.settings.node(), options_.credential));
    if (!rpc_port.ok()) return rpc_port.error();
    rpc_port_ = rpc_port.value();
    auto http_server =
        http::Server::Start({.listen = options_.settings.listen(),
                             .certificate_file = Tls().certificate_file(),
                             .private_key_file = Tls().private_key_file(),
                             .max_body_bytes = kMaxRunRequestBytes},
                            [core = core_](const std::shared_ptr<http::Exchange>& exchange) {
                              core->Handle(exchange);
                            });
    if (!http_server.ok()) return http_server.error();
    http_server_ = std::move(http_server).value();
    if (std::string problem = StartStatusServer(); !problem.empty()) return problem;
    tick_ = timer_.Subscribe(kTickInterval, [core = core_](common::Time now) { core->Tick(now); });
    if (!options_.settings.entry_rpc().empty()) sync_client_.Start();
    return {};
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return http_server_->port(); }
  [[nodiscard]] std::uint16_t rpc_port() const noexcept { return rpc_port_; }
  [[nodiscard]] distribution::Replica& replica() noexcept { return *replica_; }
  [[nodiscard]] observability::Metrics& metrics() noexcept { return *metrics_; }
  [[nodiscard]] const impl::AgentCore& core() const noexcept { return *core_; }

  bool Drain(milliseconds drain_timeout) {
    core_->SetStopping();
    sync_client_.SyncNow();
    const common::Time end = common::BootClock::now() + drain_timeout;
    for (;;) {
      const common::Time limit = std::max(end, core_->LatestDeadline() + kDeadlineGracePeriod);
      const auto remaining =
          std::chrono::duration_cast<milliseconds>(limit - common::BootClock::now());
      if (remaining <= milliseconds(0)) return false;
      if (http_server_->WaitIdle(std::min(remaining, kDrainCheckInterval))) return true;
    }
  }

 private:
  [[nodiscard]] distribution::SyncClientOptions SyncOptions() const {
    return {.parents = {options_.settings.entry_rpc().begin(), options_.settings.entry_rpc().end()},
            .credential = options_.credential,
            .ca_file = Tls().ca_file()};
  }

  [[nodiscard]] const schema::Tls& Tls() const { return options_.settings.node().internal_tls(); }

  std::string StartStatusServer() {
    const std::string& listen = options_.settings.node().metrics_listen();
    if (listen.empty()) return {};
    auto status = observability::StatusServer::Start(listen, *metrics_,
                                                     [core = core_] { return core->Ready(); });
    if (!status.ok()) return status.error();
    status_server_ = std::move(status).value();
    return {};
  }

  void FillSyncRequest(schema::SyncRequest& request) {
    schema::NodeIdentity& node = *request.mutable_node();
    node.set_id(options_.settings.node().id());
    node.set_role(schema::NODE_ROLE_AGENT);
    node.set_incarnation(options_.incarnation.value());
    node.set_failure_domain(options_.settings.node().failure_domain());
    node.set_rpc_address(rpc::AdvertisedAddress(options_.settings.node(), rpc_port_));
    request.set_ready(core_->Ready());
    schema::Heartbeat& heartbeat = *request.add_heartbeats();
    *heartbeat.mutable_node() = node;
    heartbeat.set_index(replica_->index().value());
    heartbeat.set_ready(core_->Ready());
    *heartbeat.mutable_load() = core_->Load();
  }

  void ApplyRows() {
    const std::string& id = options_.settings.backend_server();
    for (const schema::BackendServer& backend : replica_->BackendServers()) {
      if (backend.id() == id) core_->SetBackend(backend);
    }
    bool draining = false;
    for (const common::BackendServerId& drained : replica_->Draining()) {
      draining = draining || drained.value() == id;
    }
    core_->SetDraining(draining);
    // The agents that executed the requests of dead entries report the records of those entries.
    usage_->ReportFor(replica_->DeadIncarnations());
  }

  static void ReportCrash(proposals::BackgroundProposer& proposer, schema::RecordCrash crash,
                          const std::function<void()>& done) {
    crash.set_now_unix_ms(proposals::WallClockMillis());
    schema::Command command;
    *command.mutable_record_crash() = std::move(crash);
    proposer.Propose(std::move(command), common::BootClock::now() + kCrashReportTimeout,
                     [done](const schema::ProposeResponse&) { done(); });
  }

  AgentOptions options_;
  std::shared_ptr<observability::Metrics> metrics_;
  std::shared_ptr<distribution::Replica> replica_;
  std::shared_ptr<impl::AgentCore> core_;
  std::shared_ptr<proposals::BackgroundProposer> proposer_;
  std::shared_ptr<proposals::UsageReporter> usage_;
  distribution::SyncClient sync_client_;
  rpc::Server rpc_server_;
  std::uint16_t rpc_port_ = 0;
  std::unique_ptr<http::Server> http_server_;
  std::unique_ptr<observability::StatusServer> status_server_;
  common::TimerService timer_;
  common::TimerService::Subscription tick_;
  distribution::Replica::Subscription rows_;
};

AgentNode::AgentNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

AgentNode::~AgentNode() = default;

common::Result<std::unique_ptr<AgentNode>> AgentNode::Start(AgentOptions options) {
  using StartResult = common::Result<std::unique_ptr<AgentNode>>;
  auto impl = std::make_unique<Impl>(std::move(options));
  if (std::string problem = impl->Start(); !problem.empty()) {
    return StartResult::Failure(std::move(problem));
  }
  return StartResult::Success(std::unique_ptr<AgentNode>(new AgentNode(std::move(impl))));
}

std::uint16_t AgentNode::port() const noexcept { return impl_->port(); }

std::uint16_t AgentNode::rpc_port() const noexcept { return impl_->rpc_port(); }

distribution::Replica& AgentNode::replica() noexcept { return impl_->replica(); }

observability::Metrics& AgentNode::metrics() noexcept { return impl_->metrics(); }

schema::LoadReport AgentNode::Load() const { return impl_->core().Load(); }

bool AgentNode::Ready() const { return impl_->core().Ready(); }

bool AgentNode::Drain(std::chrono::milliseconds drain_timeout) {
  return impl_->Drain(drain_timeout);
}

}  // namespace briarwood::agent
