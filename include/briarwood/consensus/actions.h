#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/strong_id.h"
#include "consensus.pb.h"

namespace briarwood::consensus {

/// Sequence number that Raft assigns to a write, in the order of the Persist actions. The driver
/// passes it to Raft::Persisted once this write and all earlier ones are durable.
using Ticket = common::StrongId<struct TicketTag, std::uint64_t>;
/// Chosen by the caller of Raft::Read.
using ReadId = common::StrongId<struct ReadIdTag, std::uint64_t>;

/// Write and sync the hard state, then pass the ticket to Raft::Persisted.
struct PersistHardState {
  Ticket ticket;
  schema::HardState state;
};

/// Write and sync the entries, then pass the ticket to Raft::Persisted. The entries replace all log
/// entries from the index of the first one on.
struct PersistEntries {
  Ticket ticket;
  std::vector<schema::LogEntry> entries;
};

/// Store the snapshot durably, reset the log to start after it, then pass the ticket to
/// Raft::Persisted.
struct PersistSnapshot {
  Ticket ticket;
  schema::SnapshotMetadata metadata;
  std::shared_ptr<const std::string> data;
};

struct SendMessage {
  schema::ConsensusMessage message;
};

/// Apply the entries in order. They are committed, and durable on this member.
struct ApplyEntries {
  std::vector<schema::LogEntry> entries;
};

/// Replace the applied state with the snapshot.
struct RestoreSnapshot {
  schema::SnapshotMetadata metadata;
  std::shared_ptr<const std::string> data;
};

/// A majority confirmed that this member was still the leader after the read was requested. State
/// applied up to `index` includes every write that was acknowledged before the request.
struct ReadConfirmed {
  ReadId id;
  common::LogIndex index;
  common::Term term;
};

/// This member cannot confirm the read: it is not the leader, is no longer the leader, or is a new
/// leader that has not committed an entry of its term yet. The read may be requested again, from
/// the member that leads then.
struct ReadFailed {
  ReadId id;
};

using Action = std::variant<PersistHardState, PersistEntries, PersistSnapshot, SendMessage,
                            ApplyEntries, RestoreSnapshot, ReadConfirmed, ReadFailed>;

}  // namespace briarwood::consensus
