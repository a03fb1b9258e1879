#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/random.h"
#include "briarwood/common/result.h"
#include "briarwood/common/time.h"
#include "briarwood/consensus/actions.h"
#include "briarwood/consensus/membership.h"
#include "briarwood/consensus/options.h"

namespace briarwood::consensus {

class RaftLog;

enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// Durable state that a member loads from its disk at startup.
struct DurableState {
  schema::HardState hard_state;
  /// Index 0 when there is no snapshot.
  schema::SnapshotMetadata snapshot;
  std::shared_ptr<const std::string> snapshot_data;
  /// Entries after the snapshot, without gaps.
  std::vector<schema::LogEntry> entries;
};

struct LogPosition {
  common::LogIndex index;
  common::Term term;

  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

/// Raft member as a pure state machine without clock, threads, sockets or files.
///
/// Every call may queue actions; the driver takes them with TakeActions and executes them in order.
/// Messages that depend on a write are queued only after Persisted has confirmed that write, so
/// votes, terms and entries take effect only once they are durable. Not thread-safe.
///
/// A round is one heartbeat that the leader sends to all other members, with a number that their
/// responses repeat. Rounds are sent at every heartbeat interval and to confirm reads. The lease
/// and confirmed reads rely on rounds that a majority has acknowledged.
///
/// \code
/// raft.Receive(message, now);
/// for (Action& action : raft.TakeActions()) std::visit(driver, action);
/// \endcode
class Raft {
 public:
  /// \returns a follower, or an error that describes why the durable state is unusable.
  static common::Result<Raft> Create(const Options& options, DurableState state, common::Time now);

  Raft(Raft&&) noexcept;
  Raft& operator=(Raft&&) noexcept;
  ~Raft();

  /// Must be called at least every tenth of the election timeout.
  void Tick(common::Time now);
  /// Throws ConsensusError if the message conflicts with a committed entry.
  void Receive(const schema::ConsensusMessage& message, common::Time now);
  /// Reports that all writes up to `ticket` are durable.
  void Persisted(Ticket ticket, common::Time now);

  /// \returns the position of the entry, or nothing if this member is not the leader or is
  /// transferring leadership.
  std::optional<LogPosition> Propose(std::string payload);
  common::Result<LogPosition, MembershipError> ChangeMembership(const MembershipChange& change);
  /// Completes with ReadConfirmed or ReadFailed.
  void Read(ReadId id, common::Time now);
  /// Starts a transfer of leadership to a voter; a zero id selects the most up-to-date one
  /// that answers.
  /// Proposals and membership changes are rejected during the transfer. It ends after the election
  /// timeout at the latest: this member then continues to lead if the target has not caught up, and
  /// otherwise becomes a follower, because the target may still start an election.
  /// \returns false if no transfer was started: this member is not the leader, another transfer is
  /// in progress or there is no such voter.
  bool TransferLeadership(common::MemberId target, common::Time now);
  /// Reports that a snapshot of the applied state is durable; entries it covers may be discarded.
  void Compact(const schema::SnapshotMetadata& metadata, std::shared_ptr<const std::string> data);

  [[nodiscard]] std::vector<Action> TakeActions();

  [[nodiscard]] common::MemberId id() const noexcept { return common::MemberId(id_); }
  [[nodiscard]] Role role() const noexcept { return role_; }
  [[nodiscard]] common::Term term() const noexcept { return common::Term(term_); }
  /// Zero when unknown.
  [[nodiscard]] common::MemberId leader() const noexcept { return common::MemberId(leader_); }
  [[nodiscard]] common::LogIndex commit_index() const noexcept { return common::LogIndex(commit_); }
  [[nodiscard]] common::LogIndex last_index() const noexcept;
  [[nodiscard]] const schema::Membership& membership() const noexcept;
  /// Membership in effect at a committed index, for a snapshot taken at that index.
  [[nodiscard]] const schema::Membership& MembershipAt(common::LogIndex index) const noexcept;
  /// Term of an entry; nothing if the entry is not in the log.
  [[nodiscard]] std::optional<common::Term> TermAt(common::LogIndex index) const noexcept;
  /// Highest log index known to be replicated on another member; leader only.
  [[nodiscard]] std::optional<common::LogIndex> MatchOf(common::MemberId member) const noexcept;
  /// Time at which this leader sent the latest round that the other member has acknowledged, not
  /// the time of the acknowledgement; leader only.
  [[nodiscard]] std::optional<common::Time> LastAckOf(common::MemberId member) const noexcept;

  /// End of the leader's lease by this member's clock; nothing if it holds no lease.
  [[nodiscard]] std::optional<common::Time> lease_end() const;
  /// Index of the first entry of the term in which this member last became leader.
  [[nodiscard]] common::LogIndex own_term_start() const noexcept {
    return common::LogIndex(term_start_index_);
  }
  /// Earliest time at which this leader may send orders, because the leases of all previous leaders
  /// have ended by then. Nothing if this member is not the leader or has not committed an entry of
  /// its term yet.
  [[nodiscard]] std::optional<common::Time> orders_from() const;

 private:
  struct Progress {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    /// Unacknowledged append requests with entries; an estimate that each heartbeat resets.
    unsigned in_flight = 0;
    /// Time at which the latest round acknowledged by the member was sent.
    std::optional<common::Time> acked_round_sent_at;
    std::uint64_t acked_round = 0;
    /// Snapshot being transferred.
    schema::SnapshotMetadata snapshot;
    std::shared_ptr<const std::string> snapshot_data;
    std::uint64_t snapshot_offset = 0;
    bool chunk_in_flight = false;
    common::Time chunk_sent_at;
  };
  struct DeferredMessage {
    Ticket after;
    schema::ConsensusMessage message;
  };
  struct PendingWrite {
    Ticket ticket;
    std::uint64_t last_index = 0;
  };
  struct PendingRead {
    ReadId id;
    std::uint64_t index = 0;
    std::uint64_t round = 0;
  };
  struct IncomingSnapshot {
    schema::SnapshotMetadata metadata;
    std::string data;
  };
  struct PendingInstall {
    Ticket ticket;
    schema::SnapshotMetadata metadata;
    std::shared_ptr<const std::string> data;
  };

  Raft(const Options& options, DurableState state, common::Time now);

  // Election.
  void BecomeFollower(std::uint64_t term, std::uint64_t leader, common::Time now);
  void StartPreVote(common::Time now);
  void Campaign(bool leadership_transfer, common::Time now);
  void BecomeLeader(common::Time now);
  void CountVote(std::uint64_t from, common::Time now);
  void OnPreVoteRequest(const schema::ConsensusMessage& message, common::Time now);
  void OnVoteRequest(const schema::ConsensusMessage& message, common::Time now);
  void OnPreVoteResponse(const schema::ConsensusMessage& message, common::Time now);
  void OnVoteResponse(const schema::ConsensusMessage& message, common::Time now);
  [[nodiscard]] bool CandidateIsEligible(const schema::VoteRequest& request) const;
  [[nodiscard]] bool HeardLeaderRecently(common::Time now) const;
  [[nodiscard]] bool MayLackAckedEntries() const noexcept {
    return durable_index_ < max_acked_index_;
  }
  [[nodiscard]] bool IsVoter(std::uint64_t id) const noexcept;
  /// Sets the deadline to one to two times `min_delay` from now.
  void SetElectionDeadline(common::Time now, common::Duration min_delay);
  void ResetElectionDeadline(common::Time now);
  bool AcceptHigherTerm(const schema::ConsensusMessage& message, common::Time now);
  void RespondToStaleTerm(const schema::ConsensusMessage& message);
  void Dispatch(const schema::ConsensusMessage& message, common::Time now);

  // Leader.
  void LeaderTick(common::Time now);
  void StartRound(common::Time now);
  void SendHeartbeat(std::uint64_t to, Progress& progress);
  void Replicate(std::uint64_t to, Progress& progress);
  void SendSnapshotChunk(std::uint64_t to, Progress& progress);
  void OnAppendResponse(const schema::ConsensusMessage& message, common::Time now);
  void OnChunkResponse(const schema::ConsensusMessage& message, common::Time now);
  void RecordAck(Progress& progress, std::uint64_t round, common::Time now);
  void AdvanceCommit(common::Time now);
  void ConfirmReads(common::Time now);
  void FailReads();
  void SendTransferWhenReady();
  std::optional<LogPosition> AppendAsLeader(schema::EntryKind kind, std::string payload);
  [[nodiscard]] std::optional<common::Time> QuorumContactTime(common::Time now) const;
  [[nodiscard]] std::size_t VoterCount() const noexcept;
  [[nodiscard]] bool CurrentTermCommitted() const;
  void RefreshProgress();

  // Follower.
  void OnLeaderContact(std::uint64_t from, common::Time now);
  void OnAppendRequest(const schema::ConsensusMessage& message, common::Time now);
  void AppendFrom(const schema::AppendRequest& request);
  void OnSnapshotChunk(const schema::ConsensusMessage& message, common::Time now);
  void InstallIncoming();
  void OnTransferLeadership(common::Time now);

  // Log and durability.
  Ticket NextTicket() noexcept;
  void PersistTerm();
  void PersistNewEntries(std::vector<schema::LogEntry> entries);
  void TruncateFrom(std::uint64_t index);
  void RecordMembership(const schema::LogEntry& entry);
  void FinishInstall();
  void SetCommit(std::uint64_t index, common::Time now);
  void EmitApply();
  [[nodiscard]] schema::ConsensusMessage NewMessage(std::uint64_t to) const;
  void Send(schema::ConsensusMessage message, Ticket after);
  void Send(schema::ConsensusMessage message) { Send(std::move(message), hard_state_ticket_); }

  common::Result<schema::Membership, MembershipError> MembershipAfter(
      const AddLearner& change) const;
  common::Result<schema::Membership, MembershipError> MembershipAfter(
      const PromoteLearner& change) const;
  common::Result<schema::Membership, MembershipError> MembershipAfter(
      const DemoteVoter& change) const;
  common::Result<schema::Membership, MembershipError> MembershipAfter(
      const SetDeparted& change) const;
  common::Result<schema::Membership, MembershipError> MembershipAfter(
      const RemoveMember& change) const;

  std::uint64_t id_;
  Timing timing_;
  common::Random random_;
  std::vector<Action> actions_;

  Role role_ = Role::kFollower;
  std::uint64_t term_ = 0;
  std::uint64_t voted_for_ = 0;
  std::uint64_t leader_ = 0;
  /// The member started without durable state, at its first start or after the loss of its disk,
  /// and has not queued a write since.
  bool without_durable_state_ = false;
  /// Highest index that this member may have acknowledged before it lost its disk; zero if its log
  /// is not empty at the first message from a leader. That message sets it: to the higher of the
  /// commit index and the last index that this member acknowledged to the leader, or to the index
  /// of the snapshot. While the durable log is shorter, the member starts no election and votes
  /// only for candidates whose logs reach this index.
  std::uint64_t max_acked_index_ = 0;
  bool max_acked_index_known_ = false;
  std::optional<common::Time> last_leader_contact_;
  common::Time election_deadline_;
  std::set<std::uint64_t> votes_;
  std::optional<Ticket> own_vote_ticket_;

  std::unique_ptr<RaftLog> log_;
  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  std::uint64_t durable_index_ = 0;
  schema::SnapshotMetadata snapshot_;
  std::shared_ptr<const std::string> snapshot_data_;
  /// Memberships by the index of their entry; the last one is in effect.
  std::map<std::uint64_t, schema::Membership> memberships_;

  Ticket last_ticket_;
  Ticket durable_ticket_;
  Ticket hard_state_ticket_;
  std::deque<PendingWrite> pending_writes_;
  std::deque<DeferredMessage> deferred_messages_;
  std::optional<IncomingSnapshot> incoming_snapshot_;
  std::optional<PendingInstall> pending_install_;

  std::map<std::uint64_t, Progress> progress_;
  std::uint64_t round_ = 0;
  std::deque<std::pair<std::uint64_t, common::Time>> round_send_times_;
  common::Time next_heartbeat_;
  common::Time leader_since_;
  std::uint64_t term_start_index_ = 0;
  /// Reads that wait until a majority acknowledges their round.
  std::vector<PendingRead> reads_;
  /// Reads that are not assigned to a round yet; the next round takes all of them.
  std::vector<ReadId> queued_reads_;
  std::uint64_t transfer_target_ = 0;
  bool transfer_sent_ = false;
  common::Time transfer_deadline_;
};

}  // namespace briarwood::consensus
