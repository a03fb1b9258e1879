#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/consensus/options.h"
#include "briarwood/consensus/raft.h"
#include "briarwood/storage/files.h"
#include "control.pb.h"

namespace briarwood::control {

struct NodeOptions {
  common::MemberId id;
  /// Data folder, which no other process may use.
  std::string data_folder;
  /// File system that holds the data folder; tests use files in memory.
  storage::Files files{storage::PosixFiles()};
  consensus::Timing timing;
  /// Shared credential of the fleet, and CA file for TLS between members; empty means plain text.
  std::string credential;
  std::string ca_file;
  /// A snapshot is taken after this many entries, or earlier after 4 to 32 MiB of commands,
  /// depending on the size of the last snapshot.
  std::uint64_t snapshot_every_entries = 10'000;
  std::uint64_t segment_bytes = std::uint64_t{8} * 1024 * 1024;
  /// How often each member confirms its state with a majority, directly or through the leader.
  common::Duration confirmation_period = std::chrono::milliseconds(250);
  /// Called once after a fatal error, for example a failed sync; the process should exit then. Runs
  /// on a thread of the node and must not destroy it.
  std::function<void(const std::string& reason)> on_failure;
  /// Called for each command right before the leader proposes it, for example to set its time.
  std::function<void(schema::Command& command)> prepare;
  /// Receives log lines about role changes and failures.
  std::function<void(const std::string& line)> log;
};

/// Applied state of this member that a majority confirmed to be current.
struct Confirmation {
  /// Everything committed and acknowledged before this time, on the clock of this member, is
  /// applied here.
  common::Time confirmed_at;
  /// Term of the leader that confirmed it.
  common::Term fencing_token;
  /// Applied index that was confirmed.
  common::LogIndex index;
};

/// Replication progress of another member, as known to the leader.
struct MemberContact {
  common::MemberId id;
  /// Highest index up to which the entries are durable at the member.
  common::LogIndex match;
  /// Send time of the latest message that the member acknowledged to this leader.
  std::optional<common::Time> last_ack;
  /// Time since which the member has refused all connections; nothing if it does not.
  std::optional<common::Time> refused_since;
  /// The member announced that it stops, and has not been back since.
  bool leaving = false;
};

struct NodeStatus {
  common::MemberId id;
  consensus::Role role = consensus::Role::kFollower;
  common::Term term;
  /// Zero and empty when unknown.
  common::MemberId leader;
  std::string leader_rpc;
  common::LogIndex commit_index;
  common::LogIndex applied_index;
  schema::Membership membership;
  /// The other members; empty unless this member leads.
  std::vector<MemberContact> contacts;
  /// Empty unless the member has failed.
  std::string failure;
};

}  // namespace briarwood::control
