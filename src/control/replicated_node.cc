#include "briarwood/control/replicated_node.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "briarwood/common/message_text.h"
#include "briarwood/common/random.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/error.h"
#include "control/impl/applier.h"
#include "control/impl/raft_loop.h"

namespace briarwood::control {

using common::Time;
using common::TimerService;
using std::chrono::milliseconds;

namespace {

/// Election timing is bounded by the heartbeat interval, so finer ticks would not improve it.
constexpr int kTicksPerHeartbeat = 5;
constexpr milliseconds kConfirmTimeout{1000};
constexpr milliseconds kFirstConfirmationPeriod{30};

schema::ProposeResponse ResponseOf(schema::ProposeResponse::Status status) {
  schema::ProposeResponse response;
  response.set_status(status);
  return response;
}

schema::ProposeResponse InvalidCommand() {
  schema::ProposeResponse response = ResponseOf(schema::ProposeResponse::STATUS_APPLIED);
  response.mutable_result()->set_code(schema::RESULT_CODE_INVALID);
  response.mutable_result()->set_message("the command cannot be read back");
  return response;
}

}  // namespace

class ReplicatedNode::Impl {
 public:
  std::optional<std::string> Open(NodeOptions options, rpc::Server& server, TimerService& timers,
                                  std::unique_ptr<StateMachine> state);
  void Start(const std::vector<schema::ControlPeer>& peers, bool join);
  void Stop();

  schema::ProposeResponse Propose(const schema::Command& command, milliseconds timeout);
  common::Result<common::LogIndex> ChangeMembership(const consensus::MembershipChange& change,
                                                    milliseconds timeout);
  bool TransferLeadership(common::MemberId target, milliseconds timeout);
  bool ConfirmRead(milliseconds timeout);
  std::optional<Confirmation> confirmation() const;
  std::optional<common::Term> OrderFencingToken(Time now) const;
  bool WaitToSendOrders(milliseconds timeout) const;
  NodeStatus status() const;

  Applier& applier() { return *applier_; }
  void OnApplied(AppliedCallback callback) { applied_.push_back(std::move(callback)); }

 private:
  void RegisterMethods(rpc::Server& server);
  /// \returns nullptr before Start and after Stop.
  std::shared_ptr<RaftLoop> loop() const;
  std::shared_ptr<RaftLoop> RequireLoop() const;
  /// Confirms a read point as the leader.
  std::optional<ReadPoint> ReadIndexLocally(milliseconds timeout);
  /// Requests a confirmed read point from the leader.
  std::optional<ReadPoint> ReadIndexFromLeader(milliseconds timeout);
  std::optional<ReadPoint> ReadIndex(milliseconds timeout);
  [[nodiscard]] bool AllowsOrders(const PublishedState& state, Time now) const;
  rpc::Client& ClientTo(const std::string& address);
  void ConfirmOnce();
  void RunConfirmations();
  void Fail(const std::string& reason);

  NodeOptions options_;
  TimerService* timers_ = nullptr;
  std::vector<AppliedCallback> applied_;
  storage::FolderLock folder_lock_;
  std::optional<MemberDisk> disk_;
  consensus::DurableState durable_;
  ProposalTable proposals_;
  std::unique_ptr<Applier> applier_;

  mutable std::mutex mutex_;
  std::shared_ptr<RaftLoop> loop_;
  std::optional<Confirmation> confirmation_;
  std::string failure_;
  std::map<std::string, std::unique_ptr<rpc::Client>> clients_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;

  TimerService::Subscription ticks_;
  std::thread confirmation_thread_;
};

std::optional<std::string> ReplicatedNode::Impl::Open(NodeOptions options, rpc::Server& server,
                                                      TimerService& timers,
                                                      std::unique_ptr<StateMachine> state) {
  options_ = std::move(options);
  timers_ = &timers;
  auto lock = options_.files.Lock(options_.data_folder);
  if (!lock.ok()) return lock.error();
  folder_lock_ = std::move(lock).value();
  auto disk = MemberDisk::Open(options_.files, options_.data_folder, options_.segment_bytes);
  if (!disk.ok()) return disk.error();
  disk_.emplace(std::move(disk).value());
  durable_ = disk_->TakeState();
  applier_ =
      std::make_unique<Applier>(std::move(state), proposals_, options_.snapshot_every_entries);
  if (durable_.snapshot.index() != 0) {
    const auto problem =
        applier_->Load(common::LogIndex(durable_.snapshot.index()), *durable_.snapshot_data);
    if (problem) return "snapshot is not usable: " + *problem;
  }
  RegisterMethods(server);
  return std::nullopt;
}

void ReplicatedNode::Impl::RegisterMethods(rpc::Server& server) {
  server.Handle<schema::ConsensusMessage, schema::ConsensusMessage>(
      "Consensus", [this](const schema::ConsensusMessage& message) {
        RequireLoop()->Push(MessageEvent{message});
        return schema::ConsensusMessage();
      });
  server.Handle<schema::ProposeRequest, schema::ProposeResponse>(
      "Propose", [this](const schema::ProposeRequest& request) {
        return Propose(request.command(), milliseconds(request.timeout_ms()));
      });
  server.Handle<schema::ConfirmReadRequest, schema::ConfirmReadResponse>(
      "ConfirmRead", [this](const schema::ConfirmReadRequest&) {
        const std::optional<ReadPoint> point = ReadIndexLocally(kConfirmTimeout);
        schema::ConfirmReadResponse response;
        response.set_confirmed(point.has_value());
        if (point) {
          response.set_term(point->term.value());
          response.set_index(point->index.value());
        }
        return response;
      });
  server.Handle<schema::ReadFenceRequest, schema::ReadFenceResponse>(
      "ReadFence", [this](const schema::ReadFenceRequest&) {
        const std::optional<ReadPoint> point = ReadIndex(kConfirmTimeout);
        schema::ReadFenceResponse response;
        response.set_confirmed(point.has_value());
        if (point) response.set_fence(point->term.value());
        return response;
      });
}

void ReplicatedNode::Impl::Start(const std::vector<schema::ControlPeer>& peers, bool join) {
  consensus::Options raft_options{
      .id = options_.id, .timing = options_.timing, .seed = common::SystemSeed()};
  if (!join) {
    for (const schema::ControlPeer& peer : peers) {
      schema::Member& member = *raft_options.initial_membership.add_members();
      member.set_id(peer.member_id());
      member.set_rpc_address(peer.rpc_address());
      member.set_failure_domain(peer.failure_domain());
      member.set_voter(true);
    }
  }
  auto raft = consensus::Raft::Create(raft_options, std::move(durable_), TimerService::Now());
  if (!raft.ok()) throw common::Error("log is not usable: " + raft.error());
  auto failed = [this](const std::string& reason) { Fail(reason); };
  auto loop = std::make_shared<RaftLoop>(options_, std::move(raft).value(), peers,
                                         std::move(*disk_), *applier_, proposals_, failed);
  applier_->Start({.applied = std::move(applied_),
                   .snapshot_taken =
                       [loop](common::LogIndex index, std::shared_ptr<const std::string> data) {
                         loop->Push(SnapshotTakenEvent{index, std::move(data)});
                       },
                   .failed = failed,
                   .warning =
                       [this](const std::string& text) {
                         if (options_.log) options_.log("control: " + text);
                       }});
  {
    const std::lock_guard lock(mutex_);
    loop_ = loop;
  }
  ticks_ = timers_->Subscribe(options_.timing.heartbeat / kTicksPerHeartbeat,
                              [loop](Time) { loop->Push(TickEvent{}); });
  confirmation_thread_ = std::thread([this] { RunConfirmations(); });
}

void ReplicatedNode::Impl::Stop() {
  std::shared_ptr<RaftLoop> loop;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    loop = loop_;
  }
  stop_changed_.notify_all();
  if (loop == nullptr) return;
  ticks_ = {};
  loop->Stop();
  applier_->Stop();
  proposals_.AbandonThrough(UINT64_MAX);
  if (confirmation_thread_.joinable()) confirmation_thread_.join();
}

void ReplicatedNode::Impl::Fail(const std::string& reason) {
  {
    const std::lock_guard lock(mutex_);
    if (!failure_.empty()) return;
    failure_ = reason;
    if (loop_ != nullptr) loop_->Halt();
  }
  proposals_.AbandonThrough(UINT64_MAX);
  if (options_.log) options_.log("control: member failed: " + reason);
  if (options_.on_failure) options_.on_failure(reason);
}

std::shared_ptr<RaftLoop> ReplicatedNode::Impl::loop() const {
  const std::lock_guard lock(mutex_);
  return stopping_ || !failure_.empty() ? nullptr : loop_;
}

std::shared_ptr<RaftLoop> ReplicatedNode::Impl::RequireLoop() const {
  std::shared_ptr<RaftLoop> running = loop();
  if (running == nullptr) throw rpc::RpcError("the control member is not running", true);
  return running;
}

schema::ProposeResponse ReplicatedNode::Impl::Propose(const schema::Command& command,
                                                      milliseconds timeout) {
  const std::shared_ptr<RaftLoop> running = loop();
  if (running == nullptr) return ResponseOf(schema::ProposeResponse::STATUS_NOT_LEADER);
  auto promise = std::make_shared<ProposalPromise>();
  std::future<schema::ProposeResponse> answer = promise->get_future();
  schema::Command prepared = command;
  if (options_.prepare) options_.prepare(prepared);
  // A command that is in the log and cannot be read back would stop every member.
  if (!common::IsReadable(prepared)) return InvalidCommand();
  if (!running->Push(ProposeEvent{prepared.SerializeAsString(), std::move(promise)})) {
    return ResponseOf(schema::ProposeResponse::STATUS_NOT_LEADER);
  }
  try {
    if (answer.wait_for(timeout) == std::future_status::ready) return answer.get();
  } catch (const std::future_error&) {
    // The node stopped before or while it processed the proposal.
    return ResponseOf(schema::ProposeResponse::STATUS_UNKNOWN);
  }
  return ResponseOf(schema::ProposeResponse::STATUS_UNKNOWN);
}

common::Result<common::LogIndex> ReplicatedNode::Impl::ChangeMembership(
    const consensus::MembershipChange& change, milliseconds timeout) {
  using IndexResult = common::Result<common::LogIndex>;
  const std::shared_ptr<RaftLoop> running = loop();
  auto rejection = std::make_shared<ChangePromise>();
  auto applied = std::make_shared<ProposalPromise>();
  auto index = std::make_shared<std::promise<common::LogIndex>>();
  auto rejection_answer = rejection->get_future();
  auto applied_answer = applied->get_future();
  auto index_answer = index->get_future();
  if (running == nullptr || !running->Push(ChangeEvent{change, std::move(rejection),
                                                       std::move(applied), std::move(index)})) {
    return IndexResult::Failure("the control member is not running");
  }
  const Time deadline = TimerService::Now() + timeout;
  try {
    if (rejection_answer.wait_until(deadline) == std::future_status::ready) {
      const std::optional<consensus::MembershipError> error = rejection_answer.get();
      if (error) return IndexResult::Failure(consensus::ToString(*error));
      if (applied_answer.wait_until(deadline) == std::future_status::ready &&
          applied_answer.get().status() == schema::ProposeResponse::STATUS_APPLIED) {
        return IndexResult::Success(index_answer.get());
      }
    }
  } catch (const std::future_error&) {
    return IndexResult::Failure("the control member stopped before the change was committed");
  }
  return IndexResult::Failure("the change was not committed in time; it may be committed later");
}

bool ReplicatedNode::Impl::TransferLeadership(common::MemberId target, milliseconds timeout) {
  const std::shared_ptr<RaftLoop> running = loop();
  if (running == nullptr) return false;
  if (running->published().role != consensus::Role::kLeader) return true;
  running->Push(TransferEvent{target});
  return running->WaitPublished(
      [this](const PublishedState& state) {
        return state.role != consensus::Role::kLeader && state.leader.value() != 0 &&
               state.leader != options_.id;
      },
      TimerService::Now() + timeout);
}

std::optional<ReadPoint> ReplicatedNode::Impl::ReadIndexLocally(milliseconds timeout) {
  const std::shared_ptr<RaftLoop> running = loop();
  auto promise = std::make_shared<std::promise<std::optional<ReadPoint>>>();
  auto answer = promise->get_future();
  if (running == nullptr || !running->Push(ReadEvent{std::move(promise)})) return std::nullopt;
  try {
    if (answer.wait_for(timeout) == std::future_status::ready) return answer.get();
  } catch (const std::future_error&) {
    return std::nullopt;
  }
  return std::nullopt;
}

rpc::Client& ReplicatedNode::Impl::ClientTo(const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::unique_ptr<rpc::Client>& client = clients_[address];
  if (client == nullptr) {
    client = std::make_unique<rpc::Client>(rpc::ClientOptions{.address = address,
                                                              .credential = options_.credential,
                                                              .ca_file = options_.ca_file,
                                                              .timeout = kConfirmTimeout});
  }
  return *client;
}

std::optional<ReadPoint> ReplicatedNode::Impl::ReadIndexFromLeader(milliseconds timeout) {
  const std::shared_ptr<RaftLoop> running = loop();
  if (running == nullptr) return std::nullopt;
  const PublishedState state = running->published();
  if (state.leader_rpc.empty() || state.leader == options_.id) return std::nullopt;
  try {
    const auto response = ClientTo(state.leader_rpc)
                              .Call<schema::ConfirmReadResponse>(
                                  "ConfirmRead", schema::ConfirmReadRequest(), timeout);
    if (!response.confirmed()) return std::nullopt;
    return ReadPoint{common::LogIndex(response.index()), common::Term(response.term())};
  } catch (const rpc::RpcError&) {
    return std::nullopt;
  }
}

std::optional<ReadPoint> ReplicatedNode::Impl::ReadIndex(milliseconds timeout) {
  const std::shared_ptr<RaftLoop> running = loop();
  if (running == nullptr) return std::nullopt;
  return running->published().role == consensus::Role::kLeader ? ReadIndexLocally(timeout)
                                                               : ReadIndexFromLeader(timeout);
}

bool ReplicatedNode::Impl::ConfirmRead(milliseconds timeout) {
  const Time deadline = TimerService::Now() + timeout;
  const std::optional<ReadPoint> point = ReadIndex(timeout);
  return point && applier_->WaitApplied(point->index, deadline);
}

void ReplicatedNode::Impl::ConfirmOnce() {
  const Time requested_at = TimerService::Now();
  const std::optional<ReadPoint> point = ReadIndex(kConfirmTimeout);
  if (!point || !applier_->WaitApplied(point->index, requested_at + kConfirmTimeout)) return;
  const std::lock_guard lock(mutex_);
  // A late answer of a previous leader must not decrease the fencing token.
  if (confirmation_ && point->term < confirmation_->fencing_token) return;
  confirmation_ = Confirmation{requested_at, point->term, point->index};
}

void ReplicatedNode::Impl::RunConfirmations() {
  while (true) {
    const Time started = TimerService::Now();
    ConfirmOnce();
    std::unique_lock lock(mutex_);
    // The first confirmation is retried sooner, since the member cannot serve reads before it.
    const Time next =
        started + (confirmation_ ? options_.confirmation_period
                                 : std::min<common::Duration>(kFirstConfirmationPeriod,
                                                              options_.confirmation_period));
    stop_changed_.wait_until(lock, next, [this] { return stopping_; });
    if (stopping_) return;
  }
}

std::optional<Confirmation> ReplicatedNode::Impl::confirmation() const {
  const std::lock_guard lock(mutex_);
  return confirmation_;
}

bool ReplicatedNode::Impl::AllowsOrders(const PublishedState& state, Time now) const {
  return state.role == consensus::Role::kLeader && state.lease_end && state.orders_from &&
         now >= *state.orders_from && now + options_.timing.send_margin() < *state.lease_end &&
         applier_->applied_index() >= state.own_term_start;
}

std::optional<common::Term> ReplicatedNode::Impl::OrderFencingToken(Time now) const {
  const std::shared_ptr<RaftLoop> running = loop();
  if (running == nullptr) return std::nullopt;
  const PublishedState state = running->published();
  return AllowsOrders(state, now) ? std::optional(state.term) : std::nullopt;
}

bool ReplicatedNode::Impl::WaitToSendOrders(milliseconds timeout) const {
  const std::shared_ptr<RaftLoop> running = loop();
  if (running == nullptr) return false;
  bool allowed = false;
  static_cast<void>(running->WaitPublished(
      [&](const PublishedState& state) {
        allowed = AllowsOrders(state, TimerService::Now());
        return allowed || state.role != consensus::Role::kLeader;
      },
      TimerService::Now() + timeout));
  return allowed;
}

NodeStatus ReplicatedNode::Impl::status() const {
  NodeStatus status;
  status.id = options_.id;
  status.applied_index = applier_->applied_index();
  const std::shared_ptr<RaftLoop> running = loop();
  if (running != nullptr) {
    PublishedState state = running->published();
    status.role = state.role;
    status.term = state.term;
    status.leader = state.leader;
    status.leader_rpc = std::move(state.leader_rpc);
    status.commit_index = state.commit_index;
    status.membership = std::move(state.membership);
    status.contacts = std::move(state.contacts);
  }
  const std::lock_guard lock(mutex_);
  status.failure = failure_;
  return status;
}

ReplicatedNode::ReplicatedNode() : impl_(std::make_unique<Impl>()) {}

ReplicatedNode::~ReplicatedNode() { impl_->Stop(); }

std::optional<std::string> ReplicatedNode::Open(NodeOptions options, rpc::Server& server,
                                                TimerService& timers,
                                                std::unique_ptr<StateMachine> state) {
  return impl_->Open(std::move(options), server, timers, std::move(state));
}

void ReplicatedNode::Start(const std::vector<schema::ControlPeer>& peers, bool join) {
  impl_->Start(peers, join);
}

void ReplicatedNode::Stop() { impl_->Stop(); }

schema::ProposeResponse ReplicatedNode::Propose(const schema::Command& command,
                                                Milliseconds timeout) {
  return impl_->Propose(command, timeout);
}

common::Result<common::LogIndex> ReplicatedNode::ChangeMembership(
    const consensus::MembershipChange& change, Milliseconds timeout) {
  return impl_->ChangeMembership(change, timeout);
}

bool ReplicatedNode::TransferLeadership(common::MemberId target, Milliseconds timeout) {
  return impl_->TransferLeadership(target, timeout);
}

bool ReplicatedNode::ConfirmRead(Milliseconds timeout) { return impl_->ConfirmRead(timeout); }

std::optional<Confirmation> ReplicatedNode::confirmation() const { return impl_->confirmation(); }

std::optional<common::Term> ReplicatedNode::OrderFencingToken(Time now) const {
  return impl_->OrderFencingToken(now);
}

bool ReplicatedNode::WaitToSendOrders(milliseconds timeout) const {
  return impl_->WaitToSendOrders(timeout);
}

NodeStatus ReplicatedNode::status() const { return impl_->status(); }

common::LogIndex ReplicatedNode::applied_index() const { return impl_->applier().applied_index(); }

void ReplicatedNode::OnApplied(AppliedCallback callback) { impl_->OnApplied(std::move(callback)); }

void ReplicatedNode::ReadState(const std::function<void(const StateMachine&)>& read) const {
  impl_->applier().Read(read);
}

}  // namespace briarwood::control
