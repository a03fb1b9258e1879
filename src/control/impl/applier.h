#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/consensus/actions.h"
#include "briarwood/control/state_machine.h"
#include "control/impl/proposal_table.h"
#include "control/impl/work_queue.h"

namespace briarwood::control {

/// \returns the size of commands, in bytes, after which the next snapshot is taken.
/// \param last_snapshot_bytes  size of the last snapshot; 0 if there is none
[[nodiscard]] std::uint64_t SnapshotThresholdBytes(std::uint64_t last_snapshot_bytes);

/// Thread that applies committed entries to the state machine and takes snapshots.
class Applier {
 public:
  using Work = std::variant<consensus::ApplyEntries, consensus::RestoreSnapshot>;

  struct Callbacks {
    std::vector<std::function<void(common::LogIndex)>> applied;
    std::function<void(common::LogIndex, std::shared_ptr<const std::string>)> snapshot_taken;
    std::function<void(const std::string& reason)> failed;
    /// Receives problems that do not stop the member.
    std::function<void(const std::string& text)> warning;
  };

  Applier(std::unique_ptr<StateMachine> state, ProposalTable& proposals,
          std::uint64_t snapshot_every_entries);
  Applier(const Applier&) = delete;
  Applier& operator=(const Applier&) = delete;
  ~Applier();

  /// Restores a snapshot; call before Start.
  /// \returns an error message if the snapshot cannot be restored.
  [[nodiscard]] std::optional<std::string> Load(common::LogIndex index, const std::string& data);
  void Start(Callbacks callbacks);
  void Push(Work work) { queue_.Push(std::move(work)); }
  void Stop();

  void Read(const std::function<void(const StateMachine&)>& read) const;
  [[nodiscard]] common::LogIndex applied_index() const;
  /// \returns false if `index` is not applied by the deadline or the thread stops.
  [[nodiscard]] bool WaitApplied(common::LogIndex index, common::Time deadline) const;

 private:
  void Run();
  void Do(const consensus::ApplyEntries& work);
  void Do(const consensus::RestoreSnapshot& work);
  [[nodiscard]] schema::CommandResult ApplyOne(const schema::LogEntry& entry);
  void Publish(std::uint64_t index);
  void TakeSnapshotWhenDue();

  mutable std::shared_mutex state_mutex_;
  std::unique_ptr<StateMachine> state_;
  ProposalTable& proposals_;
  std::uint64_t snapshot_every_entries_;
  std::uint64_t entries_since_snapshot_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
  std::uint64_t last_snapshot_bytes_ = 0;
  Callbacks callbacks_;

  mutable std::mutex applied_mutex_;
  mutable std::condition_variable applied_changed_;
  std::uint64_t applied_ = 0;
  bool stopped_ = false;

  WorkQueue<Work> queue_;
  std::thread thread_;
};

}  // namespace briarwood::control
