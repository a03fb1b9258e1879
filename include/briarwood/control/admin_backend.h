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

/// What the administration API needs of a control member. Every function is called on several
/// threads at once and may block.
class AdminBackend {
 public:
  using Milliseconds = std::chrono::milliseconds;

  AdminBackend() = default;
  AdminBackend(const AdminBackend&) = delete;
  AdminBackend& operator=(const AdminBackend&) = delete;
  virtual ~AdminBackend() = default;

  /// Commits a command, through the leader when this member does not lead. The proposing leader
  /// stamps the time.
  [[nodiscard]] virtual schema::ProposeResponse Propose(const schema::Command& command,
                                                        Milliseconds timeout) = 0;

  /// Calls `read` while no command is applied.
  virtual void ReadState(const std::function<void(const ControlState&)>& read) const = 0;

  /// Waits until this member's state holds everything that was acknowledged before the call.
  /// \returns false when a majority did not confirm that within `timeout`.
  [[nodiscard]] virtual bool ConfirmRead(Milliseconds timeout) = 0;

  [[nodiscard]] virtual schema::MemberStatus Status() const = 0;

  /// Daemons that this member knows of, itself included.
  [[nodiscard]] virtual std::vector<membership::NodeView> Nodes() const = 0;

  /// The changes of members work at the leader only.
  /// \returns the index of the committed change, or a sentence why there is none.
  virtual common::Result<common::LogIndex> AddLearner(const schema::Member& member,
                                                      Milliseconds timeout) = 0;
  virtual common::Result<common::LogIndex> Promote(common::MemberId member,
                                                   Milliseconds timeout) = 0;
  virtual common::Result<common::LogIndex> Remove(common::MemberId member,
                                                  Milliseconds timeout) = 0;
};

}  // namespace briarwood::control
