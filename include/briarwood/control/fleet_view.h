#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/membership/liveness_table.h"
#include "briarwood/routing/division_planner.h"
#include "briarwood/routing/limit_splitter.h"
#include "configuration.pb.h"
#include "fleet.pb.h"

namespace briarwood::control {

/// State of the fleet as known to a control member: heartbeats of its children and, through the
/// leader, of all daemons; the demand of entries; the shares of customers' limits; and the
/// divisions of engines. Thread-safe.
///
/// A member reports its children to the leader once a second and receives the shares for its
/// entries, the divisions and the heartbeats of the fleet in return, so that no member communicates
/// with all daemons.
class FleetView {
 public:
  /// Maximum number of loads in one response. At full size an entry routes to 240 backend servers.
  static constexpr std::size_t kMaxLoadsPerResponse = 256;
  /// More loads than this are sent once per kThrottledLoadPeriod instead of in each response. A
  /// load in each response takes 0.1 KB/s, so 256 loads would raise the traffic of an entry with 15
  /// agents to 47 KB/s.
  static constexpr std::size_t kMaxUnthrottledLoads = 64;
  static constexpr std::chrono::milliseconds kThrottledLoadPeriod{2000};

  /// Records heartbeats and demand of a child.
  void OnSync(const schema::SyncRequest& request, common::Time now);

  /// Adds loads, limit shares, divisions and the number of entries to the response to an entry.
  void Complete(const schema::SyncRequest& request, schema::SyncResponse& response,
                common::Time now);

  /// Starts a leadership: limits are split anew, and no daemon is declared dead before it had time
  /// to report.
  void BecomeLeader(common::Time now);
  void StopLeading();
  /// Sets the limits of the configured customers; does nothing on a follower.
  void SetCustomers(const std::vector<schema::Customer>& customers);

  /// \returns the report of this member for the leader.
  [[nodiscard]] schema::MemberReport MakeReport(common::MemberId member, common::Time now);
  /// On the leader: records a member's report.
  /// \returns the shares for the member's entries and the heartbeats of the fleet; on a follower, a
  /// response without `leading`.
  [[nodiscard]] schema::MemberReportResponse HandleReport(const schema::MemberReport& report,
                                                          common::Time now);
  /// On a follower: records the leader's response to a report that was sent at `sent_at`.
  void HandleReportResponse(const schema::MemberReportResponse& response, common::Time sent_at,
                            common::Time now);

  [[nodiscard]] std::vector<membership::NodeView> Nodes(common::Time now) const;
  [[nodiscard]] std::vector<membership::DeadIncarnation> TakeDead(common::Time now);

 private:
  struct CachedShares {
    std::vector<schema::LimitShare> shares;
    common::Time granted_at;
    bool sent = false;
  };
  /// Divisions as the leader decided them.
  struct CachedDivisions {
    std::map<std::string, routing::EngineDivision> divisions;
    common::Time received_at;
  };
  /// Customer with recent demand at an entry.
  struct ActiveCustomer {
    common::Time last_demand;
    std::optional<common::Time> granted_at;
  };

  /// Sets the number of entries and the position of `entry` among them.
  static void SetPosition(const std::string& entry, std::vector<common::NodeId> entries,
                          schema::SyncResponse& response);
  void RecordDemand(const std::string& entry,
                    const google::protobuf::RepeatedPtrField<schema::CustomerDemand>& demand,
                    common::Time now);
  /// \returns the shares of the customers with recent demand whose lease is due for renewal.
  [[nodiscard]] std::vector<schema::LimitShare> Grant(const std::string& entry, common::Time now);
  void AddShares(const schema::SyncRequest& request, schema::SyncResponse& response,
                 common::Time now);
  void AddLoads(const schema::SyncRequest& request, schema::SyncResponse& response,
                common::Time now);
  /// On the leader: passes the streams of an entry on to the planner.
  void RecordStreams(const schema::Heartbeat& heartbeat, common::Time now);
  /// On the leader: updates the divisions if that is due.
  void UpdateDivisions(common::Time now);
  void AddDivisions(schema::SyncResponse& response, common::Time now) const;
  /// \returns the entries that are not dead.
  [[nodiscard]] std::vector<common::NodeId> Entries(common::Time now) const;

  mutable std::mutex mutex_;
  /// Children of this member, for the report.
  membership::LivenessTable children_;
  /// The whole fleet.
  membership::LivenessTable liveness_;
  /// Has a value while this member leads.
  std::optional<routing::LimitSplitter> splitter_;
  /// Has a value while this member leads.
  std::optional<routing::DivisionPlanner> planner_;
  common::Time planned_at_;
  /// On a follower: the last divisions of the leader.
  std::optional<CachedDivisions> cached_divisions_;
  /// On the leader: customers with recent demand, by entry and customer.
  std::map<std::string, std::map<common::CustomerId, ActiveCustomer>> active_customers_;
  /// On a follower: latest demand of each child since the last report.
  std::map<std::string, std::vector<schema::CustomerDemand>> unreported_demand_;
  /// Time at which loads were last sent, by entry.
  std::map<std::string, common::Time> loads_sent_;
  /// On a follower: shares that the leader granted, by entry.
  std::map<std::string, CachedShares> cached_shares_;
};

}  // namespace briarwood::control
