#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/timer_service.h"
#include "briarwood/consensus/raft.h"
#include "briarwood/control/node_options.h"
#include "control/impl/applier.h"
#include "control/impl/disk_worker.h"
#include "control/impl/node_events.h"
#include "control/impl/peer_sender.h"
#include "control/impl/proposal_table.h"
#include "control/impl/work_queue.h"
#include "settings.pb.h"

namespace briarwood::control {

/// Copy of the Raft state for other threads.
struct PublishedState {
  consensus::Role role = consensus::Role::kFollower;
  common::Term term;
  common::MemberId leader;
  std::string leader_rpc;
  common::LogIndex commit_index;
  schema::Membership membership;
  /// The other members; empty unless this member leads.
  std::vector<MemberContact> contacts;
  std::optional<common::Time> lease_end;
  std::optional<common::Time> orders_from;
  /// First index of the term of this leader; valid while orders_from is set.
  common::LogIndex own_term_start;
};

/// Thread that owns consensus::Raft: passes events to it and executes its actions.
class RaftLoop {
 public:
  RaftLoop(const NodeOptions& options, consensus::Raft raft,
           const std::vector<schema::ControlPeer>& peers, MemberDisk disk, Applier& applier,
           ProposalTable& proposals, std::function<void(const std::string&)> failed);
  RaftLoop(const RaftLoop&) = delete;
  RaftLoop& operator=(const RaftLoop&) = delete;
  ~RaftLoop();

  /// \returns false if the loop has stopped.
  bool Push(NodeEvent event) { return queue_.Push(std::move(event)); }
  /// Stops processing without waiting for the threads; nothing is acknowledged afterwards.
  void Halt() { queue_.Close(); }
  void Stop();

  [[nodiscard]] PublishedState published() const;
  /// Waits until `done` returns true for the published state; \returns false at the deadline.
  [[nodiscard]] bool WaitPublished(const std::function<bool(const PublishedState&)>& done,
                                   common::Time deadline) const;

 private:
  void Run();
  void On(TickEvent& event, common::Time now);
  void On(MessageEvent& event, common::Time now);
  void On(PersistedEvent& event, common::Time now);
  void On(ProposeEvent& event, common::Time now);
  void On(ReadEvent& event, common::Time now);
  void On(ChangeEvent& event, common::Time now);
  void On(TransferEvent& event, common::Time now);
  void On(SnapshotTakenEvent& event, common::Time now);
  void On(SnapshotSavedEvent& event, common::Time now);

  void Do(consensus::PersistHardState action) { disk_->Push(std::move(action)); }
  void Do(consensus::PersistEntries action) { disk_->Push(std::move(action)); }
  void Do(consensus::PersistSnapshot action) { disk_->Push(std::move(action)); }
  void Do(consensus::ApplyEntries action) { applier_.Push(std::move(action)); }
  void Do(consensus::RestoreSnapshot action) { applier_.Push(std::move(action)); }
  void Do(consensus::SendMessage action);
  void Do(consensus::ReadConfirmed action);
  void Do(consensus::ReadFailed action);

  void CompleteRead(consensus::ReadId id, std::optional<ReadPoint> point);
  [[nodiscard]] std::string AddressOf(std::uint64_t member) const;
  [[nodiscard]] PeerSender* SenderTo(std::uint64_t member);
  void Publish();
  void Log(const std::string& line) const;

  const NodeOptions& options_;
  consensus::Raft raft_;
  std::map<std::uint64_t, std::string> initial_addresses_;
  Applier& applier_;
  ProposalTable& proposals_;
  std::function<void(const std::string&)> failed_;
  std::map<std::uint64_t, std::unique_ptr<PeerSender>> senders_;
  /// Senders to previous addresses; joined only in Stop, so that the loop does not wait for them.
  std::vector<std::unique_ptr<PeerSender>> retired_senders_;
  std::map<consensus::ReadId, std::shared_ptr<std::promise<std::optional<ReadPoint>>>> reads_;
  std::uint64_t next_read_id_ = 1;

  mutable std::mutex published_mutex_;
  mutable std::condition_variable published_changed_;
  PublishedState published_;

  WorkQueue<NodeEvent> queue_;
  std::atomic<bool> disk_full_ = false;
  common::Time next_transfer_;
  std::unique_ptr<DiskWorker> disk_;
  std::thread thread_;
};

}  // namespace briarwood::control
