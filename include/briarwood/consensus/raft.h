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

/// What a member finds on its disk when it starts; all of it is durable.
struct DurableState {
  schema::HardState hard_state;
  /// Index 0 when there is no snapshot.
  schema::SnapshotMetadata snapshot;
  std::shared_ptr<const std::string> snapshot_data;
  /// Entries after the snapshot without gaps.
  std::vector<schema::LogEntry> entries;
};

struct LogPosition {
  common::LogIndex index;
  common::Term term;

  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

/// Raft member as a pure state machine: no clock, thread, socket or file.
///
/// Every call may queue actions; the driver takes them with TakeActions and carries them out in
/// order. Messages that depend on a write are queued only after Persisted reported it, so votes,
/// terms and entries count only once they are durable. Not thread-safe.
///
/// \code
/// raft.Receive(message, now);
/// for (Action& action : raft.TakeActions()) std::visit(driver, action);
/// \endcode
class Raft {
 public:
  /// \returns a follower, or a sentence why the durable state is not usable.
  static common::Result<Raft> Create(const Options& options, DurableState state, common::Time now);

  Raft(Raft&&) noexcept;
  Raft& operator=(Raft&&) noexcept;
  ~Raft();

  /// Call at least every tenth of the election timeout.
  void Tick(common::Time now);
  /// Throws ConsensusError when the message contradicts a committed entry.
  void Receive(const schema::ConsensusMessage& message, common::Time now);
  /// All writes up to `ticket` are durable.
  void Persisted(Ticket ticket, common::Time now);

  /// \returns the entry's position, or nothing when this member is not the leader or hands
  /// leadership over.
  std::optional<LogPosition> Propose(std::string payload);
  common::Result<LogPosition, MembershipError> ChangeMembership(const MembershipChange& change);
  /// Answered by ReadConfirmed or ReadFailed.
  void Read(ReadId id, common::Time now);
  /// Hands leadership to a voter; a zero id picks the most advanced one.
  /// \returns false when this member is not the leader or there is no such voter.
  bool TransferLeadership(common::MemberId target, common::Time now);
  /// Tells that a snapshot of the applied state is durable; entries it covers may be dropped.
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
  /// Membership in force at a committed index, for the snapshot taken there.
  [[nodiscard]] const schema::Membership& MembershipAt(common::LogIndex index) const noexcept;
  /// Term of an entry that is still in the log.
  [[nodiscard]] std::optional<common::Term> TermAt(common::LogIndex index) const noexcept;
  /// Known match of another member; leader only.
  [[nodiscard]] std::optional<common::LogIndex> MatchOf(common::MemberId member) const noexcept;
  /// Send time of the latest round that another member acknowledged; leader only.
  [[nodiscard]] std::optional<common::Time> LastAckOf(common::MemberId member) const noexcept;

  /// End of the leader's lease on this member's clock; nothing when there is no lease.
  [[nodiscard]] std::optional<common::Time> lease_end() const;
  /// First index of the term in which this member last became leader.
  [[nodiscard]] common::LogIndex own_term_start() const noexcept {
    return common::LogIndex(first_own_index_);
  }
  /// Earliest time of the first order: the leases of former leaders have ended and an entry of
  /// this term is committed. Nothing on other members.
  [[nodiscard]] std::optional<common::Time> orders_from() const;

 private:
  struct Progress {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    /// Appends with entries that are not answered yet; an estimate that each heartbeat resets.
    unsigned in_flight = 0;
    /// Send time of the latest round the member acknowledged.
    std::optional<common::Time> acked_at;
    std::uint64_t acked_round = 0;
    /// Snapshot under transfer.
    schema::SnapshotMetadata snapshot;
    std::shared_ptr<const std::string> snapshot_data;
    std::uint64_t snapshot_offset = 0;
    bool chunk_in_flight = false;
    common::Time chunk_sent_at;
  };
  struct HeldMessage {
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
  [[nodiscard]] bool BelowVoteFloor() const noexcept { return durable_index_ < vote_floor_; }
  [[nodiscard]] bool IsVoter(std::uint64_t id) const noexcept;
  /// Next candidacy after one to two times `wait`.
  void SetElectionDeadline(common::Time now, common::Duration wait);
  void ResetElectionDeadline(common::Time now);
  bool AcceptHigherTerm(const schema::ConsensusMessage& message, common::Time now);
  void AnswerStaleTerm(const schema::ConsensusMessage& message);
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
  std::optional<LogPosition> AppendOwn(schema::EntryKind kind, std::string payload);
  [[nodiscard]] std::optional<common::Time> QuorumAckedAt(common::Time now) const;
  [[nodiscard]] std::size_t VoterCount() const noexcept;
  [[nodiscard]] bool OwnTermCommitted() const;
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

  common::Result<schema::Membership, MembershipError> Changed(const AddLearner& change) const;
  common::Result<schema::Membership, MembershipError> Changed(const PromoteLearner& change) const;
  common::Result<schema::Membership, MembershipError> Changed(const RemoveMember& change) const;

  std::uint64_t id_;
  Timing timing_;
  common::Random random_;
  std::vector<Action> actions_;

  Role role_ = Role::kFollower;
  std::uint64_t term_ = 0;
  std::uint64_t voted_for_ = 0;
  std::uint64_t leader_ = 0;
  /// Nothing was ever durable here: a first start, or a disk that was lost.
  bool blank_ = false;
  /// What the first leader that a blank member heard of knew it to hold or to be committed. A
  /// member that lost its disk may have acknowledged that much, so below it, it stands for no
  /// election and votes only for candidates that hold as much.
  std::uint64_t vote_floor_ = 0;
  bool vote_floor_known_ = false;
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
  /// Memberships by the index of their entry; the last one is in force.
  std::map<std::uint64_t, schema::Membership> memberships_;

  Ticket last_ticket_;
  Ticket durable_ticket_;
  Ticket hard_state_ticket_;
  std::deque<PendingWrite> pending_writes_;
  std::deque<HeldMessage> held_;
  std::optional<IncomingSnapshot> incoming_;
  std::optional<PendingInstall> install_;

  std::map<std::uint64_t, Progress> progress_;
  std::uint64_t round_ = 0;
  std::deque<std::pair<std::uint64_t, common::Time>> rounds_;
  common::Time next_heartbeat_;
  common::Time leader_since_;
  std::uint64_t first_own_index_ = 0;
  std::vector<PendingRead> reads_;
  std::vector<ReadId> waiting_reads_;
  std::uint64_t transfer_target_ = 0;
  bool transfer_sent_ = false;
  common::Time transfer_deadline_;
};

}  // namespace briarwood::consensus
