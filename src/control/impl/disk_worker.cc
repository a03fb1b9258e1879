#include "control/impl/disk_worker.h"

#include <chrono>
#include <optional>
#include <utility>

#include "briarwood/storage/error.h"

namespace briarwood::control {

namespace {

constexpr std::chrono::milliseconds kFullDiskRetryInterval{100};

}  // namespace

DiskWorker::DiskWorker(MemberDisk disk, Callbacks callbacks)
    : disk_(std::move(disk)), callbacks_(std::move(callbacks)), thread_([this] { Run(); }) {}

DiskWorker::~DiskWorker() { Stop(); }

void DiskWorker::Stop() {
  queue_.Close();
  {
    const std::lock_guard lock(stop_mutex_);
    stopping_ = true;
  }
  stop_changed_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void DiskWorker::Run() {
  try {
    while (true) {
      std::vector<Work> batch = queue_.PopAll();
      if (batch.empty()) return;
      WriteBatch(std::move(batch));
    }
  } catch (const storage::StorageError& error) {
    // Queued writes are dropped, so they are never reported as durable.
    queue_.Close();
    callbacks_.failed(error.what());
  }
}

void DiskWorker::WriteBatch(std::vector<Work> batch) {
  std::optional<consensus::Ticket> last_ticket;
  std::vector<OwnSnapshot> snapshots;
  for (Work& work : batch) {
    if (auto* snapshot = std::get_if<OwnSnapshot>(&work)) {
      snapshots.push_back(std::move(*snapshot));
      continue;
    }
    std::visit(
        [&]<typename Action>(const Action& action) {
          if constexpr (!std::is_same_v<Action, OwnSnapshot>) {
            if (!RetryWhileFull([&] { disk_.Write(action); })) return;
            last_ticket = action.ticket;
          }
        },
        work);
  }
  if (!RetryWhileFull([this] { disk_.Sync(); })) return;
  if (last_ticket) callbacks_.persisted(*last_ticket);
  for (OwnSnapshot& snapshot : snapshots) SaveOwnSnapshot(std::move(snapshot));
}

template <typename Step>
bool DiskWorker::RetryWhileFull(Step step) {
  bool was_full = false;
  while (true) {
    try {
      step();
      if (was_full) {
        callbacks_.warning("the disk has room again");
        callbacks_.full(false);
      }
      return true;
    } catch (const storage::StorageError& error) {
      if (error.problem() != storage::StorageProblem::kDiskFull) throw;
      if (!std::exchange(was_full, true)) {
        callbacks_.warning(std::string("the disk is full, retrying: ") + error.what());
        callbacks_.full(true);
      }
    }
    std::unique_lock lock(stop_mutex_);
    if (stop_changed_.wait_for(lock, kFullDiskRetryInterval, [this] { return stopping_; })) {
      return false;
    }
  }
}

void DiskWorker::SaveOwnSnapshot(OwnSnapshot snapshot) {
  try {
    disk_.SaveOwnSnapshot(snapshot.metadata, *snapshot.data);
  } catch (const storage::StorageError& error) {
    if (error.problem() != storage::StorageProblem::kDiskFull) throw;
    // The log still holds everything; the next snapshot may find room.
    callbacks_.warning("the snapshot at " + std::to_string(snapshot.metadata.index()) +
                       " is not saved: " + error.what());
    return;
  }
  callbacks_.snapshot_saved(std::move(snapshot));
}

}  // namespace briarwood::control
