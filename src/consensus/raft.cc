#include "briarwood/consensus/raft.h"

#include <algorithm>
#include <utility>

#include "briarwood/consensus/error.h"
#include "consensus/impl/raft_log.h"

namespace briarwood::consensus {

namespace {

/// Entries kept in memory below a snapshot, so that a member that is slightly behind does not need
/// the whole snapshot.
constexpr std::uint64_t kTrailingEntries = 512;

std::optional<std::string> ValidateDurableState(std::uint64_t id, const DurableState& state) {
  const std::uint64_t owner = state.hard_state.member_id();
  if (owner != 0 && owner != id) {
    return "the log belongs to member " + std::to_string(owner) + ", not to member " +
           std::to_string(id);
  }
  std::uint64_t expected = state.snapshot.index() + 1;
  for (const schema::LogEntry& entry : state.entries) {
    if (entry.index() != expected) {
      return "log entry " + std::to_string(entry.index()) + " found where " +
             std::to_string(expected) + " is expected";
    }
    ++expected;
  }
  if (state.snapshot.index() != 0 && state.snapshot_data == nullptr) {
    return "the snapshot has no data";
  }
  return std::nullopt;
}

}  // namespace

common::Result<Raft> Raft::Create(const Options& options, DurableState state, common::Time now) {
  if (options.id.value() == 0) return common::Result<Raft>::Failure("member id is zero");
  if (const std::optional<std::string> problem = ValidateDurableState(options.id.value(), state)) {
    return common::Result<Raft>::Failure(*problem);
  }
  try {
    return common::Result<Raft>::Success(Raft(options, std::move(state), now));
  } catch (const ConsensusError& error) {
    return common::Result<Raft>::Failure(error.what());
  }
}

Raft::Raft(const Options& options, DurableState state, common::Time now)
    : id_(options.id.value()),
      timing_(options.timing),
      random_(options.seed),
      term_(state.hard_state.term()),
      voted_for_(state.hard_state.voted_for()),
      without_durable_state_(state.hard_state.term() == 0 && state.snapshot.index() == 0 &&
                             state.entries.empty()),
      log_(std::make_unique<RaftLog>(state.snapshot.index(), state.snapshot.term())),
      commit_(state.snapshot.index()),
      applied_(state.snapshot.index()),
      snapshot_(std::move(state.snapshot)),
      snapshot_data_(std::move(state.snapshot_data)) {
  memberships_[snapshot_.index()] =
      snapshot_.index() == 0 ? options.initial_membership : snapshot_.membership();
  for (schema::LogEntry& entry : state.entries) {
    RecordMembership(entry);
    log_->Append(std::move(entry));
  }
  durable_index_ = log_->last_index();
  // The member may have acknowledged a leader just before it stopped, so it rejects vote requests
  // as if it had just heard from one.
  if (!without_durable_state_) last_leader_contact_ = now;
  ResetElectionDeadline(now);
}

Raft::Raft(Raft&&) noexcept = default;
Raft& Raft::operator=(Raft&&) noexcept = default;
Raft::~Raft() = default;

void Raft::Tick(common::Time now) {
  if (role_ == Role::kLeader) {
    LeaderTick(now);
  } else if (now >= election_deadline_ && !HeardLeaderRecently(now)) {
    leader_ = 0;
    if (IsVoter(id_) && !MayLackAckedEntries()) {
      StartPreVote(now);
    } else {
      ResetElectionDeadline(now);
    }
  }
}

std::vector<Action> Raft::TakeActions() {
  if (role_ == Role::kLeader) {
    for (auto& [id, progress] : progress_) Replicate(id, progress);
    SendTransferWhenReady();
  }
  return std::exchange(actions_, {});
}

void Raft::Compact(const schema::SnapshotMetadata& metadata,
                   std::shared_ptr<const std::string> data) {
  if (metadata.index() <= snapshot_.index() || metadata.index() > applied_) return;
  snapshot_ = metadata;
  snapshot_data_ = std::move(data);
  if (metadata.index() > log_->base_index() + kTrailingEntries) {
    log_->DropThrough(metadata.index() - kTrailingEntries);
  }
  const auto in_force = std::prev(memberships_.upper_bound(metadata.index()));
  memberships_.erase(memberships_.begin(), in_force);
}

common::LogIndex Raft::last_index() const noexcept { return common::LogIndex(log_->last_index()); }

const schema::Membership& Raft::membership() const noexcept {
  return memberships_.rbegin()->second;
}

const schema::Membership& Raft::MembershipAt(common::LogIndex index) const noexcept {
  const auto after = memberships_.upper_bound(index.value());
  return after == memberships_.begin() ? after->second : std::prev(after)->second;
}

std::optional<common::Term> Raft::TermAt(common::LogIndex index) const noexcept {
  const std::optional<std::uint64_t> term = log_->TermAt(index.value());
  return term ? std::optional(common::Term(*term)) : std::nullopt;
}

std::optional<common::LogIndex> Raft::MatchOf(common::MemberId member) const noexcept {
  const auto progress = progress_.find(member.value());
  if (role_ != Role::kLeader || progress == progress_.end()) return std::nullopt;
  return common::LogIndex(progress->second.match);
}

std::optional<common::Time> Raft::LastAckOf(common::MemberId member) const noexcept {
  const auto progress = progress_.find(member.value());
  if (role_ != Role::kLeader || progress == progress_.end()) return std::nullopt;
  return progress->second.acked_round_sent_at;
}

bool Raft::IsVoter(std::uint64_t id) const noexcept {
  const schema::Member* member = FindMember(membership(), id);
  return member != nullptr && member->voter();
}

Ticket Raft::NextTicket() noexcept {
  last_ticket_ = Ticket(last_ticket_.value() + 1);
  return last_ticket_;
}

void Raft::PersistTerm() {
  hard_state_ticket_ = NextTicket();
  schema::HardState state;
  state.set_term(term_);
  state.set_voted_for(voted_for_);
  state.set_member_id(id_);
  actions_.emplace_back(PersistHardState{hard_state_ticket_, std::move(state)});
  without_durable_state_ = false;
}

void Raft::PersistNewEntries(std::vector<schema::LogEntry> entries) {
  const Ticket ticket = NextTicket();
  pending_writes_.push_back({ticket, entries.back().index()});
  actions_.emplace_back(PersistEntries{ticket, std::move(entries)});
  without_durable_state_ = false;
}

void Raft::TruncateFrom(std::uint64_t index) {
  if (index <= commit_) {
    throw ConsensusError("entry " + std::to_string(index) +
                         " is committed but the leader replaces it");
  }
  log_->TruncateFrom(index);
  memberships_.erase(memberships_.lower_bound(index), memberships_.end());
  durable_index_ = std::min(durable_index_, index - 1);
  for (PendingWrite& write : pending_writes_) {
    write.last_index = std::min(write.last_index, index - 1);
  }
}

void Raft::RecordMembership(const schema::LogEntry& entry) {
  if (entry.kind() != schema::ENTRY_KIND_MEMBERSHIP) return;
  schema::Membership membership;
  if (!membership.ParseFromString(entry.payload())) {
    throw ConsensusError("membership entry " + std::to_string(entry.index()) + " is not readable");
  }
  memberships_[entry.index()] = std::move(membership);
}

void Raft::Persisted(Ticket ticket, common::Time now) {
  durable_ticket_ = std::max(durable_ticket_, ticket);
  while (!pending_writes_.empty() && pending_writes_.front().ticket <= durable_ticket_) {
    durable_index_ = pending_writes_.front().last_index;
    pending_writes_.pop_front();
  }
  while (!deferred_messages_.empty() && deferred_messages_.front().after <= durable_ticket_) {
    // An acknowledgement from an earlier term may cover entries that have been replaced since.
    if (deferred_messages_.front().message.term() >= term_) {
      actions_.emplace_back(SendMessage{std::move(deferred_messages_.front().message)});
    }
    deferred_messages_.pop_front();
  }
  if (pending_install_ && pending_install_->ticket <= durable_ticket_) FinishInstall();
  if (role_ == Role::kCandidate && own_vote_ticket_ && *own_vote_ticket_ <= durable_ticket_) {
    own_vote_ticket_.reset();
    CountVote(id_, now);
  }
  if (role_ == Role::kLeader) AdvanceCommit(now);
  EmitApply();
}

void Raft::SetCommit(std::uint64_t index, common::Time now) {
  if (index <= commit_) return;
  commit_ = index;
  EmitApply();
  if (role_ == Role::kLeader && memberships_.rbegin()->first <= commit_ && !IsVoter(id_)) {
    BecomeFollower(term_, 0, now);
  }
}

void Raft::EmitApply() {
  // Entries up to the base are covered by a snapshot that is not durable yet.
  if (applied_ < log_->base_index() && pending_install_) return;
  const std::uint64_t last = std::min(commit_, durable_index_);
  if (last <= applied_) return;
  actions_.emplace_back(ApplyEntries{log_->Slice(applied_ + 1, last, SIZE_MAX)});
  applied_ = last;
}

schema::ConsensusMessage Raft::NewMessage(std::uint64_t to) const {
  schema::ConsensusMessage message;
  message.set_from(id_);
  message.set_to(to);
  message.set_term(term_);
  return message;
}

void Raft::Send(schema::ConsensusMessage message, Ticket after) {
  if (after <= durable_ticket_) {
    actions_.emplace_back(SendMessage{std::move(message)});
  } else {
    deferred_messages_.push_back({after, std::move(message)});
  }
}

}  // namespace briarwood::consensus
