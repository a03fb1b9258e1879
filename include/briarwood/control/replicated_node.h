#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/common/timer_service.h"
#include "briarwood/consensus/membership.h"
#include "briarwood/control/node_options.h"
#include "briarwood/control/state_machine.h"
#include "briarwood/rpc/server.h"
#include "fleet.pb.h"
#include "settings.pb.h"

namespace briarwood::control {

/// Threads, disk and RPC around consensus::Raft and a state machine.
///
/// Create registers the methods "Consensus", "Propose", "ConfirmRead" and "ReadFence", which answer
/// with an error until Start. Order of a daemon: Create, rpc::Server::Start, Start. Stop the node
/// before the server, because handlers wait for the node. Thread-safe.
class ReplicatedNode {
 public:
  using Milliseconds = std::chrono::milliseconds;
  /// Runs after commands up to `index` are applied or a snapshot is restored; must be short.
  using AppliedCallback = std::function<void(common::LogIndex index)>;

  ReplicatedNode(const ReplicatedNode&) = delete;
  ReplicatedNode& operator=(const ReplicatedNode&) = delete;
  virtual ~ReplicatedNode();

  /// Starts to take part in the group.
  /// \param peers  members of the group; they are the initial voters unless `join` is set, and give
  ///               addresses until the log does
  /// \param join   this member waits to be added to a running group
  void Start(const std::vector<schema::ControlPeer>& peers, bool join);
  /// Ends all threads; pending proposals are answered with STATUS_UNKNOWN.
  void Stop();

  /// Commits and applies the command. Only the leader does; others answer STATUS_NOT_LEADER with
  /// its address, if known.
  [[nodiscard]] schema::ProposeResponse Propose(const schema::Command& command,
                                                Milliseconds timeout);

  /// \returns the index of the committed change, or a sentence why there is none.
  common::Result<common::LogIndex> ChangeMembership(const consensus::MembershipChange& change,
                                                    Milliseconds timeout);
  common::Result<common::LogIndex> AddLearner(schema::Member member, Milliseconds timeout) {
    return ChangeMembership(consensus::AddLearner{std::move(member)}, timeout);
  }
  common::Result<common::LogIndex> Promote(common::MemberId member, Milliseconds timeout) {
    return ChangeMembership(consensus::PromoteLearner{member}, timeout);
  }
  common::Result<common::LogIndex> Remove(common::MemberId member, Milliseconds timeout) {
    return ChangeMembership(consensus::RemoveMember{member}, timeout);
  }
  /// Hands leadership to a voter; id 0 picks the most advanced one.
  /// \returns true when another member leads or this one never did.
  [[nodiscard]] bool TransferLeadership(common::MemberId target, Milliseconds timeout);

  /// Waits until everything that was acknowledged before this call is applied here and a majority
  /// has confirmed that.
  /// \returns false when that was not possible within `timeout`; the state may be out of date then.
  [[nodiscard]] bool ConfirmRead(Milliseconds timeout);

  /// \returns nothing until the first confirmation.
  [[nodiscard]] std::optional<Confirmation> confirmation() const;
  /// True while this member leads, holds its lease for at least the send margin beyond `now`, all
  /// leases of former leaders have ended, and every entry committed before its term is applied.
  /// Read the clock and call this right before each send.
  [[nodiscard]] bool MaySendOrders(common::Time now) const { return OrderFence(now).has_value(); }
  /// \returns the fence of orders sent now, or nothing when MaySendOrders is false.
  [[nodiscard]] std::optional<common::Term> OrderFence(common::Time now) const;
  [[nodiscard]] NodeStatus status() const;
  [[nodiscard]] common::LogIndex applied_index() const;

  /// Callbacks stay until the node is destroyed; add them before Start.
  void OnApplied(AppliedCallback callback);

 protected:
  ReplicatedNode();

  /// Opens the data folder and registers the RPC methods.
  [[nodiscard]] std::optional<std::string> Open(NodeOptions options, rpc::Server& server,
                                                common::TimerService& timers,
                                                std::unique_ptr<StateMachine> state);
  /// Runs `read` while no command is applied.
  void ReadState(const std::function<void(const StateMachine&)>& read) const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::control
