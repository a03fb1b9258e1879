#include "control/impl/disk_worker.h"

#include <optional>
#include <utility>

#include "briarwood/storage/error.h"

namespace briarwood::control {

DiskWorker::DiskWorker(MemberDisk disk, Callbacks callbacks)
    : disk_(std::move(disk)), callbacks_(std::move(callbacks)), thread_([this] { Run(); }) {}

DiskWorker::~DiskWorker() { Stop(); }

void DiskWorker::Stop() {
  queue_.Close();
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
            disk_.Write(action);
            last_ticket = action.ticket;
          }
        },
        work);
  }
  disk_.Sync();
  if (last_ticket) callbacks_.persisted(*last_ticket);
  for (OwnSnapshot& snapshot : snapshots) {
    disk_.SaveOwnSnapshot(snapshot.metadata, *snapshot.data);
    callbacks_.snapshot_saved(std::move(snapshot));
  }
}

}  // namespace briarwood::control
