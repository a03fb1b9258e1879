#include "briarwood/control/control_daemon.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>

#include "briarwood/common/timer_service.h"
#include "briarwood/control/admin_api.h"
#include "briarwood/control/agreed_clock.h"
#include "briarwood/control/control_node.h"
#include "briarwood/control/fleet_view.h"
#include "briarwood/control/group_start.h"
#include "briarwood/control/leader_duties.h"
#include "briarwood/control/list_schedule.h"
#include "briarwood/control/member_identity.h"
#include "briarwood/control/membership_manager.h"
#include "briarwood/distribution/sync_server.h"
#include "briarwood/observability/log.h"
#include "briarwood/observability/log_line.h"
#include "briarwood/observability/metrics.h"
#include "briarwood/observability/status_server.h"
#include "briarwood/rpc/advertised_address.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/server.h"
#include "briarwood/storage/error.h"
#include "briarwood/storage/files.h"
#include "briarwood/storage/memory_files.h"

namespace briarwood::control {
namespace {

using observability::LogLine;
using std::chrono::milliseconds;

/// Room that a member needs to start: a log segment, its identity and a vote.
constexpr std::size_t kRoomToStartBytes = std::size_t{64} * 1024;
constexpr milliseconds kRoomPollInterval{100};
constexpr milliseconds kDutyPeriod{250};
/// Several rounds of heartbeats.
constexpr milliseconds kMaxSendWait{250};
constexpr milliseconds kReportPeriod{1000};
constexpr milliseconds kReportTimeout{800};
constexpr milliseconds kProposeTimeout{2000};
/// A member whose last confirmation is older may serve stale state and is not ready.
constexpr std::chrono::seconds kReadyMaxConfirmationAge{5};
constexpr unsigned kRpcThreads = 16;
constexpr milliseconds kUsageReportRetryDelay{1000};
constexpr milliseconds kAddLearnerTimeout{700};
constexpr milliseconds kMembershipChangeTimeout{500};
constexpr milliseconds kMembershipPeriod{50};
/// Time for the group to give the vote of a member that stops to another member.
constexpr milliseconds kLeaveTimeout{1000};
constexpr milliseconds kLeavePollInterval{20};
constexpr milliseconds kGroupCallTimeout{400};
constexpr milliseconds kGroupMaxConfirmationAge{1000};
/// Time without a confirmation after which a member checks whether the group has removed it.
constexpr milliseconds kRemovalCheckDelay{3000};
/// How often a member checks whether it has to read or request the list of backend servers. The
/// platform's list lags by nearly a second, and a backend server that leaves must get no new work
/// after three seconds: with the leader's reads, the requests of the members and the syncs of the
/// entries that takes 1.5 s, so that one failed read is tolerated.
constexpr milliseconds kBackendListPollPeriod{100};
constexpr milliseconds kBackendListTimeout{300};

MembershipPlannerOptions PlannerOptions(const schema::ControlSettings& settings) {
  MembershipPlannerOptions options;
  // With 2n + 1 voters, a majority remains after the loss of n.
  if (settings.tolerated_losses() != 0) options.min_voters = 2 * settings.tolerated_losses() + 1;
  return options;
}

common::UnixMillis WallClock() {
  return std::chrono::duration_cast<common::UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

const char* RoleName(const NodeStatus& status) {
  switch (status.role) {
    case consensus::Role::kLeader:
      return "leader";
    case consensus::Role::kCandidate:
      return "candidate";
    default:
      break;
  }
  for (const schema::Member& member : status.membership.members()) {
    if (member.id() == status.id.value() && !member.voter()) return "learner";
  }
  return "follower";
}

consensus::Timing TimingOf(const schema::ControlSettings& settings) {
  consensus::Timing timing;
  if (settings.heartbeat_ms() != 0) timing.heartbeat = milliseconds(settings.heartbeat_ms());
  if (settings.election_timeout_ms() != 0) {
    timing.election_timeout = milliseconds(settings.election_timeout_ms());
  }
  return timing;
}

/// \returns files on disk, or in memory for a member without a data folder.
storage::Files FilesOf(const schema::ControlSettings& settings) {
  if (!settings.data_folder().empty()) return storage::Files(storage::PosixFiles());
  return storage::Files(storage::MemoryFiles(std::make_shared<storage::MemoryDisk>()));
}

std::string ReadFile(const std::string& name) {
  const std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

}  // namespace

class ControlDaemon::Impl : public AdminBackend {
 public:
  explicit Impl(ControlDaemonOptions options)
      : options_(std::move(options)),
        sync_server_({.credential = options_.credential, .ca_file = ca_file()}, MakeSource()) {}

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() override { Stop(); }

  /// \returns an empty string, or an error message.
  std::string Start() {
    if (!WaitForRoom()) return "stopped while the disk was full";
    if (std::string problem = ChooseIdentity(); !problem.empty()) return problem;
    auto node =
        ControlNode::Create(MakeNodeOptions(), rpc_server_, timers_, ControlState(options_.parser),
                            [this](std::string_view bytes) { return RestoreState(bytes); });
    if (!node.ok()) return node.error();
    node_ = std::move(node).value();
    // Claims and usage change no row, so they notify no children; those get the new index with
    // their next periodic sync.
    node_->OnApplied([this](common::LogIndex /*index*/) {
      sync_server_.Notify(
          node_->WithState([](const ControlState& state) { return state.table().last_change(); }));
    });
    RegisterMethods();
    const auto rpc_port = rpc_server_.Start(MakeRpcOptions());
    if (!rpc_port.ok()) return rpc_port.error();
    rpc_port_ = rpc_port.value();
    node_->Start(peers_, join_);
    if (std::string problem = StartHttp(); !problem.empty()) return problem;
    CreateDuties();
    threads_.emplace_back([this] { RunDuties(); });
    if (formed_from_seeds()) threads_.emplace_back([this] { RunMembership(); });
    threads_.emplace_back([this] { RunReports(); });
    if (options_.read_backends) threads_.emplace_back([this] { RunBackendList(); });
    log_.Info(LogLine("started")
                  .Add("member", id_.value())
                  .Add("incarnation", options_.incarnation.value())
                  .Add("joined", join_)
                  .text());
    return {};
  }

  [[nodiscard]] std::uint16_t rpc_port() const noexcept { return rpc_port_; }
  [[nodiscard]] std::uint16_t admin_port() const noexcept {
    return admin_ == nullptr ? 0 : admin_->port();
  }
  [[nodiscard]] bool Leads() const { return node_->status().role == consensus::Role::kLeader; }

  bool Drain(milliseconds limit) {
    draining_ = true;
    const bool transferred = node_->TransferLeadership(common::MemberId(0), limit);
    if (formed_from_seeds()) LeaveGroup();
    return transferred;
  }

  void SetSeeds(const std::vector<std::string>& seeds) {
    const std::lock_guard lock(seeds_mutex_);
    seeds_ = seeds;
  }

  bool ConfirmRead(Milliseconds timeout) override { return node_->ConfirmRead(timeout); }

  schema::ProposeResponse Propose(const schema::Command& command, Milliseconds timeout) override {
    schema::ProposeResponse response = node_->Propose(command, timeout);
    if (response.status() != schema::ProposeResponse::STATUS_NOT_LEADER) return response;
    const std::string leader = response.leader_rpc();
    if (leader.empty()) return response;
    schema::ProposeRequest request;
    *request.mutable_command() = command;
    request.set_timeout_ms(static_cast<std::uint64_t>(timeout.count()));
    try {
      return ClientTo(leader).Call<schema::ProposeResponse>("Propose", request, timeout);
    } catch (const rpc::RpcError& error) {
      response.set_status(error.sent() ? schema::ProposeResponse::STATUS_UNKNOWN
                                       : schema::ProposeResponse::STATUS_NOT_LEADER);
      return response;
    }
  }

  void ReadState(const std::function<void(const ControlState&)>& read) const override {
    node_->WithState([&](const ControlState& state) { read(state); });
  }

  [[nodiscard]] schema::MemberStatus Status() const override {
    const NodeStatus status = node_->status();
    schema::MemberStatus result;
    result.set_member_id(status.id.value());
    result.set_role(RoleName(status));
    result.set_term(status.term.value());
    result.set_leader(status.leader.value());
    result.set_commit_index(status.commit_index.value());
    result.set_applied_index(status.applied_index.value());
    *result.mutable_membership() = status.membership;
    result.set_failure(status.failure);
    if (const auto confirmation = node_->confirmation()) {
      const auto age = common::TimerService::Now() - confirmation->confirmed_at;
      result.set_confirmed(true);
      result.set_confirmed_ms_ago(
          static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
    return result;
  }

  [[nodiscard]] std::vector<membership::NodeView> Nodes() const override {
    std::vector<membership::NodeView> nodes = fleet_.Nodes(common::TimerService::Now());
    nodes.push_back(OwnView());
    return nodes;
  }

  common::Result<common::LogIndex> AddLearner(const schema::Member& member,
                                              Milliseconds timeout) override {
    return node_->AddLearner(member, timeout);
  }
  common::Result<common::LogIndex> Promote(common::MemberId member, Milliseconds timeout) override {
    return node_->Promote(member, timeout);
  }
  common::Result<common::LogIndex> Remove(common::MemberId member, Milliseconds timeout) override {
    return node_->Remove(member, timeout);
  }

 private:
  /// Waits until the disk has room for what a member writes when it starts. A process that ended
  /// instead would be started again and again until then.
  /// \returns false if the process is to stop.
  [[nodiscard]] bool WaitForRoom() {
    const std::string& folder = options_.settings.data_folder();
    if (folder.empty()) return true;
    const std::string probe = folder + "/room.new";
    bool logged = false;
    while (true) {
      try {
        files_.CreateFolder(folder);
        storage::File file = files_.Open(probe);
        const auto remove = [&] { files_.Remove(probe); };
        try {
          file.Append(std::string(kRoomToStartBytes, '\0'));
        } catch (const storage::StorageError&) {
          remove();
          throw;
        }
        remove();
        return true;
      } catch (const storage::StorageError& error) {
        // Other problems are reported by what needs the folder.
        if (error.problem() != storage::StorageProblem::kDiskFull) return true;
        if (!std::exchange(logged, true)) {
          log_.Warn(LogLine("disk_full_at_start").Add("problem", error.what()).text());
        }
      }
      if (options_.interrupted && options_.interrupted()) return false;
      std::this_thread::sleep_for(kRoomPollInterval);
    }
  }

  [[nodiscard]] common::Result<ControlState> RestoreState(std::string_view bytes) const {
    common::Result<ControlState> state = ControlState::Restore(bytes, options_.parser);
    if (state.ok() && !state.value().repaired_fields().empty()) {
      const std::vector<std::string>& fields = state.value().repaired_fields();
      log_.Warn(LogLine("snapshot_text_repaired")
                    .Add("fields", fields.size())
                    .Add("first_field", fields.front())
                    .text());
    }
    return state;
  }

  [[nodiscard]] const std::string& ca_file() const {
    return options_.settings.node().internal_tls().ca_file();
  }

  [[nodiscard]] bool formed_from_seeds() const { return !options_.settings.seeds().empty(); }

  [[nodiscard]] std::vector<std::string> seeds() const {
    const std::lock_guard lock(seeds_mutex_);
    return seeds_;
  }

  /// Sets the member id, the initial peers and whether this member joins a running group.
  /// \returns an empty string, or an error message.
  std::string ChooseIdentity() {
    const schema::ControlSettings& settings = options_.settings;
    if (!formed_from_seeds()) {
      id_ = common::MemberId(settings.member_id());
      peers_.assign(settings.peers().begin(), settings.peers().end());
      join_ = settings.join();
      return {};
    }
    const auto start =
        PrepareGroupStart(files_, {.settings = settings,
                                   .credential = options_.credential,
                                   .incarnation = options_.incarnation,
                                   .seeds = [this] { return seeds(); },
                                   .interrupted = options_.interrupted,
                                   .log = [this](const std::string& line) { log_.Info(line); }});
    if (!start.ok()) return start.error();
    id_ = start.value().id;
    peers_ = start.value().peers;
    join_ = start.value().joined;
    return {};
  }

  /// \returns the wall clock time that the processes agree on, or that of this process before they
  /// agree.
  [[nodiscard]] common::UnixMillis AgreedWallClock() const {
    const std::lock_guard lock(clock_mutex_);
    return agreed_clock_.At(common::TimerService::Now()).value_or(WallClock());
  }

  void ObserveClock(const std::string& process, common::UnixMillis wall) {
    const std::lock_guard lock(clock_mutex_);
    agreed_clock_.Observe(process, wall, common::TimerService::Now());
  }

  [[nodiscard]] NodeOptions MakeNodeOptions() {
    const schema::ControlSettings& settings = options_.settings;
    NodeOptions node;
    node.id = id_;
    node.data_folder = settings.data_folder();
    node.files = files_;
    node.timing = TimingOf(settings);
    node.credential = options_.credential;
    node.ca_file = ca_file();
    if (settings.snapshot_every_entries() != 0) {
      node.snapshot_every_entries = settings.snapshot_every_entries();
    }
    node.on_failure = [this](const std::string& reason) {
      log_.Error("The member has failed: " + reason + ".");
      if (options_.on_failure) options_.on_failure(reason);
    };
    node.log = [this](const std::string& line) { log_.Info(line); };
    node.prepare = [this](schema::Command& command) { StampTime(command, AgreedWallClock()); };
    return node;
  }

  [[nodiscard]] rpc::ServerOptions MakeRpcOptions() const {
    const schema::NodeSettings& node = options_.settings.node();
    rpc::ServerOptions options{
        .listen = node.rpc_listen(), .credential = options_.credential, .threads = kRpcThreads};
    if (!node.internal_tls().certificate_file().empty()) {
      options.certificate = ReadFile(node.internal_tls().certificate_file());
      options.private_key = ReadFile(node.internal_tls().private_key_file());
    }
    return options;
  }

  [[nodiscard]] distribution::SyncSource MakeSource() {
    return {.delta =
                [this](common::LogIndex since, const distribution::RowFilter& filter) {
                  return node_->WithState([&](const ControlState& state) {
                    distribution::Delta delta = state.table().DeltaSince(since, filter);
                    delta.document_versions = state.documents().CurrentVersions();
                    return delta;
                  });
                },
            .confirmation = [this] { return CurrentConfirmation(); },
            .on_request =
                [this](const schema::SyncRequest& request) {
                  fleet_.OnSync(request, common::TimerService::Now());
                  if (request.wall_unix_ms() == 0) return;
                  ObserveClock(
                      request.node().id(),
                      common::UnixMillis(static_cast<std::int64_t>(request.wall_unix_ms())));
                },
            .complete =
                [this](const schema::SyncRequest& request, schema::SyncResponse& response) {
                  fleet_.Complete(request, response, common::TimerService::Now());
                  if (formed_from_seeds()) AddGroupState(request, response);
                }};
  }

  /// Adds the data that processes of a group formed from seeds need: members, backend servers and
  /// agreed time.
  void AddGroupState(const schema::SyncRequest& request, schema::SyncResponse& response) {
    for (const std::string& address : MemberAddresses()) response.add_control_rpc(address);
    response.set_agreed_unix_ms(static_cast<std::uint64_t>(AgreedWallClock().count()));
    if (auto newer = NewerBackends(request.backends_age_ms_plus_one(), request.backends_digest())) {
      *response.mutable_backends() = std::move(*newer);
    }
  }

  [[nodiscard]] std::optional<schema::BackendList> NewerBackends(std::uint64_t age_ms_plus_one,
                                                                 std::uint64_t digest) {
    const std::lock_guard lock(backends_mutex_);
    if (!backends_read_at_) return std::nullopt;
    return NewerList(backends_, *backends_read_at_, age_ms_plus_one, digest,
                     common::TimerService::Now());
  }

  /// \returns the RPC addresses of the members: the leader, the other voters, the learners. A
  /// learner may be a member that has failed.
  [[nodiscard]] std::vector<std::string> MemberAddresses() const {
    const NodeStatus status = node_->status();
    std::vector<std::string> addresses;
    std::vector<std::string> learners;
    for (const schema::Member& member : status.membership.members()) {
      if (!member.voter()) {
        learners.push_back(member.rpc_address());
        continue;
      }
      const bool leads = member.id() == status.leader.value();
      addresses.insert(leads ? addresses.begin() : addresses.end(), member.rpc_address());
    }
    addresses.insert(addresses.end(), learners.begin(), learners.end());
    return addresses;
  }

  /// Adds a process with an empty data folder to the group as a learner.
  [[nodiscard]] schema::JoinResponse AdmitMember(const schema::JoinRequest& request) {
    schema::JoinResponse response;
    const NodeStatus status = node_->status();
    for (const std::string& address : MemberAddresses()) response.add_control_rpc(address);
    if (status.role != consensus::Role::kLeader) {
      response.set_leader_rpc(status.leader_rpc);
      return response;
    }
    const std::lock_guard lock(admission_mutex_);
    for (const schema::Member& member : status.membership.members()) {
      schema::MemberAddress& address = *response.add_members();
      address.set_member_id(member.id());
      address.set_rpc_address(member.rpc_address());
    }
    common::MemberId& admitted_id = admitted_ids_[request.incarnation()];
    if (admitted_id != common::MemberId()) {
      response.set_member_id(admitted_id.value());
      return response;
    }
    std::uint64_t highest = status.membership.highest_id();
    for (const schema::Member& member : status.membership.members()) {
      highest = std::max(highest, member.id());
    }
    schema::Member member;
    member.set_id(highest + 1);
    member.set_rpc_address(request.rpc_address());
    member.set_failure_domain(request.failure_domain());
    member.set_without_disk(request.without_disk());
    const auto added = node_->AddLearner(member, kAddLearnerTimeout);
    log_.Info(LogLine("join")
                  .Add("member", member.id())
                  .Add("address", member.rpc_address())
                  .Add("without_disk", member.without_disk())
                  .Add("added", added.ok())
                  .Add("problem", added.ok() ? std::string_view() : added.error())
                  .text());
    if (!added.ok()) return response;
    admitted_id = common::MemberId(member.id());
    response.set_member_id(member.id());
    return response;
  }

  [[nodiscard]] schema::GroupResponse DescribeGroup() const {
    schema::GroupResponse response;
    const auto confirmation = node_->confirmation();
    response.set_confirmed(confirmation &&
                           common::TimerService::Now() - confirmation->confirmed_at <
                               kGroupMaxConfirmationAge);
    const NodeStatus status = node_->status();
    for (const schema::Member& member : status.membership.members()) {
      response.add_member_ids(member.id());
    }
    for (const std::string& address : MemberAddresses()) response.add_control_rpc(address);
    response.set_leader_known(status.leader != common::MemberId());
    return response;
  }

  /// Lets the leader change the membership. On a thread of its own, since the duties wait for the
  /// platform.
  void RunMembership() {
    while (!WaitForStop(kMembershipPeriod)) membership_.Update(common::TimerService::Now());
  }

  [[nodiscard]] MembershipContext MakeMembershipContext() {
    return {.status = [this] { return node_->status(); },
            .change =
                [this](const consensus::MembershipChange& change) {
                  return node_->ChangeMembership(change, kMembershipChangeTimeout);
                },
            .log = [this](const std::string& line) { log_.Info(line); }};
  }

  /// Announces to the leader that this member stops, and waits until its vote has been given to
  /// another member, or cannot be.
  void LeaveGroup() {
    const common::Time deadline = common::TimerService::Now() + kLeaveTimeout;
    const schema::LeaveRequest request = membership_.MakeLeaveRequest(id_);
    bool pending = true;
    bool logged = false;
    std::string named_leader;
    while (pending && common::TimerService::Now() < deadline) {
      const std::string leader =
          named_leader.empty() ? node_->status().leader_rpc : std::exchange(named_leader, {});
      try {
        if (!leader.empty()) {
          const auto response =
              ClientTo(leader).Call<schema::LeaveResponse>("Leave", request, kGroupCallTimeout);
          pending = response.pending();
          named_leader = response.leader_rpc();
        }
      } catch (const rpc::RpcError& error) {
        // The leader is called until the deadline.
        if (!std::exchange(logged, true)) {
          log_.Info(LogLine("leave_unanswered")
                        .Add("leader", leader)
                        .Add("problem", error.what())
                        .text());
        }
      }
      if (pending) std::this_thread::sleep_for(kLeavePollInterval);
    }
    log_.Info(LogLine("leave").Add("member", id_.value()).Add("pending", pending).text());
  }

  /// Asks the other members whether the group has removed this one if it has no recent
  /// confirmation.
  void CheckRemoval() {
    if (!formed_from_seeds() || removed_) return;
    const auto confirmation = node_->confirmation();
    const common::Time now = common::TimerService::Now();
    const common::Time since = confirmation ? confirmation->confirmed_at : started_at_;
    if (now - since < kRemovalCheckDelay) return;
    std::vector<std::string> addresses = MemberAddresses();
    for (const std::string& seed : seeds()) addresses.push_back(seed);
    const std::string own_address = rpc::AdvertisedAddress(options_.settings.node(), rpc_port_);
    for (const std::string& address : addresses) {
      if (address == own_address || address.empty()) continue;
      try {
        const auto group = ClientTo(address).Call<schema::GroupResponse>(
            "Group", schema::GroupRequest(), kGroupCallTimeout);
        const auto& ids = group.member_ids();
        if (!group.confirmed() || std::find(ids.begin(), ids.end(), id_.value()) != ids.end()) {
          continue;
        }
      } catch (const rpc::RpcError&) {
        continue;  // an unreachable member cannot report the membership
      }
      removed_ = true;
      log_.Warn(LogLine("removed_from_group").Add("member", id_.value()).Add("by", address).text());
      if (options_.on_removed) options_.on_removed();
      return;
    }
  }

  /// Keeps the platform's list of backend servers up to date, which entries receive with their
  /// syncs.
  void RunBackendList() {
    ListScheduleOptions options;
    options.calls_per_second = options_.settings.platform().list_calls_per_second();
    ListSchedule schedule(options);
    bool unreachable = false;
    while (!WaitForStop(kBackendListPollPeriod)) {
      std::optional<common::Time> read_at;
      {
        const std::lock_guard lock(backends_mutex_);
        read_at = backends_read_at_;
      }
      switch (schedule.Next(Leads(), read_at, common::TimerService::Now())) {
        case ListAction::kNone:
          break;
        case ListAction::kRequestFromLeader:
          RequestBackendList();
          break;
        case ListAction::kReadPlatform:
          ReadBackendList(schedule, unreachable);
          break;
      }
    }
  }

  /// \param unreachable  whether the last read failed; updated
  void ReadBackendList(ListSchedule& schedule, bool& unreachable) {
    const common::Time requested_at = common::TimerService::Now();
    auto list = options_.read_backends();
    if (list.ok() == unreachable) {
      unreachable = !list.ok();
      log_.Info(LogLine(unreachable ? "platform_list_lost" : "platform_list_regained")
                    .Add("problem", unreachable ? list.error() : std::string())
                    .text());
    }
    if (!list.ok()) return;
    schedule.OnRead(std::max(list.value().calls(), 1U));
    ApplyBackendList(std::move(list).value(), requested_at, "platform");
  }

  void RequestBackendList() {
    const std::string leader = node_->status().leader_rpc;
    if (leader.empty()) return;
    const common::Time requested_at = common::TimerService::Now();
    schema::BackendListRequest request;
    {
      const std::lock_guard lock(backends_mutex_);
      const auto age =
          backends_read_at_
              ? std::chrono::duration_cast<milliseconds>(requested_at - *backends_read_at_)
              : milliseconds(std::chrono::hours(1));
      request.set_age_ms_plus_one(static_cast<std::uint64_t>(age.count()) + 1);
      if (backends_read_at_) request.set_digest(backends_.digest());
    }
    try {
      auto response = ClientTo(leader).Call<schema::BackendListResponse>("BackendList", request,
                                                                         kBackendListTimeout);
      if (!response.has_backends()) return;
      const milliseconds age(response.backends().age_ms());
      ApplyBackendList(std::move(*response.mutable_backends()), requested_at - age, "leader");
    } catch (const rpc::RpcError& error) {
      // The member reads the platform by itself once its list is too old.
      log_.Debug(LogLine("backend_list_unanswered")
                     .Add("leader", leader)
                     .Add("problem", error.what())
                     .text());
    }
  }

  void ApplyBackendList(schema::BackendList list, common::Time read_at, std::string_view source) {
    {
      const std::lock_guard lock(backends_mutex_);
      if (backends_read_at_ && read_at <= *backends_read_at_) return;
      const bool changed = !backends_read_at_ || backends_.digest() != list.digest();
      backends_read_at_ = read_at;
      if (!changed) return;
      // Without its content a changed list is of no use; the next request receives it.
      if (list.unchanged()) return;
      backends_ = std::move(list);
    }
    log_.Info(LogLine("backend_list")
                  .Add("backends", backends_.backends_size())
                  .Add("digest", backends_.digest())
                  .Add("source", source)
                  .text());
  }

  [[nodiscard]] distribution::Confirmation CurrentConfirmation() const {
    const auto confirmation = node_->confirmation();
    if (!confirmation) return {};
    return {.confirmed_at = confirmation->confirmed_at,
            .fence = confirmation->fencing_token,
            .index = confirmation->index};
  }

  void RegisterMethods() {
    sync_server_.Register(rpc_server_);
    rpc_server_.Handle<schema::MemberReport, schema::MemberReportResponse>(
        "MemberReport", [this](const schema::MemberReport& report) {
          return fleet_.HandleReport(report, common::TimerService::Now());
        });
    rpc_server_.Handle<schema::BackendListRequest, schema::BackendListResponse>(
        "BackendList", [this](const schema::BackendListRequest& request) {
          schema::BackendListResponse response;
          // A list that went from member to member would age unseen if no leader read it any more.
          if (!Leads()) return response;
          if (auto newer = NewerBackends(request.age_ms_plus_one(), request.digest())) {
            *response.mutable_backends() = std::move(*newer);
          }
          return response;
        });
    if (!formed_from_seeds()) return;
    rpc_server_.Handle<schema::JoinRequest, schema::JoinResponse>(
        "Join", [this](const schema::JoinRequest& request) { return AdmitMember(request); });
    rpc_server_.Handle<schema::LeaveRequest, schema::LeaveResponse>(
        "Leave", [this](const schema::LeaveRequest& request) {
          return membership_.HandleLeave(request, common::TimerService::Now());
        });
    rpc_server_.Handle<schema::GroupRequest, schema::GroupResponse>(
        "Group", [this](const schema::GroupRequest&) { return DescribeGroup(); });
  }

  std::string StartHttp() {
    const schema::ControlSettings& settings = options_.settings;
    if (options_.start_api) {
      auto api = options_.start_api(*this);
      if (!api.ok()) return api.error();
      api_ = std::move(api).value();
    }
    if (std::string problem = StartAdmin(); !problem.empty()) return problem;
    metrics_.AddGauge("briarwood_index", "Log index applied by this member",
                      [this] { return static_cast<double>(node_->applied_index().value()); });
    metrics_.AddGauge("briarwood_leader", "1 while this member leads",
                      [this] { return Leads() ? 1.0 : 0.0; });
    if (settings.node().metrics_listen().empty()) return {};
    auto status = observability::StatusServer::Start(settings.node().metrics_listen(), metrics_,
                                                     [this] { return Ready(); });
    if (!status.ok()) return status.error();
    status_server_ = std::move(status).value();
    return {};
  }

  std::string StartAdmin() {
    const schema::ControlSettings& settings = options_.settings;
    if (settings.admin_listen().empty()) return {};
    auto admin = AdminApi::Start({.listen = settings.admin_listen(),
                                  .certificate_file = settings.admin_tls().certificate_file(),
                                  .private_key_file = settings.admin_tls().private_key_file(),
                                  .operators_file = settings.operators_file()},
                                 *this);
    if (!admin.ok()) return admin.error();
    admin_ = std::move(admin).value();
    return {};
  }

  [[nodiscard]] bool Ready() const {
    const auto confirmation = node_->confirmation();
    return !draining_ && confirmation &&
           common::TimerService::Now() - confirmation->confirmed_at < kReadyMaxConfirmationAge;
  }

  [[nodiscard]] membership::NodeView OwnView() const {
    const schema::NodeSettings& settings = options_.settings.node();
    membership::NodeView view;
    view.identity.set_id(settings.id());
    view.identity.set_role(schema::NODE_ROLE_CONTROL);
    view.identity.set_incarnation(options_.incarnation.value());
    view.identity.set_failure_domain(settings.failure_domain());
    view.identity.set_rpc_address(rpc::AdvertisedAddress(settings, rpc_port_));
    view.index = node_->applied_index();
    view.ready = Ready();
    view.heard_at = common::TimerService::Now();
    return view;
  }

  void CreateDuties() {
    PlatformPort platform = options_.platform.value_or(PlatformPort{});
    const std::string& url = options_.settings.platform_url();
    if (!options_.platform && !url.empty()) platform = MakeHttpPlatform(url);
    duties_.emplace(
        DutyContext{.propose =
                        [this](const schema::Command& command) {
                          return node_->Propose(command, kProposeTimeout);
                        },
                    .may_send = [this] { return node_->WaitToSendOrders(kMaxSendWait); },
                    .fence = [this] { return node_->status().term; },
                    .read_state = [this](const auto& read) { ReadState(read); },
                    .wall_clock = [this] { return AgreedWallClock(); },
                    .take_dead = [this] { return fleet_.TakeDead(common::TimerService::Now()); },
                    .report_retry_delay = kUsageReportRetryDelay,
                    .holder_change = milliseconds(options_.settings.platform().holder_change_ms())},
        std::move(platform));
  }

  void RunDuties() {
    while (!WaitForStop(kDutyPeriod)) {
      ObserveClock(options_.settings.node().id(), WallClock());
      UpdateLeadership();
      duties_->Run();
    }
  }

  /// Switches the fleet view when this member gains or loses leadership, and runs the leader's
  /// periodic work.
  void UpdateLeadership() {
    const NodeStatus status = node_->status();
    const bool leads = status.role == consensus::Role::kLeader;
    if (!leads) {
      if (std::exchange(led_term_, common::Term()) != common::Term()) fleet_.StopLeading();
      return;
    }
    const bool new_term = std::exchange(led_term_, status.term) != status.term;
    if (new_term) {
      fleet_.BecomeLeader(common::TimerService::Now());
    }
    std::vector<schema::Customer> customers;
    const common::LogIndex changed =
        node_->WithState([](const ControlState& state) { return state.table().last_change(); });
    if (std::exchange(customers_index_, changed) == changed && !new_term) return;
    ReadState([&](const ControlState& state) {
      const auto& configured = state.documents().merged().customers();
      customers.assign(configured.begin(), configured.end());
    });
    fleet_.SetCustomers(customers);
  }

  void RunReports() {
    while (!WaitForStop(kReportPeriod)) {
      ReportToLeader();
      CheckRemoval();
    }
  }

  void ReportToLeader() {
    const NodeStatus status = node_->status();
    if (status.role == consensus::Role::kLeader || status.leader_rpc.empty()) return;
    const common::Time sent_at = common::TimerService::Now();
    const schema::MemberReport report = fleet_.MakeReport(id_, sent_at);
    try {
      const auto response =
          ClientTo(status.leader_rpc)
              .Call<schema::MemberReportResponse>("MemberReport", report, kReportTimeout);
      fleet_.HandleReportResponse(response, sent_at, common::TimerService::Now());
      if (!std::exchange(leader_unreachable_, false)) return;
      log_.Info(LogLine("leader_regained").Add("leader", status.leader_rpc).text());
    } catch (const rpc::RpcError& error) {
      // Logged once per outage, because an unreachable leader is contacted every second.
      if (std::exchange(leader_unreachable_, true)) return;
      log_.Warn(LogLine("leader_lost")
                    .Add("leader", status.leader_rpc)
                    .Add("problem", error.what())
                    .text());
    }
  }

  rpc::Client& ClientTo(const std::string& address) {
    const std::lock_guard lock(clients_mutex_);
    std::unique_ptr<rpc::Client>& client = clients_[address];
    if (!client) {
      client = std::make_unique<rpc::Client>(rpc::ClientOptions{
          .address = address, .credential = options_.credential, .ca_file = ca_file()});
    }
    return *client;
  }

  /// \returns true if the daemon stops within `period`.
  bool WaitForStop(milliseconds period) {
    std::unique_lock lock(stop_mutex_);
    return stop_changed_.wait_for(lock, period, [this] { return stopping_; });
  }

  void Stop() {
    {
      const std::lock_guard lock(stop_mutex_);
      stopping_ = true;
    }
    stop_changed_.notify_all();
    for (std::thread& thread : threads_) thread.join();
    api_.reset();
    admin_.reset();
    status_server_.reset();
    if (node_) node_->Stop();
    rpc_server_.Stop();
    if (removed_) EraseDataFolder();
  }

  /// Erases the data folder, so that the next daemon of this process joins as a new member.
  void EraseDataFolder() {
    node_.reset();
    try {
      EraseMember(files_, options_.settings.data_folder());
    } catch (const storage::StorageError& error) {
      log_.Error(LogLine("erase_failed").Add("problem", error.what()).text());
    }
  }

  ControlDaemonOptions options_;
  observability::Logger log_{"control"};
  storage::Files files_{FilesOf(options_.settings)};
  common::MemberId id_;
  std::vector<schema::ControlPeer> peers_;
  bool join_ = false;
  MembershipManager membership_{PlannerOptions(options_.settings), MakeMembershipContext()};
  mutable std::mutex seeds_mutex_;
  std::vector<std::string> seeds_{options_.settings.seeds().begin(),
                                  options_.settings.seeds().end()};
  mutable std::mutex clock_mutex_;
  AgreedClock agreed_clock_;
  std::mutex backends_mutex_;
  schema::BackendList backends_;
  std::optional<common::Time> backends_read_at_;
  /// Member ids of the processes that joined, by incarnation.
  std::mutex admission_mutex_;
  std::map<std::uint64_t, common::MemberId> admitted_ids_;
  common::Time started_at_ = common::TimerService::Now();
  std::atomic<bool> removed_ = false;
  bool leader_unreachable_ = false;
  observability::Metrics metrics_{observability::MetricsOptions{}};
  common::TimerService timers_;
  FleetView fleet_;
  distribution::SyncServer sync_server_;
  rpc::Server rpc_server_;
  std::uint16_t rpc_port_ = 0;
  std::unique_ptr<ControlNode> node_;
  std::shared_ptr<void> api_;
  std::unique_ptr<AdminApi> admin_;
  std::unique_ptr<observability::StatusServer> status_server_;
  std::optional<LeaderDuties> duties_;
  common::Term led_term_;
  /// Last change of the table from which the customers were read.
  common::LogIndex customers_index_;
  std::atomic<bool> draining_ = false;
  std::mutex clients_mutex_;
  std::map<std::string, std::unique_ptr<rpc::Client>> clients_;
  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

ControlDaemon::ControlDaemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

ControlDaemon::~ControlDaemon() = default;

common::Result<std::unique_ptr<ControlDaemon>> ControlDaemon::Start(ControlDaemonOptions options) {
  using StartResult = common::Result<std::unique_ptr<ControlDaemon>>;
  auto impl = std::make_unique<Impl>(std::move(options));
  if (std::string problem = impl->Start(); !problem.empty()) {
    return StartResult::Failure(std::move(problem));
  }
  return StartResult::Success(std::unique_ptr<ControlDaemon>(new ControlDaemon(std::move(impl))));
}

std::uint16_t ControlDaemon::rpc_port() const noexcept { return impl_->rpc_port(); }

std::uint16_t ControlDaemon::admin_port() const noexcept { return impl_->admin_port(); }

bool ControlDaemon::Leads() const { return impl_->Leads(); }

void ControlDaemon::SetSeeds(const std::vector<std::string>& seeds) { impl_->SetSeeds(seeds); }

bool ControlDaemon::Drain(std::chrono::milliseconds limit) { return impl_->Drain(limit); }

}  // namespace briarwood::control
