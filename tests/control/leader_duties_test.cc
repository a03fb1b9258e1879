#include "briarwood/control/leader_duties.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/emulator/platform.h"

namespace briarwood::control {
namespace {

/// Committed state that is shared by successive leaders, and a platform that records what it
/// receives.
class Fleet {
 public:
  schema::ProposeResponse Commit(const schema::Command& command) {
    schema::ProposeResponse response;
    schema::Command stamped = command;
    StampTime(stamped, common::UnixMillis(now_ms));
    *response.mutable_result() = state.Apply(common::LogIndex(++index), stamped);
    response.set_status(schema::ProposeResponse::STATUS_APPLIED);
    return response;
  }

  void Decide(std::uint64_t id, std::uint64_t fence) {
    schema::Command command;
    schema::Order& order = *command.mutable_decide_order()->mutable_order();
    order.set_id(id);
    order.set_kind(schema::ORDER_KIND_START_BACKEND);
    order.set_failure_domain("toton");
    order.set_backend_server("engine-toton-1");
    order.set_fence(fence);
    order.set_expires_unix_ms(now_ms + 30'000);
    order.set_state(schema::ORDER_STATE_DECIDED);
    ASSERT_EQ(Commit(command).result().code(), schema::RESULT_CODE_OK);
  }

  void Serve(std::uint64_t sequence, std::uint64_t tokens) {
    schema::Command command;
    schema::BillingRecord& record = *command.mutable_commit_usage()->mutable_batch()->add_records();
    record.mutable_id()->set_entry_incarnation(1);
    record.mutable_id()->set_sequence(sequence);
    record.set_customer("hauliers");
    record.set_class_("booking");
    record.set_model("yard-7b");
    record.set_output_tokens(tokens);
    record.set_calls(1);
    record.set_ended_unix_ms(now_ms);
    Commit(command);
  }

  [[nodiscard]] schema::OrderState StateOf(std::uint64_t id) const {
    return state.orders().orders().at(id).order().state();
  }

  ControlState state;
  std::uint64_t index = 0;
  std::uint64_t now_ms = 1'000;
  std::vector<std::uint64_t> orders;
  std::vector<std::string> reports;
  /// The platform processes requests, but its responses are lost.
  bool lose_responses = false;
  /// Minimum time between two turns of one process as the holder of the duties.
  std::uint64_t holder_change_ms = 0;
};

/// Process that acts as the leader, with or without a valid lease.
class Leader {
 public:
  Leader(Fleet& fleet, std::uint64_t fence) : fleet_(fleet), fencing_token_(fence) {
    PlatformPort platform{
        .send_report =
            [this](const schema::UsageWindow& window, common::Term) {
              fleet_.reports.push_back(window.report());
              return fleet_.lose_responses ? std::nullopt : std::optional<std::string>("receipt");
            },
        .send_order =
            [this](const schema::Order& order) {
              fleet_.orders.push_back(order.id());
              return fleet_.lose_responses ? OrderResponse::kNoResponse : OrderResponse::kAccepted;
            },
        .list_orders =
            [this] {
              return std::optional<std::set<std::uint64_t>>(std::in_place, fleet_.orders.begin(),
                                                            fleet_.orders.end());
            }};
    duties_ = std::make_unique<LeaderDuties>(MakeContext(), std::move(platform));
  }

  void Run() { duties_->Run(); }

  /// False once the lease has expired.
  bool holds_lease = true;
  /// False makes commits fail, as they do without a majority.
  bool commits = true;
  /// Changes with each leadership of the process.
  void StartTerm(std::uint64_t fence) { fencing_token_ = fence; }

 private:
  DutyContext MakeContext() {
    return {.propose =
                [this](const schema::Command& command) {
                  return commits ? fleet_.Commit(command) : schema::ProposeResponse();
                },
            .may_send = [this] { return holds_lease; },
            .fence = [this] { return common::Term(fencing_token_); },
            .read_state = [this](const auto& read) { read(fleet_.state); },
            .wall_clock = [this] { return common::UnixMillis(fleet_.now_ms); },
            .take_dead = [] { return std::vector<membership::DeadIncarnation>(); },
            .holder_change = std::chrono::milliseconds(fleet_.holder_change_ms),
            .now = [this] { return common::Time(std::chrono::milliseconds(fleet_.now_ms)); }};
  }

  Fleet& fleet_;
  std::uint64_t fencing_token_;
  std::unique_ptr<LeaderDuties> duties_;
};

// Guards against an order that is never sent, or sent again after its response.
TEST(LeaderDutiesTest, SendsADecidedOrderOnce) {
  Fleet fleet;
  fleet.Decide(1, 5);
  Leader leader(fleet, 5);
  leader.Run();
  leader.Run();
  EXPECT_EQ(fleet.orders, std::vector<std::uint64_t>{1});
  EXPECT_EQ(fleet.StateOf(1), schema::ORDER_STATE_ACCEPTED);
}

// Guards against usage windows that are never reported because the leader changes more often than
// the holder of the duties may, as when all VMs are restarted one after the other.
TEST(LeaderDutiesTest, ReportsWhileTheLeaderChangesEverySecond) {
  Fleet fleet;
  fleet.holder_change_ms = 3000;
  std::vector<std::unique_ptr<Leader>> members;
  members.reserve(5);
  for (int i = 0; i < 5; ++i) members.push_back(std::make_unique<Leader>(fleet, 0));
  fleet.now_ms += 3000;
  std::uint64_t term = 0;
  for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
    fleet.Serve(sequence, 10);
    // Usage windows have 60 s and a grace of 10 s; in each, the leader changes every second.
    for (int change = 0; change < 71; ++change) {
      fleet.now_ms += 1000;
      Leader& leader = *members[++term % members.size()];
      leader.StartTerm(term);
      leader.Run();
    }
  }
  EXPECT_GE(fleet.reports.size(), 9U);
}

// I7: guards against two processes that the platform takes for holders at the same time: a process
// that led before acts again only after the minimum time, whoever led in between, and so does one
// that has restarted, since it does not know what it sent before.
TEST(LeaderDutiesTest, I7FormerHolderWaitsBeforeItActsAgain) {
  Fleet fleet;
  fleet.holder_change_ms = 3000;
  Leader first(fleet, 1);
  Leader second(fleet, 2);
  fleet.now_ms += 3000;
  fleet.Decide(1, 1);
  first.Run();
  fleet.Decide(2, 2);
  second.Run();
  ASSERT_EQ(fleet.orders, (std::vector<std::uint64_t>{1, 2}));
  fleet.Decide(3, 3);
  first.StartTerm(3);
  fleet.now_ms += 2000;
  first.Run();
  EXPECT_EQ(fleet.orders.size(), 2U);
  fleet.now_ms += 1000;
  first.Run();
  EXPECT_EQ(fleet.orders.size(), 3U);

  Leader restarted(fleet, 4);
  fleet.Decide(4, 4);
  fleet.now_ms += 2999;
  restarted.Run();
  EXPECT_EQ(fleet.orders.size(), 3U);
  fleet.now_ms += 1;
  restarted.Run();
  EXPECT_EQ(fleet.orders.size(), 4U);
}

// I6: guards against an order that is sent by a process whose lease has expired.
TEST(LeaderDutiesTest, I6SendsNothingWithoutTheLease) {
  Fleet fleet;
  fleet.Decide(1, 5);
  Leader paused(fleet, 5);
  paused.holds_lease = false;
  paused.Run();
  EXPECT_TRUE(fleet.orders.empty());
}

// I6: guards against an order that is sent again by a new leader, although the previous leader sent
// it before it failed.
TEST(LeaderDutiesTest, I6OrderWithoutResponseIsLookedUpByTheNextLeader) {
  Fleet fleet;
  fleet.Decide(1, 5);
  fleet.lose_responses = true;
  Leader(fleet, 5).Run();
  ASSERT_EQ(fleet.StateOf(1), schema::ORDER_STATE_DECIDED);
  fleet.lose_responses = false;
  Leader(fleet, 6).Run();
  EXPECT_EQ(fleet.orders, std::vector<std::uint64_t>{1});
  EXPECT_EQ(fleet.StateOf(1), schema::ORDER_STATE_ACCEPTED);
}

// I6: guards against an order that a leader committed but did not send, and that is sent later with
// its fencing token; and against such an order that never gets an outcome.
TEST(LeaderDutiesTest, I6OrderOfAPreviousLeaderIsNotSentAndExpires) {
  Fleet fleet;
  fleet.Decide(1, 5);
  Leader next(fleet, 6);
  next.Run();
  EXPECT_EQ(fleet.StateOf(1), schema::ORDER_STATE_DECIDED);
  fleet.now_ms += 30'000 + 10'000;
  next.Run();
  EXPECT_TRUE(fleet.orders.empty());
  EXPECT_EQ(fleet.StateOf(1), schema::ORDER_STATE_EXPIRED);
}

// Guards against an order that is sent again because its response was lost.
TEST(LeaderDutiesTest, LostResponseIsReconciledWithoutSendingAgain) {
  Fleet fleet;
  fleet.Decide(1, 5);
  fleet.lose_responses = true;
  Leader leader(fleet, 5);
  leader.Run();
  leader.Run();
  EXPECT_EQ(fleet.orders.size(), 1U);
  EXPECT_EQ(fleet.StateOf(1), schema::ORDER_STATE_ACCEPTED);
}

// I7: guards against a repeated report that differs, a window that is reported before it is
// committed as closed, and a report by a process without the lease.
TEST(LeaderDutiesTest, I7ReportIsTheSameFromEveryLeader) {
  Fleet fleet;
  fleet.Serve(1, 10);
  fleet.now_ms = 75'000;
  fleet.lose_responses = true;
  Leader first(fleet, 5);
  first.commits = false;
  first.Run();
  EXPECT_TRUE(fleet.reports.empty());
  first.commits = true;
  first.Run();
  first.holds_lease = false;
  fleet.Serve(2, 7);
  Leader second(fleet, 6);
  second.Run();
  first.Run();
  ASSERT_EQ(fleet.reports.size(), 2U);
  EXPECT_EQ(fleet.reports[0], fleet.reports[1]);
  fleet.lose_responses = false;
  second.Run();
  second.Run();
  EXPECT_EQ(fleet.reports.size(), 3U);
  EXPECT_TRUE(fleet.state.usage().Unreported().empty());
}

// Guards against orders and reports that the emulated platform cannot parse.
TEST(LeaderDutiesTest, HttpPlatformFollowsThePlatformsProtocol) {
  auto platform = emulator::Platform::Start({});
  ASSERT_TRUE(platform.ok()) << platform.error();
  const PlatformPort port = MakeHttpPlatform(platform.value()->url());
  schema::Order order;
  order.set_id(7);
  order.set_fence(3);
  order.set_kind(schema::ORDER_KIND_STOP_BACKEND);
  order.set_backend_server("engine-toton-1");
  // In the distant future on any clock.
  order.set_expires_unix_ms(std::uint64_t{1} << 50);
  EXPECT_EQ(port.send_order(order), OrderResponse::kAccepted);
  EXPECT_EQ(port.list_orders(), std::set<std::uint64_t>{7});
  EXPECT_EQ(platform.value()->orders().at(0).kind, "stop");
  schema::UsageWindow window;
  window.set_id(60'000);
  window.set_report("{}");
  EXPECT_EQ(port.send_report(window, common::Term(3)), "receipt-60000");
  EXPECT_EQ(platform.value()->counters().stale_reports, 0U);
}

}  // namespace
}  // namespace briarwood::control
