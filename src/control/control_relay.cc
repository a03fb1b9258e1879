#include "briarwood/control/control_relay.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "briarwood/common/time.h"
#include "briarwood/distribution/parent_order.h"
#include "briarwood/observability/log.h"
#include "briarwood/observability/log_line.h"
#include "briarwood/rpc/advertised_address.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/error.h"
#include "briarwood/rpc/node_options.h"
#include "briarwood/rpc/server.h"
#include "fleet.pb.h"

namespace briarwood::control {
namespace {

using observability::LogLine;
using std::chrono::milliseconds;

constexpr milliseconds kPollPeriod{400};
constexpr milliseconds kCallTimeout{400};
/// A leader that was confirmed longer ago may have been replaced.
constexpr milliseconds kMaxLeaderAge{1500};
constexpr unsigned kRpcThreads = 2;

}  // namespace

bool RunsAsRelay(const schema::ControlSettings& settings) noexcept {
  return !settings.seeds().empty() && settings.data_folder().empty();
}

class ControlRelay::Impl {
 public:
  explicit Impl(ControlRelayOptions options) : options_(std::move(options)) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    stop_changed_.notify_all();
    if (thread_.joinable()) thread_.join();
    server_.Stop();
  }

  /// \returns an empty string, or an error message.
  std::string Start() {
    RegisterMethods();
    rpc::ServerOptions rpc_options =
        rpc::MakeServerOptions(options_.settings.node(), options_.credential);
    rpc_options.threads = kRpcThreads;
    const auto port = server_.Start(rpc_options);
    if (!port.ok()) return port.error();
    port_ = port.value();
    thread_ = std::thread([this] { Run(); });
    log_.Info(LogLine("relay_started").Add("seeds", options_.settings.seeds_size()).text());
    return {};
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

  void SetSeeds(const std::vector<std::string>& seeds) {
    const std::lock_guard lock(mutex_);
    seeds_ = seeds;
  }

  [[nodiscard]] std::optional<std::string> leader() const {
    const std::lock_guard lock(mutex_);
    const common::Time now = common::BootClock::now();
    if (!confirmed_at_ || now - *confirmed_at_ > kMaxLeaderAge || members_.empty()) {
      return std::nullopt;
    }
    return members_.front();
  }

  [[nodiscard]] std::vector<std::string> members() const {
    const std::lock_guard lock(mutex_);
    return members_;
  }

 private:
  void RegisterMethods() {
    server_.Handle<schema::SyncRequest, schema::SyncResponse>(
        "Sync", [this](const schema::SyncRequest& request) {
          schema::SyncResponse response;
          // Without rows and confirmation the child learns the members only, and contacts them.
          response.set_index(request.since_index());
          for (const std::string& address : members()) response.add_control_rpc(address);
          return response;
        });
    server_.Handle<schema::JoinRequest, schema::JoinResponse>(
        "Join", [this](const schema::JoinRequest&) {
          schema::JoinResponse response;
          for (const std::string& address : members()) response.add_control_rpc(address);
          response.set_leader_rpc(leader().value_or(std::string()));
          return response;
        });
    server_.Handle<schema::GroupRequest, schema::GroupResponse>(
        "Group", [this](const schema::GroupRequest&) {
          schema::GroupResponse response;
          for (const std::string& address : members()) response.add_control_rpc(address);
          return response;
        });
    server_.Handle<schema::ProposeRequest, schema::ProposeResponse>(
        "Propose", [this](const schema::ProposeRequest&) {
          schema::ProposeResponse response;
          response.set_status(schema::ProposeResponse::STATUS_NOT_LEADER);
          response.set_leader_rpc(leader().value_or(std::string()));
          return response;
        });
  }

  void Run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      // The order differs between relays, so that not all of them call the leader.
      std::vector<std::string> candidates =
          distribution::OrderParents(options_.settings.node().id(), members_);
      candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
      lock.unlock();
      AskMembers(std::move(candidates));
      lock.lock();
      stop_changed_.wait_for(lock, kPollPeriod, [this] { return stopping_; });
    }
  }

  /// Calls the candidates, and those that they name, until a member whose state a majority has
  /// confirmed names the leader.
  void AskMembers(std::vector<std::string> candidates) {
    const std::string own = rpc::AdvertisedAddress(options_.settings.node(), port_);
    std::vector<std::string> asked{own};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const std::string address = candidates[i];
      if (std::find(asked.begin(), asked.end(), address) != asked.end()) continue;
      asked.push_back(address);
      {
        const std::lock_guard lock(mutex_);
        if (stopping_) return;
      }
      const std::optional<schema::GroupResponse> response = Ask(address);
      if (!response) continue;
      candidates.insert(candidates.end(), response->control_rpc().begin(),
                        response->control_rpc().end());
      if (!response->confirmed() || !response->leader_known()) continue;
      Record({response->control_rpc().begin(), response->control_rpc().end()});
      return;
    }
  }

  std::optional<schema::GroupResponse> Ask(const std::string& address) {
    std::unique_ptr<rpc::Client>& client = clients_[address];
    if (!client) {
      client = std::make_unique<rpc::Client>(
          rpc::ClientOptions{.address = address,
                             .credential = options_.credential,
                             .ca_file = options_.settings.node().internal_tls().ca_file(),
                             .timeout = kCallTimeout});
    }
    try {
      return client->Call<schema::GroupResponse>("Group", schema::GroupRequest());
    } catch (const rpc::RpcError& error) {
      log_.Debug(
          LogLine("member_unanswered").Add("member", address).Add("problem", error.what()).text());
      return std::nullopt;
    }
  }

  void Record(std::vector<std::string> members) {
    if (members.empty()) return;
    std::string previous;
    std::string leader;
    {
      const std::lock_guard lock(mutex_);
      if (!members_.empty()) previous = members_.front();
      leader = members.front();
      members_ = std::move(members);
      confirmed_at_ = common::BootClock::now();
    }
    if (leader == previous) return;
    log_.Info(LogLine("leader_known").Add("leader", leader).Add("before", previous).text());
  }

  ControlRelayOptions options_;
  observability::Logger log_{"control"};
  rpc::Server server_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;
  std::vector<std::string> seeds_{options_.settings.seeds().begin(),
                                  options_.settings.seeds().end()};
  /// RPC addresses of the members, the leader first, as of `confirmed_at_`.
  std::vector<std::string> members_;
  std::optional<common::Time> confirmed_at_;
  /// Used on the polling thread only.
  std::map<std::string, std::unique_ptr<rpc::Client>> clients_;
  std::thread thread_;
};

ControlRelay::ControlRelay(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

ControlRelay::~ControlRelay() = default;

common::Result<std::unique_ptr<ControlRelay>> ControlRelay::Start(ControlRelayOptions options) {
  using StartResult = common::Result<std::unique_ptr<ControlRelay>>;
  auto impl = std::make_unique<Impl>(std::move(options));
  if (std::string problem = impl->Start(); !problem.empty()) {
    return StartResult::Failure(std::move(problem));
  }
  return StartResult::Success(std::unique_ptr<ControlRelay>(new ControlRelay(std::move(impl))));
}

std::uint16_t ControlRelay::rpc_port() const noexcept { return impl_->port(); }

void ControlRelay::SetSeeds(const std::vector<std::string>& seeds) { impl_->SetSeeds(seeds); }

std::optional<std::string> ControlRelay::leader() const { return impl_->leader(); }

std::vector<std::string> ControlRelay::members() const { return impl_->members(); }

}  // namespace briarwood::control
