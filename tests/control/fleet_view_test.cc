#include "briarwood/control/fleet_view.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr std::uint64_t kLimit = 600;

schema::SyncRequest MakeRequest(const std::string& entry, const std::string& customer = {}) {
  schema::SyncRequest request;
  request.mutable_node()->set_id(entry);
  request.mutable_node()->set_role(schema::NODE_ROLE_ENTRY);
  request.mutable_node()->set_incarnation(1);
  *request.add_heartbeats()->mutable_node() = request.node();
  if (customer.empty()) return request;
  schema::CustomerDemand& demand = *request.add_demand();
  demand.set_customer(customer);
  demand.set_requests(5);
  return request;
}

schema::SyncResponse SyncOnce(FleetView& view, const schema::SyncRequest& request,
                              common::Time now) {
  schema::SyncResponse response;
  view.OnSync(request, now);
  view.Complete(request, response, now);
  return response;
}

void StartLeading(FleetView& view) {
  view.BecomeLeader(kStart);
  std::vector<schema::Customer> customers(2);
  customers[0].set_id("hauliers");
  customers[0].set_requests_per_minute(kLimit);
  customers[1].set_id("planners");
  customers[1].set_requests_per_minute(kLimit);
  view.SetCustomers(customers);
}

// Guards against responses that contain the shares of all customers, which is 188 KB/s with 1,300
// customers, and against leases that are not renewed in time.
TEST(FleetViewTest, GrantsSharesOnlyForCustomersWithDemand) {
  FleetView view;
  StartLeading(view);
  const common::Time now = kStart + seconds(6);
  const auto first = SyncOnce(view, MakeRequest("entry-1", "hauliers"), now);
  ASSERT_EQ(first.limits_size(), 1);
  EXPECT_EQ(first.limits(0).customer(), "hauliers");
  EXPECT_EQ(
      SyncOnce(view, MakeRequest("entry-1", "hauliers"), now + milliseconds(500)).limits_size(), 0);
  EXPECT_EQ(
      SyncOnce(view, MakeRequest("entry-1", "hauliers"), now + milliseconds(1500)).limits_size(),
      1);
  EXPECT_EQ(SyncOnce(view, MakeRequest("entry-1"), now + seconds(8)).limits_size(), 0);
}

// Guards against entries that each use a whole limit before they have a lease: they divide it by
// the number of entries.
TEST(FleetViewTest, ReportsTheNumberOfEntries) {
  FleetView view;
  SyncOnce(view, MakeRequest("entry-1"), kStart);
  EXPECT_EQ(SyncOnce(view, MakeRequest("entry-2"), kStart).entry_count(), 2U);
  EXPECT_EQ(SyncOnce(view, MakeRequest("entry-2"), kStart + seconds(11)).entry_count(), 1U);
}

// Guards against entries that use the same turn, or change it with their parent: the position does
// not depend on the order in which the entries report.
TEST(FleetViewTest, ReportsThePositionOfAnEntry) {
  FleetView view;
  for (const char* entry : {"entry-3", "entry-1", "entry-2"}) {
    SyncOnce(view, MakeRequest(entry), kStart);
  }
  for (std::uint32_t i = 1; i <= 3; ++i) {
    const std::string entry = "entry-" + std::to_string(i);
    EXPECT_EQ(SyncOnce(view, MakeRequest(entry), kStart).entry_index_plus_one(), i);
  }
}

// Guards against hundreds of loads in responses twice a second, and against small fleets in which
// loads are delayed.
TEST(FleetViewTest, SendsManyLoadsLessOften) {
  for (const std::size_t agents : {FleetView::kMaxUnthrottledLoads, std::size_t{300}}) {
    FleetView view;
    schema::SyncRequest request = MakeRequest("entry-1");
    for (std::size_t i = 0; i < agents; ++i) {
      schema::Heartbeat& heartbeat = *request.add_heartbeats();
      heartbeat.mutable_node()->set_id("agent-" + std::to_string(i));
      heartbeat.mutable_load()->set_backend_server("engine-" + std::to_string(i));
    }
    const std::size_t sent = std::min(agents, FleetView::kMaxLoadsPerResponse);
    const bool in_each = agents <= FleetView::kMaxUnthrottledLoads;
    const auto loads = [&](milliseconds after) {
      return static_cast<std::size_t>(SyncOnce(view, request, kStart + after).loads_size());
    };
    EXPECT_EQ(loads(milliseconds(0)), sent);
    EXPECT_EQ(loads(milliseconds(500)), in_each ? sent : 0);
    EXPECT_EQ(loads(milliseconds(2000)), sent);
  }
}

// Guards against entries below a follower that receive no shares, or shares whose lease expires
// later than on the leader.
TEST(FleetViewTest, FollowerForwardsTheLeadersShares) {
  FleetView leader;
  FleetView follower;
  StartLeading(leader);
  const common::Time now = kStart + seconds(6);
  SyncOnce(follower, MakeRequest("entry-1", "hauliers"), now);
  const auto response = leader.HandleReport(follower.MakeReport(common::MemberId(2), now), now);
  ASSERT_TRUE(response.leading());
  follower.HandleReportResponse(response, now, now + milliseconds(10));
  const auto synced =
      SyncOnce(follower, MakeRequest("entry-1", "hauliers"), now + milliseconds(400));
  ASSERT_EQ(synced.limits_size(), 1);
  EXPECT_EQ(synced.limits(0).lease_ms(), 4600U);
  EXPECT_EQ(leader.Nodes(now).size(), 1U);
}

// Guards against two members that split limits at the same time after a change of leader.
TEST(FleetViewTest, PreviousLeaderGrantsNothing) {
  FleetView view;
  StartLeading(view);
  view.StopLeading();
  const common::Time now = kStart + seconds(6);
  EXPECT_EQ(SyncOnce(view, MakeRequest("entry-1", "hauliers"), now).limits_size(), 0);
  EXPECT_FALSE(view.HandleReport({}, now).leading());
}

schema::SyncRequest MakeStreamRequest(const std::string& entry, std::uint32_t late) {
  schema::SyncRequest request = MakeRequest(entry);
  schema::StreamDemand& streams = *request.mutable_heartbeats(0)->add_streams();
  streams.set_service("llm");
  streams.set_engines(48);
  streams.set_slots(48 * 64);
  streams.set_failure_domains(3);
  for (const std::uint32_t gap : {300U, 1200U}) {
    schema::GapClassDemand& demand = *streams.add_classes();
    demand.set_gap_target_ms(gap);
    demand.set_open(320);
    demand.set_ended(100);
    if (gap == 300) demand.set_late(late);
  }
  return request;
}

// Guards against entries below a follower that divide the engines differently from those below the
// leader, or not at all.
TEST(FleetViewTest, AllEntriesGetTheLeadersDivision) {
  FleetView leader;
  FleetView follower;
  StartLeading(leader);
  common::Time now = kStart + seconds(6);
  SyncOnce(follower, MakeStreamRequest("entry-1", /*late=*/100), now);
  const auto report = [&] {
    const auto response = leader.HandleReport(follower.MakeReport(common::MemberId(2), now), now);
    follower.HandleReportResponse(response, now, now);
  };
  report();
  const auto below_follower = SyncOnce(follower, MakeStreamRequest("entry-1", 100), now);
  const auto below_leader = SyncOnce(leader, MakeRequest("entry-2"), now);
  ASSERT_EQ(below_follower.divisions_size(), 1);
  ASSERT_EQ(below_leader.divisions_size(), 1);
  EXPECT_EQ(below_follower.divisions(0).stream_engines(), 12U) << "320 streams at 45% of 64 slots";
  EXPECT_EQ(below_leader.divisions(0).SerializeAsString(),
            below_follower.divisions(0).SerializeAsString());
}

// Failure: a follower loses its leader, or the leader has just been elected. Guards against entries
// that end the division because a member does not know it.
TEST(FleetViewTest, AMemberThatDoesNotKnowTheDivisionsSaysSo) {
  FleetView leader;
  FleetView follower;
  StartLeading(leader);
  EXPECT_FALSE(SyncOnce(leader, MakeRequest("entry-1"), kStart + seconds(1)).divisions_known());
  const common::Time now = kStart + seconds(6);
  EXPECT_TRUE(SyncOnce(leader, MakeRequest("entry-1"), now).divisions_known());
  EXPECT_FALSE(SyncOnce(follower, MakeRequest("entry-2"), now).divisions_known());
  follower.HandleReportResponse(
      leader.HandleReport(follower.MakeReport(common::MemberId(2), now), now), now, now);
  EXPECT_TRUE(SyncOnce(follower, MakeRequest("entry-2"), now + seconds(2)).divisions_known());
  EXPECT_FALSE(SyncOnce(follower, MakeRequest("entry-2"), now + seconds(4)).divisions_known());
}

}  // namespace
}  // namespace briarwood::control
