#pragma once

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/timer_service.h"
#include "briarwood/control/control_node.h"
#include "briarwood/rpc/server.h"
#include "register_state.h"

namespace briarwood::control {

using RegisterNode = BasicControlNode<RegisterState>;

/// Temporary folder that the destructor deletes.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "briarwood-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Waits until `condition` returns true; \returns false if it does not within `limit`.
inline bool Eventually(const std::function<bool()>& condition,
                       std::chrono::milliseconds limit = std::chrono::seconds(30)) {
  const common::Time end = common::TimerService::Now() + limit;
  while (!condition()) {
    if (common::TimerService::Now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// Control members in the test process, connected over loopback.
class NodeGroup {
 public:
  /// \param disks  disks in memory for the first members; the others use a folder
  explicit NodeGroup(std::size_t voters, std::uint64_t snapshot_every = 10'000,
                     std::vector<std::shared_ptr<storage::MemoryDisk>> disks = {})
      : snapshot_every_(snapshot_every), disks_(std::move(disks)), failures_(voters) {
    for (std::size_t i = 0; i < voters; ++i) AddSlot();
    for (std::size_t i = 0; i < voters; ++i) {
      peers_.push_back(PeerOf(i));
    }
    for (std::size_t i = 0; i < voters; ++i) nodes_[i]->Start(peers_, false);
  }
  NodeGroup(const NodeGroup&) = delete;
  NodeGroup& operator=(const NodeGroup&) = delete;
  ~NodeGroup() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) Stop(i);
  }

  /// Stops a member without a leadership transfer; to the other members this is a crash.
  void Stop(std::size_t slot) {
    if (nodes_[slot] == nullptr) return;
    nodes_[slot]->Stop();
    servers_[slot]->Stop();
    nodes_[slot].reset();
  }

  /// Restarts a stopped member with its previous folder and port.
  void Restart(std::size_t slot) {
    Open(slot, ports_[slot]);
    nodes_[slot]->Start(peers_, slot >= peers_.size());
  }

  /// Starts a member that waits to be added to the group; \returns its slot.
  std::size_t StartJoining() {
    const std::size_t slot = AddSlot();
    nodes_[slot]->Start(peers_, true);
    return slot;
  }

  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] RegisterNode& node(std::size_t slot) { return *nodes_[slot]; }
  /// \returns the number of failures that the member reported.
  [[nodiscard]] int failures(std::size_t slot) const { return failures_[slot]; }
  [[nodiscard]] bool running(std::size_t slot) const { return nodes_[slot] != nullptr; }
  [[nodiscard]] std::string AddressOf(std::size_t slot) const {
    return "127.0.0.1:" + std::to_string(ports_[slot]);
  }
  [[nodiscard]] std::string FolderOf(std::size_t slot) const {
    return folder_.path() + "/" + std::to_string(slot);
  }
  [[nodiscard]] static common::MemberId IdOf(std::size_t slot) {
    return common::MemberId(slot + 1);
  }
  [[nodiscard]] schema::Member MemberOf(std::size_t slot) const {
    schema::Member member;
    member.set_id(IdOf(slot).value());
    member.set_rpc_address(AddressOf(slot));
    return member;
  }

  /// Waits for a leader that has committed an entry of its term; \returns its slot.
  std::optional<std::size_t> WaitLeader() {
    std::optional<std::size_t> leader;
    static_cast<void>(Eventually([&] {
      for (std::size_t i = 0; i < nodes_.size() && !leader; ++i) {
        if (nodes_[i] == nullptr) continue;
        const NodeStatus status = nodes_[i]->status();
        if (status.role == consensus::Role::kLeader && nodes_[i]->confirmation() &&
            nodes_[i]->confirmation()->fencing_token == status.term) {
          leader = i;
        }
      }
      return leader.has_value();
    }));
    return leader;
  }

  /// Proposes to the current leader until the command is applied.
  bool Write(const std::string& operation) {
    return Eventually([&] {
      for (const auto& node : nodes_) {
        if (node == nullptr || node->status().role != consensus::Role::kLeader) continue;
        if (node->Propose(RegisterCommand(operation), std::chrono::seconds(5)).status() ==
            schema::ProposeResponse::STATUS_APPLIED) {
          return true;
        }
      }
      return false;
    });
  }

 private:
  std::size_t AddSlot() {
    nodes_.emplace_back();
    servers_.emplace_back();
    ports_.push_back(0);
    Open(nodes_.size() - 1, 0);
    return nodes_.size() - 1;
  }

  void Open(std::size_t slot, std::uint16_t port) {
    servers_[slot] = std::make_unique<rpc::Server>();
    NodeOptions options{
        .id = IdOf(slot), .data_folder = FolderOf(slot), .snapshot_every_entries = snapshot_every_};
    options.segment_bytes = std::uint64_t{256} * 1024;
    if (slot < disks_.size()) options.files = storage::Files(storage::MemoryFiles(disks_[slot]));
    if (slot < failures_.size()) {
      options.on_failure = [this, slot](const auto&) { ++failures_[slot]; };
    }
    auto node = RegisterNode::Create(std::move(options), *servers_[slot], timers_, {},
                                     &RegisterState::Restore);
    if (!node.ok()) throw common::Error(node.error());
    nodes_[slot] = std::move(node).value();
    auto used = servers_[slot]->Start({.listen = "127.0.0.1:" + std::to_string(port)});
    if (!used.ok()) throw common::Error(used.error());
    ports_[slot] = used.value();
  }

  [[nodiscard]] schema::ControlPeer PeerOf(std::size_t slot) const {
    schema::ControlPeer peer;
    peer.set_member_id(IdOf(slot).value());
    peer.set_rpc_address(AddressOf(slot));
    return peer;
  }

  TemporaryFolder folder_;
  common::TimerService timers_;
  std::uint64_t snapshot_every_;
  std::vector<std::shared_ptr<storage::MemoryDisk>> disks_;
  std::vector<std::atomic<int>> failures_;
  std::vector<std::unique_ptr<rpc::Server>> servers_;
  std::vector<std::unique_ptr<RegisterNode>> nodes_;
  std::vector<std::uint16_t> ports_;
  std::vector<schema::ControlPeer> peers_;
};

}  // namespace briarwood::control
