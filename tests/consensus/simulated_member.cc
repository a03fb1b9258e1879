#include "simulated_member.h"

#include <chrono>
#include <sstream>
#include <utility>

#include "briarwood/common/digest.h"

namespace briarwood::consensus {

void ChainState::Apply(const schema::LogEntry& entry) {
  index = entry.index();
  hash = common::Hash64(entry.payload(), hash ^ entry.term());
}

std::string ChainState::Serialize(std::size_t padding) const {
  return std::to_string(index) + " " + std::to_string(hash) + " " + std::string(padding, 'p');
}

ChainState ChainState::Restore(const std::string& bytes) {
  std::istringstream in(bytes);
  ChainState state;
  in >> state.index >> state.hash;
  return state;
}

common::Time SimulatedMember::LocalTime(TrueTime now) const {
  const double local = static_cast<double>(now) * clock_rate;
  return common::Time(std::chrono::microseconds(static_cast<TrueTime>(local) + clock_offset));
}

std::optional<std::string> SimulatedMember::Start(TrueTime now, std::uint64_t seed) {
  constexpr std::uint64_t kSegmentBytes = 2048;
  auto opened = control::MemberDisk::Open(storage::Files(storage::MemoryFiles(disk)), "member",
                                          kSegmentBytes);
  if (!opened.ok()) return opened.error();
  store.emplace(std::move(opened).value());
  DurableState durable = store->TakeState();
  state = {};
  if (durable.snapshot.index() != 0) state = ChainState::Restore(*durable.snapshot_data);
  snapshot_index = durable.snapshot.index();
  auto created = Raft::Create(
      {.id = common::MemberId(id), .initial_membership = initial_membership, .seed = seed},
      std::move(durable), LocalTime(now));
  if (!created.ok()) return created.error();
  raft.emplace(std::move(created).value());
  ++process;
  writes.clear();
  disk_busy = false;
  paused_until = 0;
  return std::nullopt;
}

void SimulatedMember::Kill(common::Random& random) {
  // A write in progress may reach the disk in part, or without being synced.
  constexpr double kCrashDuringWriteProbability = 0.5;
  constexpr std::uint64_t kMaxOperationsOfAWrite = 12;
  if (store && random.Chance(kCrashDuringWriteProbability)) {
    disk->KillAfter(random.Below(kMaxOperationsOfAWrite));
    static_cast<void>(FlushDisk(0));
    disk->Restart();
  }
  disk->set_sync_fails(false);
  store.reset();
  raft.reset();
  writes.clear();
}

void SimulatedMember::Crash(common::Random& random) {
  Kill(random);
  disk->Crash(random);
}

bool SimulatedMember::FlushDisk(TrueTime now) {
  std::optional<Ticket> last;
  std::vector<SnapshotWrite> snapshots;
  try {
    for (const DiskWrite& write : std::exchange(writes, {})) {
      if (const auto* snapshot = std::get_if<SnapshotWrite>(&write)) {
        snapshots.push_back(*snapshot);
        continue;
      }
      std::visit(
          [&]<typename Action>(const Action& action) {
            if constexpr (!std::is_same_v<Action, SnapshotWrite>) {
              store->Write(action);
              last = action.ticket;
            }
          },
          write);
    }
    store->Sync();
    for (const SnapshotWrite& snapshot : snapshots) {
      store->SaveOwnSnapshot(snapshot.metadata, *snapshot.data);
    }
  } catch (const storage::StorageError&) {
    return false;
  }
  for (const SnapshotWrite& snapshot : snapshots) raft->Compact(snapshot.metadata, snapshot.data);
  if (last) raft->Persisted(*last, LocalTime(now));
  return true;
}

void SimulatedMember::TakeSnapshotWhenDue() {
  if (state.index < snapshot_index + snapshot_every) return;
  const std::optional<common::Term> term = raft->TermAt(common::LogIndex(state.index));
  if (!term) return;
  snapshot_index = state.index;
  SnapshotWrite write;
  write.data = std::make_shared<const std::string>(state.Serialize(snapshot_padding));
  write.metadata.set_index(state.index);
  write.metadata.set_term(term->value());
  *write.metadata.mutable_membership() = raft->MembershipAt(common::LogIndex(state.index));
  write.metadata.set_size_bytes(write.data->size());
  write.metadata.set_checksum(common::Hash64(*write.data));
  writes.emplace_back(std::move(write));
}

}  // namespace briarwood::consensus
