#include "briarwood/consensus/raft.h"
#include "consensus/impl/raft_log.h"

namespace briarwood::consensus {

void Raft::Receive(const schema::ConsensusMessage& message, common::Time now) {
  using Body = schema::ConsensusMessage::BodyCase;
  if (message.to() != id_ || message.from() == id_) return;
  if (message.body_case() == Body::kVoteRequest && message.vote_request().pre_vote()) {
    OnPreVoteRequest(message, now);
    return;
  }
  if (message.body_case() == Body::kVoteResponse && message.vote_response().pre_vote() &&
      message.vote_response().granted()) {
    OnPreVoteResponse(message, now);
    return;
  }
  if (message.term() > term_ && !AcceptHigherTerm(message, now)) return;
  if (message.term() < term_) {
    RespondToStaleTerm(message);
    return;
  }
  Dispatch(message, now);
}

bool Raft::AcceptHigherTerm(const schema::ConsensusMessage& message, common::Time now) {
  // A vote request must not end the term of a leader whose lease relies on an acknowledgement of
  // this member.
  if (message.has_vote_request() && !message.vote_request().leadership_transfer() &&
      HeardLeaderRecently(now)) {
    return false;
  }
  const bool from_leader = message.has_append_request() || message.has_snapshot_chunk();
  BecomeFollower(message.term(), from_leader ? message.from() : 0, now);
  return true;
}

void Raft::RespondToStaleTerm(const schema::ConsensusMessage& message) {
  schema::ConsensusMessage reply = NewMessage(message.from());
  if (message.has_append_request() || message.has_snapshot_chunk()) {
    // The term in the response makes the stale leader step down.
    reply.mutable_append_response()->set_success(false);
  } else if (message.has_vote_request()) {
    reply.mutable_vote_response()->set_granted(false);
  } else {
    return;
  }
  Send(std::move(reply));
}

void Raft::Dispatch(const schema::ConsensusMessage& message, common::Time now) {
  using Body = schema::ConsensusMessage::BodyCase;
  switch (message.body_case()) {
    case Body::kVoteRequest:
      OnVoteRequest(message, now);
      break;
    case Body::kVoteResponse:
      OnVoteResponse(message, now);
      break;
    case Body::kAppendRequest:
      OnAppendRequest(message, now);
      break;
    case Body::kAppendResponse:
      OnAppendResponse(message, now);
      break;
    case Body::kSnapshotChunk:
      OnSnapshotChunk(message, now);
      break;
    case Body::kSnapshotChunkResponse:
      OnChunkResponse(message, now);
      break;
    case Body::kTransferLeadership:
      OnTransferLeadership(now);
      break;
    case Body::BODY_NOT_SET:
      break;
  }
}

}  // namespace briarwood::consensus
