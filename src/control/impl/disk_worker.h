#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "briarwood/control/member_disk.h"
#include "control/impl/work_queue.h"

namespace briarwood::control {

/// Snapshot that this member took and that is still to be saved.
struct OwnSnapshot {
  schema::SnapshotMetadata metadata;
  std::shared_ptr<const std::string> data;
};

/// Thread that writes to the disk of the member; all queued writes share one sync.
class DiskWorker {
 public:
  using Work = std::variant<consensus::PersistHardState, consensus::PersistEntries,
                            consensus::PersistSnapshot, OwnSnapshot>;

  struct Callbacks {
    std::function<void(consensus::Ticket)> persisted;
    std::function<void(OwnSnapshot)> snapshot_saved;
    std::function<void(const std::string& reason)> failed;
    /// Called when the disk has become full, and when it has room again.
    std::function<void(bool full)> full;
    /// Receives problems that do not stop the member.
    std::function<void(const std::string& text)> warning;
  };

  DiskWorker(MemberDisk disk, Callbacks callbacks);
  DiskWorker(const DiskWorker&) = delete;
  DiskWorker& operator=(const DiskWorker&) = delete;
  ~DiskWorker();

  void Push(Work work) { queue_.Push(std::move(work)); }
  void Stop();

 private:
  void Run();
  void WriteBatch(std::vector<Work> batch);
  /// Repeats a write until the disk has room: like a slow disk, a full one delays what depends on
  /// it, and the member goes on with what it has.
  /// \returns false if the worker stops before.
  template <typename Step>
  [[nodiscard]] bool RetryWhileFull(Step step);
  void SaveOwnSnapshot(OwnSnapshot snapshot);

  MemberDisk disk_;
  Callbacks callbacks_;
  WorkQueue<Work> queue_;
  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::control
