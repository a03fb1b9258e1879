#include <algorithm>

#include "briarwood/consensus/raft.h"
#include "consensus/impl/raft_log.h"

namespace briarwood::consensus {

namespace {

/// A failed pre-vote is retried early, because it does not change the term. Other voters reject a
/// pre-vote until their own election timeout since the last message of the leader has passed. If it
/// was sent just before, a retry after the full delay of one to two election timeouts would extend
/// the time without a leader by up to 1.2 s.
constexpr int kPreVoteRetryDivisor = 4;
/// An election is retried later than a pre-vote, because votes need a sync on each member.
constexpr int kElectionRetryDivisor = 2;

}  // namespace

void Raft::SetElectionDeadline(common::Time now, common::Duration min_delay) {
  const auto spread =
      static_cast<std::uint64_t>(std::max<common::Duration::rep>(min_delay.count(), 1));
  election_deadline_ =
      now + min_delay + common::Duration(static_cast<common::Duration::rep>(random_.Below(spread)));
}

void Raft::ResetElectionDeadline(common::Time now) {
  SetElectionDeadline(now, timing_.election_timeout);
}

bool Raft::HeardLeaderRecently(common::Time now) const {
  if (role_ == Role::kLeader) {
    const common::Time contact =
        std::max(QuorumContactTime(now).value_or(leader_since_), leader_since_);
    return now < contact + timing_.election_timeout;
  }
  return last_leader_contact_ && now < *last_leader_contact_ + timing_.election_timeout;
}

bool Raft::CandidateIsEligible(const schema::VoteRequest& request) const {
  // A member without durable state may have lost a disk that held committed entries. It may vote
  // for the first leader of a new group, but not for later ones.
  if (without_durable_state_ && (request.last_index() != 0 || !IsVoter(id_))) return false;
  if (MayLackAckedEntries() && request.last_index() < max_acked_index_) return false;
  return request.last_term() > log_->last_term() ||
         (request.last_term() == log_->last_term() && request.last_index() >= log_->last_index());
}

void Raft::BecomeFollower(std::uint64_t term, std::uint64_t leader, common::Time now) {
  const bool was_leader = role_ == Role::kLeader;
  const bool was_candidate = role_ == Role::kCandidate || role_ == Role::kPreCandidate;
  role_ = Role::kFollower;
  leader_ = leader;
  votes_.clear();
  own_vote_ticket_.reset();
  progress_.clear();
  transfer_target_ = 0;
  transfer_sent_ = false;
  FailReads();
  if (term > term_) {
    term_ = term;
    voted_for_ = 0;
    PersistTerm();
  }
  if (was_leader) ResetElectionDeadline(now);
  if (was_candidate) SetElectionDeadline(now, timing_.election_timeout / kElectionRetryDivisor);
}

void Raft::StartPreVote(common::Time now) {
  role_ = Role::kPreCandidate;
  votes_.clear();
  SetElectionDeadline(now, timing_.election_timeout / kPreVoteRetryDivisor);
  for (const schema::Member& member : membership().members()) {
    if (member.id() == id_ || !member.voter()) continue;
    schema::ConsensusMessage message = NewMessage(member.id());
    message.set_term(term_ + 1);
    schema::VoteRequest& request = *message.mutable_vote_request();
    request.set_pre_vote(true);
    request.set_last_index(log_->last_index());
    request.set_last_term(log_->last_term());
    Send(std::move(message));
  }
  CountVote(id_, now);
}

void Raft::Campaign(bool leadership_transfer, common::Time now) {
  role_ = Role::kCandidate;
  leader_ = 0;
  votes_.clear();
  ++term_;
  voted_for_ = id_;
  PersistTerm();
  own_vote_ticket_ = hard_state_ticket_;
  SetElectionDeadline(now, timing_.election_timeout / kElectionRetryDivisor);
  for (const schema::Member& member : membership().members()) {
    if (member.id() == id_ || !member.voter()) continue;
    schema::ConsensusMessage message = NewMessage(member.id());
    schema::VoteRequest& request = *message.mutable_vote_request();
    request.set_last_index(log_->last_index());
    request.set_last_term(log_->last_term());
    request.set_leadership_transfer(leadership_transfer);
    Send(std::move(message));
  }
}

void Raft::CountVote(std::uint64_t from, common::Time now) {
  if (IsVoter(from)) votes_.insert(from);
  if (votes_.size() <= VoterCount() / 2) return;
  if (role_ == Role::kPreCandidate) {
    Campaign(false, now);
  } else if (role_ == Role::kCandidate) {
    BecomeLeader(now);
  }
}

void Raft::BecomeLeader(common::Time now) {
  role_ = Role::kLeader;
  leader_ = id_;
  leader_since_ = now;
  votes_.clear();
  round_send_times_.clear();
  progress_.clear();
  RefreshProgress();
  term_start_index_ = log_->last_index() + 1;
  AppendAsLeader(schema::ENTRY_KIND_NOOP, {});
  StartRound(now);
}

void Raft::OnPreVoteRequest(const schema::ConsensusMessage& message, common::Time now) {
  const bool granted = message.term() > term_ && !HeardLeaderRecently(now) &&
                       CandidateIsEligible(message.vote_request());
  schema::ConsensusMessage reply = NewMessage(message.from());
  // A granted response carries the requested term, a rejection the current term of this member.
  if (granted) reply.set_term(message.term());
  reply.mutable_vote_response()->set_pre_vote(true);
  reply.mutable_vote_response()->set_granted(granted);
  Send(std::move(reply));
}

void Raft::OnPreVoteResponse(const schema::ConsensusMessage& message, common::Time now) {
  if (role_ == Role::kPreCandidate && message.term() == term_ + 1) CountVote(message.from(), now);
}

void Raft::OnVoteRequest(const schema::ConsensusMessage& message, common::Time now) {
  const schema::VoteRequest& request = message.vote_request();
  const bool vote_available = voted_for_ == 0 || voted_for_ == message.from();
  // AcceptHigherTerm ignores vote requests of a higher term while the lease of a leader may be
  // valid. Another message, such as a response, may already have raised the term of this member to
  // that of the request, so the same check is needed here.
  const bool votes_withheld = HeardLeaderRecently(now) && !request.leadership_transfer();
  const bool granted = role_ != Role::kLeader && vote_available && leader_ == 0 &&
                       !votes_withheld && CandidateIsEligible(request);
  if (granted) {
    role_ = Role::kFollower;
    votes_.clear();
    if (voted_for_ == 0) {
      voted_for_ = message.from();
      PersistTerm();
    }
    ResetElectionDeadline(now);
  }
  schema::ConsensusMessage reply = NewMessage(message.from());
  reply.mutable_vote_response()->set_granted(granted);
  Send(std::move(reply));
}

void Raft::OnVoteResponse(const schema::ConsensusMessage& message, common::Time now) {
  if (role_ == Role::kCandidate && message.vote_response().granted()) {
    CountVote(message.from(), now);
  }
}

void Raft::OnTransferLeadership(common::Time now) {
  if (role_ == Role::kFollower && IsVoter(id_) && !MayLackAckedEntries()) Campaign(true, now);
}

}  // namespace briarwood::consensus
