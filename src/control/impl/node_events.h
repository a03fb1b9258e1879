#pragma once

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "briarwood/consensus/raft.h"
#include "control/impl/disk_worker.h"
#include "control/impl/proposal_table.h"

namespace briarwood::control {

/// Index and term of a confirmed read: all entries committed before the read are at or below it.
struct ReadPoint {
  common::LogIndex index;
  common::Term term;
};

/// Why a membership change was rejected, or std::nullopt once it is proposed.
using ChangePromise = std::promise<std::optional<consensus::MembershipError>>;

// Events for the thread that owns consensus::Raft.
struct TickEvent {};
struct MessageEvent {
  schema::ConsensusMessage message;
};
struct PersistedEvent {
  consensus::Ticket ticket;
};
struct ProposeEvent {
  std::string payload;
  std::shared_ptr<ProposalPromise> promise;
};
struct ReadEvent {
  std::shared_ptr<std::promise<std::optional<ReadPoint>>> promise;
};
struct ChangeEvent {
  consensus::MembershipChange change;
  std::shared_ptr<ChangePromise> rejection;
  std::shared_ptr<ProposalPromise> applied;
  std::shared_ptr<std::promise<common::LogIndex>> index;
};
struct TransferEvent {
  common::MemberId target;
};
struct SnapshotTakenEvent {
  common::LogIndex index;
  std::shared_ptr<const std::string> data;
};
struct SnapshotSavedEvent {
  OwnSnapshot snapshot;
};

using NodeEvent = std::variant<TickEvent, MessageEvent, PersistedEvent, ProposeEvent, ReadEvent,
                               ChangeEvent, TransferEvent, SnapshotTakenEvent, SnapshotSavedEvent>;

}  // namespace briarwood::control
