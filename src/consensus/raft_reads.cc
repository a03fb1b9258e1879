#include <algorithm>
#include <utility>

#include "briarwood/consensus/raft.h"
#include "consensus/impl/raft_log.h"

namespace briarwood::consensus {

void Raft::Read(ReadId id, common::Time now) {
  // Until an entry of the current term is committed, the commit index may be out of date.
  if (role_ != Role::kLeader || !CurrentTermCommitted()) {
    actions_.emplace_back(ReadFailed{id});
    return;
  }
  queued_reads_.push_back(id);
  // Reads that arrive while a round is in progress share the next one.
  if (reads_.empty()) StartRound(now);
}

void Raft::ConfirmReads(common::Time now) {
  if (reads_.empty()) return;
  std::vector<std::uint64_t> rounds;
  for (const schema::Member& member : membership().members()) {
    if (!member.voter()) continue;
    const auto progress = progress_.find(member.id());
    if (member.id() == id_) {
      rounds.push_back(round_);
    } else {
      rounds.push_back(progress == progress_.end() ? 0 : progress->second.acked_round);
    }
  }
  if (rounds.empty()) return;
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const std::uint64_t confirmed = rounds[rounds.size() / 2];
  std::erase_if(reads_, [&](const PendingRead& read) {
    if (read.round > confirmed) return false;
    actions_.emplace_back(
        ReadConfirmed{read.id, common::LogIndex(read.index), common::Term(term_)});
    return true;
  });
  if (reads_.empty() && !queued_reads_.empty()) StartRound(now);
}

void Raft::FailReads() {
  for (const PendingRead& read : std::exchange(reads_, {})) {
    actions_.emplace_back(ReadFailed{read.id});
  }
  for (const ReadId id : std::exchange(queued_reads_, {})) actions_.emplace_back(ReadFailed{id});
}

}  // namespace briarwood::consensus
