#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/consensus/raft.h"
#include "briarwood/control/member_disk.h"
#include "briarwood/storage/memory_files.h"

namespace briarwood::consensus {

/// True time of a simulation, in microseconds.
using TrueTime = std::int64_t;

/// Applied state: the last index and a hash over all entries up to it.
struct ChainState {
  std::uint64_t index = 0;
  std::uint64_t hash = 0;

  void Apply(const schema::LogEntry& entry);
  [[nodiscard]] std::string Serialize(std::size_t padding) const;
  static ChainState Restore(const std::string& bytes);

  friend bool operator==(const ChainState&, const ChainState&) = default;
};

/// Snapshot taken by the member itself, to be written to the disk.
struct SnapshotWrite {
  schema::SnapshotMetadata metadata;
  std::shared_ptr<const std::string> data;
};

using DiskWrite = std::variant<PersistHardState, PersistEntries, PersistSnapshot, SnapshotWrite>;

/// Member with its own disk and a clock that runs at its own rate.
struct SimulatedMember {
  std::uint64_t id = 0;
  double clock_rate = 1;
  TrueTime clock_offset = 0;
  std::uint64_t snapshot_every = 0;
  std::size_t snapshot_padding = 0;
  Timing timing;
  schema::Membership initial_membership;

  std::shared_ptr<storage::MemoryDisk> disk = std::make_shared<storage::MemoryDisk>();
  std::optional<control::MemberDisk> store;
  std::optional<Raft> raft;
  ChainState state;
  std::uint64_t snapshot_index = 0;
  std::deque<DiskWrite> writes;
  bool disk_busy = false;
  /// Incremented at each start, so that events of a previous process are ignored.
  std::uint64_t process = 0;
  TrueTime paused_until = 0;
  /// The disk is permanently lost.
  bool disk_lost = false;

  [[nodiscard]] bool running() const { return raft.has_value(); }
  [[nodiscard]] common::Time LocalTime(TrueTime now) const;

  /// \returns an error message if the state on the disk is unusable.
  [[nodiscard]] std::optional<std::string> Start(TrueTime now, std::uint64_t seed);
  /// Ends the process, and with it a write in progress that is not synced. The files remain.
  void Kill(common::Random& random);
  /// Ends the process with a loss of power; data that is not synced may be lost.
  void Crash(common::Random& random);
  /// Writes and syncs all pending writes; \returns false if the disk failed.
  [[nodiscard]] bool FlushDisk(TrueTime now);
  void TakeSnapshotWhenDue();
};

}  // namespace briarwood::consensus
