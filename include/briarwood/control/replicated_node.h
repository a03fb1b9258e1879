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

/// Runs consensus::Raft and a state machine with threads, disk and RPC.
///
/// Create registers the RPC methods "Consensus", "Propose", "ConfirmRead" and "ReadFence", which
/// return an error until Start. A daemon calls Create, rpc::Server::Start and Start in this order.
/// Stop the node before the server, because handlers wait for the node. Thread-safe.
class ReplicatedNode {
 public:
  using Milliseconds = std::chrono::milliseconds;
  /// Called after commands up to `index` are applied or a snapshot is restored; must be short.
  using AppliedCallback = std::function<void(common::LogIndex index)>;

  ReplicatedNode(const ReplicatedNode&) = delete;
  ReplicatedNode& operator=(const ReplicatedNode&) = delete;
  virtual ~ReplicatedNode();

  /// Starts to participate in the group.
  /// \param peers  members of the group: the initial voters unless `join` is set, and the addresses
  ///               to use until the log contains addresses
  /// \param join   true if this member waits to be added to a running group
  void Start(const std::vector<schema::ControlPeer>& peers, bool join);
  /// Stops all threads; pending proposals complete with STATUS_UNKNOWN.
  void Stop();

  /// Commits and applies the command. Only the leader does; other members return STATUS_NOT_LEADER
  /// with the leader's address, if known.
  [[nodiscard]] schema::ProposeResponse Propose(const schema::Command& command,
                                                Milliseconds timeout);

  /// \returns the index of the committed change, or an error that describes why it was not
  /// committed.
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
  /// Transfers leadership to a voter; id 0 selects the one with the most complete log.
  /// \returns true if another member leads afterwards or this member was not the leader.
  [[nodiscard]] bool TransferLeadership(common::MemberId target, Milliseconds timeout);

  /// Waits until everything that was acknowledged before this call is applied here and a majority
  /// has confirmed that.
  /// \returns false if that was not possible within `timeout`; the state may be stale then.
  [[nodiscard]] bool ConfirmRead(Milliseconds timeout);

  /// \returns std::nullopt until the first confirmation.
  [[nodiscard]] std::optional<Confirmation> confirmation() const;
  /// True while this member leads, its lease lasts for at least the send margin beyond `now`, the
  /// leases of all previous leaders have expired, and every entry committed before its term is
  /// applied. Read the clock and call this immediately before sending each order.
  [[nodiscard]] bool MaySendOrders(common::Time now) const {
    return OrderFencingToken(now).has_value();
  }
  /// Waits until MaySendOrders is true, for as long as this member leads. The lease of a loaded
  /// leader is long enough only for a moment after each acknowledged round.
  /// \returns false after `timeout`, or once this member does not lead.
  [[nodiscard]] bool WaitToSendOrders(std::chrono::milliseconds timeout) const;
  /// \returns the fencing token of orders sent now, or std::nullopt if MaySendOrders is false.
  [[nodiscard]] std::optional<common::Term> OrderFencingToken(common::Time now) const;
  [[nodiscard]] NodeStatus status() const;
  [[nodiscard]] common::LogIndex applied_index() const;

  /// Registers a callback for the lifetime of the node; call before Start.
  void OnApplied(AppliedCallback callback);

 protected:
  ReplicatedNode();

  /// Opens the data folder and registers the RPC methods.
  /// \returns an error message, or std::nullopt on success.
  [[nodiscard]] std::optional<std::string> Open(NodeOptions options, rpc::Server& server,
                                                common::TimerService& timers,
                                                std::unique_ptr<StateMachine> state);
  /// Calls `read` with the state; no command is applied during the call.
  void ReadState(const std::function<void(const StateMachine&)>& read) const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::control
