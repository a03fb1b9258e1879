#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/control/control_state.h"
#include "briarwood/control/platform_port.h"
#include "briarwood/membership/liveness_table.h"
#include "fleet.pb.h"

namespace briarwood::control {

/// What the duties need of the control member; every function may block.
struct DutyContext {
  std::function<schema::ProposeResponse(const schema::Command& command)> propose;
  /// True while this member leads and holds its lease for at least the send margin. Reads the
  /// clock at each call.
  std::function<bool()> may_send;
  /// Term of this member's leadership.
  std::function<common::Term()> fence;
  std::function<void(const std::function<void(const ControlState&)>& read)> read_state;
  std::function<common::UnixMillis()> wall_clock;
  /// Incarnations that died since the last call.
  std::function<std::vector<membership::DeadIncarnation>()> take_dead;
  /// Pause after a report without an answer; the platform may be slow or down.
  common::Duration report_pause{};
};

/// Work of the leader towards the platform: closes and reports usage windows, sends orders and
/// declares dead incarnations.
///
/// Everything is committed before it is sent, and the lease is checked right before each send. A
/// report is sent again, with the same bytes, until a receipt is committed. An order is sent at
/// most once: an unanswered one is looked up in the platform's list, and expires when it is not
/// there after its expiry.
class LeaderDuties {
 public:
  /// An order without an answer is given up this long after its expiry, so that one that is still
  /// on its way cannot arrive unnoticed.
  static constexpr std::chrono::milliseconds kExpiryMargin{10'000};

  LeaderDuties(DutyContext context, PlatformPort platform)
      : context_(std::move(context)), platform_(std::move(platform)) {}

  /// Does what is due; a member that does not lead does nothing.
  void Run();

 private:
  [[nodiscard]] std::uint64_t NowMs() const;
  void DeclareDead();
  void CloseWindow();
  void SendReports();
  void SettleOrders();
  void SendOrder(const schema::Order& order);
  void ReconcileOrders(const std::vector<schema::Order>& orders);
  void RecordOutcome(const schema::Order& order, schema::OrderState state);

  DutyContext context_;
  PlatformPort platform_;
  /// Orders of this leadership that were sent, whatever the answer.
  std::set<std::uint64_t> sent_;
  /// Term under which the platform refused a report as overtaken.
  common::Term fenced_term_;
  common::Time report_pause_until_;
  /// Incarnations whose declaration is not committed yet.
  std::vector<membership::DeadIncarnation> dead_;
};

}  // namespace briarwood::control
