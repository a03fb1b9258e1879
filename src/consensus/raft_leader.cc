#include <algorithm>
#include <functional>
#include <utility>

#include "briarwood/consensus/raft.h"
#include "consensus/impl/raft_log.h"

namespace briarwood::consensus {

namespace {

constexpr std::size_t kMaxAppendBytes = std::size_t{128} * 1024;
constexpr std::size_t kSnapshotChunkBytes = std::size_t{256} * 1024;
/// Append requests with entries in flight to one member. The driver sends the messages to a member
/// one after the other, so that further requests would only wait in its queue for this member.
constexpr unsigned kMaxAppendsInFlight = 4;
constexpr std::size_t kMaxTrackedRounds = 1024;
/// A snapshot chunk is resent if it gets no response for this many heartbeat intervals.
constexpr int kChunkRetryHeartbeats = 3;

/// Largest value that a majority of the values reaches.
template <typename T>
T MajorityValue(std::vector<T> values) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

}  // namespace

std::size_t Raft::VoterCount() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(membership().members().begin(), membership().members().end(),
                    [](const schema::Member& member) { return member.voter(); }));
}

void Raft::RefreshProgress() {
  std::map<std::uint64_t, Progress> refreshed;
  for (const schema::Member& member : membership().members()) {
    if (member.id() == id_) continue;
    const auto known = progress_.find(member.id());
    if (known != progress_.end()) {
      refreshed[member.id()] = std::move(known->second);
    } else {
      refreshed[member.id()].next = log_->last_index() + 1;
    }
  }
  progress_ = std::move(refreshed);
}

std::optional<LogPosition> Raft::AppendAsLeader(schema::EntryKind kind, std::string payload) {
  schema::LogEntry entry;
  entry.set_index(log_->last_index() + 1);
  entry.set_term(term_);
  entry.set_kind(kind);
  entry.set_payload(std::move(payload));
  const LogPosition position{common::LogIndex(entry.index()), common::Term(term_)};
  log_->Append(entry);
  RecordMembership(entry);
  PersistNewEntries({std::move(entry)});
  return position;
}

std::optional<LogPosition> Raft::Propose(std::string payload) {
  if (role_ != Role::kLeader || transfer_target_ != 0) return std::nullopt;
  return AppendAsLeader(schema::ENTRY_KIND_COMMAND, std::move(payload));
}

std::optional<common::Time> Raft::QuorumContactTime(common::Time now) const {
  std::vector<common::Time> acked;
  for (const schema::Member& member : membership().members()) {
    if (!member.voter()) continue;
    const auto progress = progress_.find(member.id());
    if (member.id() == id_) {
      acked.push_back(now);
    } else if (progress != progress_.end() && progress->second.acked_round_sent_at) {
      acked.push_back(*progress->second.acked_round_sent_at);
    } else {
      acked.push_back(common::Time::min());
    }
  }
  if (acked.empty()) return std::nullopt;
  const common::Time majority = MajorityValue(std::move(acked));
  return majority == common::Time::min() ? std::nullopt : std::optional(majority);
}

std::optional<common::Time> Raft::lease_end() const {
  // Once the leadership transfer message is sent, the target may be elected at any time.
  if (role_ != Role::kLeader || transfer_sent_ || round_send_times_.empty()) return std::nullopt;
  const std::optional<common::Time> acked = QuorumContactTime(round_send_times_.back().second);
  return acked ? std::optional(*acked + timing_.lease()) : std::nullopt;
}

std::optional<common::Time> Raft::orders_from() const {
  if (role_ != Role::kLeader || !CurrentTermCommitted()) return std::nullopt;
  return leader_since_ + timing_.new_leader_delay();
}

bool Raft::CurrentTermCommitted() const { return commit_ >= term_start_index_; }

void Raft::LeaderTick(common::Time now) {
  if (!HeardLeaderRecently(now) || (transfer_sent_ && now >= transfer_deadline_)) {
    // Without contact to a majority the lease has ended. After a failed leadership transfer a new
    // term is needed, because the transfer message may still reach the target.
    BecomeFollower(term_, 0, now);
    return;
  }
  if (transfer_target_ != 0 && now >= transfer_deadline_) transfer_target_ = 0;
  if (now >= next_heartbeat_) StartRound(now);
}

void Raft::StartRound(common::Time now) {
  next_heartbeat_ = now + timing_.heartbeat;
  ++round_;
  round_send_times_.emplace_back(round_, now);
  if (round_send_times_.size() > kMaxTrackedRounds) round_send_times_.pop_front();
  for (const ReadId id : std::exchange(queued_reads_, {})) reads_.push_back({id, commit_, round_});
  for (auto& [id, progress] : progress_) SendHeartbeat(id, progress);
  ConfirmReads(now);
}

void Raft::SendHeartbeat(std::uint64_t to, Progress& progress) {
  progress.in_flight = 0;
  const std::optional<std::uint64_t> previous_term = log_->TermAt(progress.next - 1);
  schema::ConsensusMessage message = NewMessage(to);
  schema::AppendRequest& request = *message.mutable_append_request();
  // A member that needs the snapshot gets a heartbeat with previous index 0, which matches any log.
  request.set_previous_index(previous_term ? progress.next - 1 : 0);
  request.set_previous_term(previous_term.value_or(0));
  request.set_commit_index(commit_);
  request.set_round(round_);
  request.set_acknowledged_index(progress.match);
  Send(std::move(message));
  if (progress.chunk_in_flight && round_send_times_.back().second - progress.chunk_sent_at >=
                                      kChunkRetryHeartbeats * timing_.heartbeat) {
    progress.chunk_in_flight = false;
  }
}

void Raft::Replicate(std::uint64_t to, Progress& progress) {
  while (progress.next <= log_->last_index() && progress.in_flight < kMaxAppendsInFlight) {
    const std::optional<std::uint64_t> previous_term = log_->TermAt(progress.next - 1);
    if (!previous_term) {
      if (!progress.chunk_in_flight) SendSnapshotChunk(to, progress);
      return;
    }
    schema::ConsensusMessage message = NewMessage(to);
    schema::AppendRequest& request = *message.mutable_append_request();
    request.set_previous_index(progress.next - 1);
    request.set_previous_term(*previous_term);
    request.set_commit_index(commit_);
    request.set_round(round_);
    request.set_acknowledged_index(progress.match);
    for (schema::LogEntry& entry :
         log_->Slice(progress.next, log_->last_index(), kMaxAppendBytes)) {
      *request.add_entries() = std::move(entry);
    }
    progress.next += static_cast<std::uint64_t>(request.entries_size());
    ++progress.in_flight;
    Send(std::move(message));
  }
}

void Raft::SendSnapshotChunk(std::uint64_t to, Progress& progress) {
  if (progress.snapshot_data == nullptr || progress.snapshot.index() < log_->base_index()) {
    progress.snapshot = snapshot_;
    progress.snapshot_data = snapshot_data_;
    progress.snapshot_offset = 0;
  }
  const std::string& data = *progress.snapshot_data;
  const std::size_t offset = std::min<std::size_t>(progress.snapshot_offset, data.size());
  schema::ConsensusMessage message = NewMessage(to);
  schema::SnapshotChunk& chunk = *message.mutable_snapshot_chunk();
  *chunk.mutable_metadata() = progress.snapshot;
  chunk.set_offset(offset);
  chunk.set_data(data.substr(offset, kSnapshotChunkBytes));
  chunk.set_last(offset + chunk.data().size() == data.size());
  chunk.set_round(round_);
  progress.chunk_in_flight = true;
  progress.chunk_sent_at = round_send_times_.back().second;
  Send(std::move(message));
}

void Raft::RecordAck(Progress& progress, std::uint64_t round, common::Time now) {
  if (round <= progress.acked_round) return;
  const auto sent = std::lower_bound(
      round_send_times_.begin(), round_send_times_.end(), round,
      [](const auto& known, std::uint64_t wanted) { return known.first < wanted; });
  if (sent == round_send_times_.end() || sent->first != round) return;
  progress.acked_round = round;
  progress.acked_round_sent_at = sent->second;
  ConfirmReads(now);
}

void Raft::OnAppendResponse(const schema::ConsensusMessage& message, common::Time now) {
  const auto found = progress_.find(message.from());
  if (role_ != Role::kLeader || found == progress_.end()) return;
  Progress& progress = found->second;
  const schema::AppendResponse& response = message.append_response();
  RecordAck(progress, response.round(), now);
  if (!response.success()) {
    progress.next =
        std::min(std::max(progress.match, response.match_index()) + 1, log_->last_index() + 1);
    // A member that rejects entries it has acknowledged has lost its disk. It is probed again only
    // with the next heartbeat, because an immediate append would be rejected again without end.
    progress.in_flight = response.match_index() < progress.match ? kMaxAppendsInFlight : 0;
    return;
  }
  if (response.match_index() <= progress.match) return;
  progress.match = std::min(response.match_index(), log_->last_index());
  progress.next = std::max(progress.next, progress.match + 1);
  if (progress.in_flight > 0) --progress.in_flight;
  AdvanceCommit(now);
}

void Raft::OnChunkResponse(const schema::ConsensusMessage& message, common::Time now) {
  const auto found = progress_.find(message.from());
  if (role_ != Role::kLeader || found == progress_.end()) return;
  Progress& progress = found->second;
  const schema::SnapshotChunkResponse& response = message.snapshot_chunk_response();
  RecordAck(progress, response.round(), now);
  if (response.installed()) {
    progress.match = std::max(progress.match, response.snapshot_index());
    progress.next = std::max(progress.next, progress.match + 1);
    if (response.snapshot_index() == progress.snapshot.index()) progress.snapshot_data.reset();
    progress.chunk_in_flight = false;
    AdvanceCommit(now);
    return;
  }
  if (progress.snapshot_data == nullptr || response.snapshot_index() != progress.snapshot.index()) {
    return;
  }
  // A response with an unchanged offset belongs to a duplicate chunk.
  if (response.next_offset() == progress.snapshot_offset) return;
  progress.snapshot_offset = response.next_offset();
  // At the end of the data the member writes the snapshot. The chunk counts as in flight until the
  // member reports the installation or a heartbeat allows a resend.
  progress.chunk_in_flight = response.next_offset() >= progress.snapshot_data->size();
}

void Raft::AdvanceCommit(common::Time now) {
  std::vector<std::uint64_t> matched;
  for (const schema::Member& member : membership().members()) {
    if (!member.voter()) continue;
    if (member.id() == id_) {
      matched.push_back(durable_index_);
    } else {
      const auto progress = progress_.find(member.id());
      matched.push_back(progress == progress_.end() ? 0 : progress->second.match);
    }
  }
  if (matched.empty()) return;
  const std::uint64_t majority = MajorityValue(std::move(matched));
  // Only entries of the current term are committed by counting replicas; this also commits all
  // earlier entries.
  if (majority > commit_ && log_->TermAt(majority) == term_) SetCommit(majority, now);
}

bool Raft::TransferLeadership(common::MemberId target, common::Time now) {
  if (role_ != Role::kLeader || transfer_target_ != 0) return false;
  std::uint64_t chosen = target.value();
  // A voter that has stopped may hold as many entries as the others.
  std::pair<bool, std::uint64_t> best;
  for (const auto& [id, progress] : progress_) {
    if (target.value() != 0 || !IsVoter(id)) continue;
    const bool answers = progress.acked_round_sent_at &&
                         now - *progress.acked_round_sent_at < timing_.election_timeout;
    const std::pair candidate(answers, progress.match);
    if (chosen == 0 || candidate > best) {
      chosen = id;
      best = candidate;
    }
  }
  if (chosen == id_ || !IsVoter(chosen)) return false;
  transfer_target_ = chosen;
  transfer_deadline_ = now + timing_.election_timeout;
  return true;
}

void Raft::SendTransferWhenReady() {
  if (transfer_target_ == 0 || transfer_sent_) return;
  const auto progress = progress_.find(transfer_target_);
  if (progress == progress_.end() || progress->second.match < log_->last_index()) return;
  transfer_sent_ = true;
  schema::ConsensusMessage message = NewMessage(transfer_target_);
  message.mutable_transfer_leadership();
  Send(std::move(message));
}

}  // namespace briarwood::consensus
