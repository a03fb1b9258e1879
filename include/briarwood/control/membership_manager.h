#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/common/time.h"
#include "briarwood/consensus/membership.h"
#include "briarwood/control/membership_planner.h"
#include "briarwood/control/node_options.h"
#include "fleet.pb.h"

namespace briarwood::control {

struct MembershipContext {
  std::function<NodeStatus()> status;
  /// Commits one change; blocks until then.
  std::function<common::Result<common::LogIndex>(const consensus::MembershipChange&)> change;
  /// Receives the fields of a log line for each change.
  std::function<void(const std::string& line)> log;
};

/// Changes the membership of a group while this member leads it, and keeps which members announced
/// that they stop. Thread-safe.
class MembershipManager {
 public:
  MembershipManager(MembershipPlannerOptions options, MembershipContext context)
      : planner_(options), context_(std::move(context)) {}

  /// Makes the changes that are needed now, one after the other; does nothing unless this member
  /// leads. To be called periodically by one thread.
  void Update(common::Time now);

  /// Records that members stop.
  [[nodiscard]] schema::LeaveResponse HandleLeave(const schema::LeaveRequest& request,
                                                  common::Time now);

  /// \returns the request of a member that stops, for the next leader.
  [[nodiscard]] schema::LeaveRequest MakeLeaveRequest(common::MemberId self) const;

 private:
  /// \returns the next change, or nothing if none is needed or this member does not lead.
  [[nodiscard]] std::optional<consensus::MembershipChange> Next(NodeStatus& status,
                                                                common::Time now);
  [[nodiscard]] common::Time leading_since() const;
  void MarkLeaving(std::vector<MemberContact>& contacts);

  MembershipPlanner planner_;
  MembershipContext context_;
  std::atomic<bool> changing_ = false;
  mutable std::mutex mutex_;
  common::Term led_term_;
  common::Time leading_since_;
  /// Time of the announcement, by member id.
  std::map<std::uint64_t, common::Time> leaving_;
};

}  // namespace briarwood::control
