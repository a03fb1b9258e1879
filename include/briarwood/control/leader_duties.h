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

/// Functions of the control member that LeaderDuties uses. Every function may block.
struct DutyContext {
  std::function<schema::ProposeResponse(const schema::Command& command)> propose;
  /// \returns true while this member leads and its lease lasts for at least the send margin; a
  /// leader may wait for that. Reads the clock at each call.
  std::function<bool()> may_send;
  /// \returns the term of this member's leadership, which is the fencing token of its requests to
  /// the platform.
  std::function<common::Term()> fence;
  std::function<void(const std::function<void(const ControlState&)>& read)> read_state;
  std::function<common::UnixMillis()> wall_clock;
  /// \returns the incarnations that were found dead since the last call.
  std::function<std::vector<membership::DeadIncarnation>()> take_dead;
  /// Delay after a report without an acknowledgement, since the platform may be slow or
  /// unreachable.
  common::Duration report_retry_delay{};
  /// Minimum time between two turns of one process as the holder of the duties, if another process
  /// may have held them in between.
  common::Duration holder_change{};
  std::function<common::Time()> now = [] { return common::BootClock::now(); };
};

/// Duties of the leader: closes usage windows and reports them to the platform, sends orders to the
/// platform, and declares incarnations dead.
///
/// Everything is committed before it is sent, and the lease is checked immediately before each
/// send. A report is sent again, with the same bytes, until its acknowledgement is committed. An
/// order is sent at most once: one without a response is looked up in the platform's list of
/// orders, and marked as expired when it is not listed after its expiry.
///
/// The platform takes calls of the holders A, B and A within `holder_change` as two holders at the
/// same time. A new leader may therefore send at once, unless it has sent as the leader of an
/// earlier term within that time. A process does not know what it sent before its start.
class LeaderDuties {
 public:
  /// An order without a response is marked as expired this long after its expiry, so that one still
  /// in transit cannot reach the platform unnoticed.
  static constexpr std::chrono::milliseconds kExpiryMargin{10'000};

  LeaderDuties(DutyContext context, PlatformPort platform)
      : context_(std::move(context)), platform_(std::move(platform)), last_sent_(context_.now()) {}

  /// Performs the duties that are due. Does nothing on a member that does not lead.
  void Run();

 private:
  [[nodiscard]] std::uint64_t NowMs() const;
  /// \returns true if this process may call the platform as the holder of the duties.
  [[nodiscard]] bool MaySend();
  void DeclareDead();
  void CloseWindow();
  void SendReports();
  void ProcessOrders();
  void SendOrder(const schema::Order& order);
  void ReconcileOrders(const std::vector<schema::Order>& orders);
  void RecordOutcome(const schema::Order& order, schema::OrderState state);

  DutyContext context_;
  PlatformPort platform_;
  /// Ids of the orders that this process has sent, with or without a response.
  std::set<std::uint64_t> sent_orders_;
  /// Term in which the platform rejected a report because of a higher fencing token.
  common::Term rejected_term_;
  common::Time next_report_at_;
  /// Term in which this process last sent something, and when; initially its start.
  common::Term sent_term_;
  common::Time last_sent_;
  /// Dead incarnations whose declaration is not committed yet.
  std::vector<membership::DeadIncarnation> dead_;
};

}  // namespace briarwood::control
