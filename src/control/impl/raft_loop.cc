#include "control/impl/raft_loop.h"

#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/consensus/error.h"
#include "briarwood/consensus/membership.h"

namespace briarwood::control {

namespace {

/// Further proposals are rejected, so that a stalled disk does not grow the queues without bound.
constexpr std::size_t kMaxPendingProposals = 16'384;

/// Interval between attempts of a leader with a full disk to transfer its leadership.
constexpr std::chrono::milliseconds kFullDiskTransferInterval{500};

const char* RoleName(consensus::Role role) noexcept {
  switch (role) {
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kPreCandidate:
      return "pre-candidate";
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kLeader:
      return "leader";
  }
  return "unknown";
}

}  // namespace

RaftLoop::RaftLoop(const NodeOptions& options, consensus::Raft raft,
                   const std::vector<schema::ControlPeer>& peers, MemberDisk disk, Applier& applier,
                   ProposalTable& proposals, std::function<void(const std::string&)> failed)
    : options_(options),
      raft_(std::move(raft)),
      applier_(applier),
      proposals_(proposals),
      failed_(std::move(failed)) {
  for (const schema::ControlPeer& peer : peers) {
    initial_addresses_[peer.member_id()] = peer.rpc_address();
  }
  disk_ = std::make_unique<DiskWorker>(
      std::move(disk),
      DiskWorker::Callbacks{
          .persisted = [this](consensus::Ticket ticket) { queue_.Push(PersistedEvent{ticket}); },
          .snapshot_saved =
              [this](OwnSnapshot saved) { queue_.Push(SnapshotSavedEvent{std::move(saved)}); },
          .failed =
              [this](const std::string& reason) {
                queue_.Close();
                failed_("disk: " + reason);
              },
          .full = [this](bool full) { disk_full_ = full; },
          .warning =
              [this](const std::string& text) {
                if (options_.log) options_.log("control: " + text);
              }});
  Publish();
  thread_ = std::thread([this] { Run(); });
}

RaftLoop::~RaftLoop() { Stop(); }

void RaftLoop::Stop() {
  queue_.Close();
  if (thread_.joinable()) thread_.join();
  disk_->Stop();
  for (auto& [id, sender] : senders_) sender->RequestStop();
  for (auto& sender : retired_senders_) sender->RequestStop();
  senders_.clear();
  retired_senders_.clear();
}

void RaftLoop::Run() {
  try {
    while (true) {
      std::vector<NodeEvent> events = queue_.PopAll();
      if (events.empty()) break;
      for (NodeEvent& event : events) {
        std::visit([this](auto& one) { On(one, common::TimerService::Now()); }, event);
      }
      // Actions are taken once per batch of events, so that proposals share appends and syncs.
      for (consensus::Action& action : raft_.TakeActions()) {
        std::visit([this](auto& one) { Do(std::move(one)); }, action);
      }
      Publish();
    }
  } catch (const consensus::ConsensusError& error) {
    queue_.Close();
    failed_(std::string("consensus: ") + error.what());
  }
  for (auto& [id, sender] : senders_) sender->RequestStop();
  for (auto& [id, promise] : std::exchange(reads_, {})) promise->set_value(std::nullopt);
  const std::lock_guard lock(published_mutex_);
  published_.role = consensus::Role::kFollower;
  published_.lease_end.reset();
  published_.orders_from.reset();
  published_changed_.notify_all();
}

void RaftLoop::On(TickEvent& /*event*/, common::Time now) {
  raft_.Tick(now);
  // A leader applies, and so acknowledges, only what is on its own disk; the others may have room.
  if (!disk_full_ || raft_.role() != consensus::Role::kLeader || now < next_transfer_) return;
  next_transfer_ = now + kFullDiskTransferInterval;
  static_cast<void>(raft_.TransferLeadership(common::MemberId(), now));
}

void RaftLoop::On(MessageEvent& event, common::Time now) { raft_.Receive(event.message, now); }

void RaftLoop::On(PersistedEvent& event, common::Time now) { raft_.Persisted(event.ticket, now); }

void RaftLoop::On(ProposeEvent& event, common::Time /*now*/) {
  std::optional<consensus::LogPosition> position;
  if (proposals_.size() < kMaxPendingProposals) position = raft_.Propose(std::move(event.payload));
  if (position) {
    proposals_.Add(*position, std::move(event.promise));
    return;
  }
  schema::ProposeResponse rejected;
  rejected.set_status(schema::ProposeResponse::STATUS_NOT_LEADER);
  rejected.set_leader_rpc(AddressOf(raft_.leader().value()));
  event.promise->set_value(std::move(rejected));
}

void RaftLoop::On(ReadEvent& event, common::Time now) {
  const consensus::ReadId id(next_read_id_++);
  reads_[id] = std::move(event.promise);
  raft_.Read(id, now);
}

void RaftLoop::On(ChangeEvent& event, common::Time /*now*/) {
  const auto changed = raft_.ChangeMembership(event.change);
  if (!changed.ok()) {
    event.rejection->set_value(changed.error());
    return;
  }
  proposals_.Add(changed.value(), std::move(event.applied));
  event.index->set_value(changed.value().index);
  event.rejection->set_value(std::nullopt);
}

void RaftLoop::On(TransferEvent& event, common::Time now) {
  static_cast<void>(raft_.TransferLeadership(event.target, now));
}

void RaftLoop::On(SnapshotTakenEvent& event, common::Time /*now*/) {
  const std::optional<common::Term> term = raft_.TermAt(event.index);
  // A snapshot received from the leader may have replaced the log in the meantime.
  if (!term) return;
  OwnSnapshot snapshot;
  snapshot.metadata.set_index(event.index.value());
  snapshot.metadata.set_term(term->value());
  *snapshot.metadata.mutable_membership() = raft_.MembershipAt(event.index);
  snapshot.metadata.set_size_bytes(event.data->size());
  snapshot.metadata.set_checksum(common::Hash64(*event.data));
  snapshot.data = std::move(event.data);
  disk_->Push(std::move(snapshot));
}

void RaftLoop::On(SnapshotSavedEvent& event, common::Time /*now*/) {
  raft_.Compact(event.snapshot.metadata, std::move(event.snapshot.data));
}

void RaftLoop::Do(consensus::SendMessage action) {
  if (PeerSender* sender = SenderTo(action.message.to())) sender->Push(std::move(action.message));
}

void RaftLoop::Do(consensus::ReadConfirmed action) {
  CompleteRead(action.id, ReadPoint{action.index, action.term});
}

void RaftLoop::Do(consensus::ReadFailed action) { CompleteRead(action.id, std::nullopt); }

void RaftLoop::CompleteRead(consensus::ReadId id, std::optional<ReadPoint> point) {
  const auto found = reads_.find(id);
  if (found == reads_.end()) return;
  found->second->set_value(point);
  reads_.erase(found);
}

std::string RaftLoop::AddressOf(std::uint64_t member) const {
  if (const schema::Member* found = consensus::FindMember(raft_.membership(), member)) {
    if (!found->rpc_address().empty()) return found->rpc_address();
  }
  const auto initial = initial_addresses_.find(member);
  return initial == initial_addresses_.end() ? std::string() : initial->second;
}

PeerSender* RaftLoop::SenderTo(std::uint64_t member) {
  const std::string address = AddressOf(member);
  if (address.empty()) return nullptr;
  std::unique_ptr<PeerSender>& sender = senders_[member];
  if (sender != nullptr && sender->address() != address) {
    sender->RequestStop();
    retired_senders_.push_back(std::move(sender));
  }
  if (sender == nullptr) {
    const common::Duration timeout = options_.timing.election_timeout;
    sender = std::make_unique<PeerSender>(
        rpc::ClientOptions{
            .address = address,
            .credential = options_.credential,
            .ca_file = options_.ca_file,
            .timeout = std::chrono::duration_cast<std::chrono::milliseconds>(timeout)},
        timeout / 2);
  }
  return sender.get();
}

void RaftLoop::Publish() {
  PublishedState next;
  next.role = raft_.role();
  next.term = raft_.term();
  next.leader = raft_.leader();
  next.leader_rpc = AddressOf(raft_.leader().value());
  next.commit_index = raft_.commit_index();
  next.membership = raft_.membership();
  if (next.role == consensus::Role::kLeader) {
    const common::Time now = common::TimerService::Now();
    for (const schema::Member& member : next.membership.members()) {
      const common::MemberId id(member.id());
      if (id == raft_.id()) continue;
      const auto sender = senders_.find(member.id());
      next.contacts.push_back({.id = id,
                               .match = raft_.MatchOf(id).value_or(common::LogIndex()),
                               .last_ack = raft_.LastAckOf(id),
                               .refused_since = sender == senders_.end()
                                                    ? std::nullopt
                                                    : sender->second->RefusedSince(now)});
    }
  }
  next.lease_end = raft_.lease_end();
  next.orders_from = raft_.orders_from();
  next.own_term_start = raft_.own_term_start();
  bool role_changed = false;
  {
    const std::lock_guard lock(published_mutex_);
    role_changed = next.role != published_.role || next.term != published_.term;
    published_ = next;
  }
  published_changed_.notify_all();
  if (role_changed) {
    Log(std::string(RoleName(next.role)) + " in term " + std::to_string(next.term.value()));
  }
}

void RaftLoop::Log(const std::string& line) const {
  if (options_.log) options_.log("consensus: " + line);
}

PublishedState RaftLoop::published() const {
  const std::lock_guard lock(published_mutex_);
  return published_;
}

bool RaftLoop::WaitPublished(const std::function<bool(const PublishedState&)>& done,
                             common::Time deadline) const {
  std::unique_lock lock(published_mutex_);
  return published_changed_.wait_until(lock, deadline, [&] { return done(published_); });
}

}  // namespace briarwood::control
