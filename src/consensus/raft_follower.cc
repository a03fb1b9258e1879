#include <algorithm>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/consensus/error.h"
#include "briarwood/consensus/raft.h"
#include "consensus/impl/raft_log.h"

namespace briarwood::consensus {

void Raft::OnLeaderContact(std::uint64_t from, common::Time now) {
  if (role_ == Role::kLeader) throw ConsensusError("another leader in the same term");
  if (role_ != Role::kFollower || leader_ != from) BecomeFollower(term_, from, now);
  last_leader_contact_ = now;
  ResetElectionDeadline(now);
}

void Raft::OnAppendRequest(const schema::ConsensusMessage& message, common::Time now) {
  const schema::AppendRequest& request = message.append_request();
  OnLeaderContact(message.from(), now);
  if (!max_acked_index_known_ && log_->last_index() == 0) {
    max_acked_index_ = std::max(request.acknowledged_index(), request.commit_index());
  }
  max_acked_index_known_ = true;
  schema::ConsensusMessage reply = NewMessage(message.from());
  schema::AppendResponse& response = *reply.mutable_append_response();
  response.set_round(request.round());
  const std::uint64_t previous = request.previous_index();
  const bool below_base = previous < log_->base_index();
  if (!below_base && log_->TermAt(previous) != request.previous_term()) {
    response.set_match_index(previous > log_->last_index()
                                 ? log_->last_index()
                                 : log_->LastIndexOfEarlierTerm(previous));
    Send(std::move(reply));
    return;
  }
  response.set_success(true);
  AppendFrom(request);
  const std::uint64_t matched = previous + static_cast<std::uint64_t>(request.entries_size());
  if (request.entries_size() == 0) {
    // Not delayed until a sync, so that a slow disk does not let the leader's lease expire.
    response.set_match_index(std::min(previous, durable_index_));
    Send(std::move(reply));
  } else {
    response.set_match_index(matched);
    Send(std::move(reply), last_ticket_);
  }
  SetCommit(std::min(request.commit_index(), matched), now);
}

void Raft::AppendFrom(const schema::AppendRequest& request) {
  std::vector<schema::LogEntry> new_entries;
  for (const schema::LogEntry& entry : request.entries()) {
    if (entry.index() <= log_->base_index()) continue;
    if (new_entries.empty()) {
      const std::optional<std::uint64_t> term = log_->TermAt(entry.index());
      if (term == entry.term()) continue;
      if (term) TruncateFrom(entry.index());
    }
    log_->Append(entry);
    RecordMembership(entry);
    new_entries.push_back(entry);
  }
  if (!new_entries.empty()) PersistNewEntries(std::move(new_entries));
}

void Raft::OnSnapshotChunk(const schema::ConsensusMessage& message, common::Time now) {
  const schema::SnapshotChunk& chunk = message.snapshot_chunk();
  const schema::SnapshotMetadata& metadata = chunk.metadata();
  OnLeaderContact(message.from(), now);
  if (!max_acked_index_known_ && log_->last_index() == 0) max_acked_index_ = metadata.index();
  max_acked_index_known_ = true;
  schema::ConsensusMessage reply = NewMessage(message.from());
  schema::SnapshotChunkResponse& response = *reply.mutable_snapshot_chunk_response();
  response.set_round(chunk.round());
  response.set_snapshot_index(metadata.index());
  if (!pending_install_ && log_->TermAt(metadata.index()) == metadata.term()) {
    // The log contains the entry at the snapshot's index and thus all entries before it.
    SetCommit(metadata.index(), now);
  }
  if (!pending_install_ && metadata.index() <= commit_) {
    response.set_installed(true);
    Send(std::move(reply), last_ticket_);
    return;
  }
  if (!pending_install_) {
    const bool same_snapshot = incoming_snapshot_ &&
                               incoming_snapshot_->metadata.index() == metadata.index() &&
                               incoming_snapshot_->metadata.term() == metadata.term() &&
                               incoming_snapshot_->metadata.checksum() == metadata.checksum();
    if (!same_snapshot) incoming_snapshot_ = IncomingSnapshot{metadata, {}};
    if (chunk.offset() == incoming_snapshot_->data.size()) incoming_snapshot_->data += chunk.data();
    response.set_next_offset(incoming_snapshot_->data.size());
    if (incoming_snapshot_->data.size() >= metadata.size_bytes()) InstallIncoming();
  }
  // While a snapshot is being written, the response acknowledges the round and reports all data as
  // received, so that the leader sends no further chunk for the time being.
  if (pending_install_) response.set_next_offset(metadata.size_bytes());
  Send(std::move(reply));
}

void Raft::InstallIncoming() {
  IncomingSnapshot incoming = std::move(*incoming_snapshot_);
  incoming_snapshot_.reset();
  if (incoming.data.size() != incoming.metadata.size_bytes() ||
      common::Hash64(incoming.data) != incoming.metadata.checksum()) {
    return;
  }
  const Ticket ticket = NextTicket();
  auto data = std::make_shared<const std::string>(std::move(incoming.data));
  const std::uint64_t index = incoming.metadata.index();
  log_->Reset(index, incoming.metadata.term());
  commit_ = index;
  durable_index_ = 0;
  pending_writes_.clear();
  pending_writes_.push_back({ticket, index});
  memberships_.clear();
  memberships_[index] = incoming.metadata.membership();
  actions_.emplace_back(PersistSnapshot{ticket, incoming.metadata, data});
  pending_install_ = PendingInstall{ticket, std::move(incoming.metadata), std::move(data)};
  without_durable_state_ = false;
}

void Raft::FinishInstall() {
  snapshot_ = std::move(pending_install_->metadata);
  snapshot_data_ = std::move(pending_install_->data);
  pending_install_.reset();
  applied_ = snapshot_.index();
  actions_.emplace_back(RestoreSnapshot{snapshot_, snapshot_data_});
  if (role_ != Role::kFollower || leader_ == 0) return;
  schema::ConsensusMessage reply = NewMessage(leader_);
  schema::SnapshotChunkResponse& response = *reply.mutable_snapshot_chunk_response();
  response.set_installed(true);
  response.set_snapshot_index(snapshot_.index());
  Send(std::move(reply));
}

}  // namespace briarwood::consensus
