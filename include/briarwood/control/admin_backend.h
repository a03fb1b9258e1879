#pragma once

#include <chrono>
#include <functional>
#include <vector>

#include "admin.pb.h"
#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/control/control_state.h"
#include "briarwood/membership/liveness_table.h"
#include "fleet.pb.h"

namespace briarwood::control {

/// Interface of a control member to the administration API. All functions must be thread-safe and
/// may block.
class AdminBackend {
 public:
  using Milliseconds = std::chrono::milliseconds;

  AdminBackend() = default;
  AdminBackend(const AdminBackend&) = delete;
  AdminBackend& operator=(const AdminBackend&) = delete;
  virtual ~AdminBackend() = default;

  /// Commits a command, forwarded to the leader if this member does not lead. The leader sets the
  /// time of the command.
  [[nodiscard]] virtual schema::ProposeResponse Propose(const schema::Command& command,
                                                        Milliseconds timeout) = 0;

  /// Calls `read` with the state; no command is applied during the call.
  virtual void ReadState(const std::function<void(const ControlState&)>& read) const = 0;

  /// Waits until the state of this member includes everything acknowledged before the call.
  /// \returns false if a majority did not confirm that within `timeout`.
  [[nodiscard]] virtual bool ConfirmRead(Milliseconds timeout) = 0;

  [[nodiscard]] virtual schema::MemberStatus Status() const = 0;

  /// \returns the daemons that this member knows of, including itself.
  [[nodiscard]] virtual std::vector<membership::NodeView> Nodes() const = 0;

  /// Membership changes succeed only at the leader.
  /// \returns the index of the committed change, or an error that describes why it was not
  /// committed.
  virtual common::Result<common::LogIndex> AddLearner(const schema::Member& member,
                                                      Milliseconds timeout) = 0;
  virtual common::Result<common::LogIndex> Promote(common::MemberId member,
                                                   Milliseconds timeout) = 0;
  virtual common::Result<common::LogIndex> Remove(common::MemberId member,
                                                  Milliseconds timeout) = 0;
};

}  // namespace briarwood::control
