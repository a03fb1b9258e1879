#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/control/control_daemon.h"
#include "briarwood/control/control_relay.h"
#include "briarwood/distribution/replica.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/error.h"
#include "http/impl/free_port.h"
#include "platform/configuration_json.h"

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;

bool Eventually(milliseconds limit, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

constexpr const char* kDocument =
    R"({"version":4,"routes":[],"services":[],"limits":{},"tenants":[]})";

/// Members of a group that is formed from seeds, all in the test process.
class GroupTest : public testing::Test {
 protected:
  struct Member {
    std::string address;
    std::string folder;
    AdminBackend* backend = nullptr;
    std::atomic<bool> interrupted = false;
    std::atomic<bool> removed = false;
    std::unique_ptr<ControlDaemon> daemon;
    std::thread starting;
  };

  void SetUp() override {
    root_ = std::filesystem::path(testing::TempDir()) / ("group_" + std::to_string(::getpid()));
    std::filesystem::remove_all(root_);
    for (int i = 0; i < 5; ++i) {
      members_.push_back(std::make_unique<Member>());
      const auto port = http::FindFreePort("127.0.0.1");
      members_.back()->address = "127.0.0.1:" + std::to_string(port);
      members_.back()->folder = (root_ / std::to_string(i)).string();
    }
    // Seeds are numbered in the order of their addresses.
    std::sort(members_.begin(), members_.begin() + 3,
              [](const auto& left, const auto& right) { return left->address < right->address; });
  }

  void TearDown() override {
    for (auto& member : members_) Stop(*member);
    std::filesystem::remove_all(root_);
  }

  /// Starts a member on a separate thread, since joining blocks until the group admits it.
  void Start(std::size_t index, bool bootstrap) {
    Member& member = *members_[index];
    member.interrupted = false;
    member.removed = false;
    member.starting = std::thread([this, &member, bootstrap] {
      ControlDaemonOptions options;
      schema::ControlSettings& settings = options.settings;
      settings.mutable_node()->set_id("control/" + member.address);
      settings.mutable_node()->set_failure_domain("east");
      settings.mutable_node()->set_rpc_listen(member.address);
      settings.set_data_folder(member.folder);
      for (const std::string& seed : seeds_) settings.add_seeds(seed);
      for (std::size_t seed = 0; seeds_.empty() && seed < 3; ++seed) {
        settings.add_seeds(members_[seed]->address);
      }
      settings.set_bootstrap(bootstrap);
      settings.set_heartbeat_ms(50);
      settings.set_election_timeout_ms(300);
      options.incarnation = common::Incarnation(++next_incarnation_);
      options.parser = platform::MakeParser(schema::PlatformSettings());
      options.interrupted = [&member] { return member.interrupted.load(); };
      options.on_removed = [&member] { member.removed = true; };
      options.start_api = [&member](AdminBackend& backend) {
        member.backend = &backend;
        return common::Result<std::shared_ptr<void>>::Success(nullptr);
      };
      auto daemon = ControlDaemon::Start(std::move(options));
      if (daemon.ok()) member.daemon = std::move(daemon).value();
    });
  }

  void WaitStarted(std::size_t index) { members_[index]->starting.join(); }

  /// Ends a member as after SIGTERM.
  static void DrainAndStop(Member& member) {
    EXPECT_TRUE(member.daemon->Drain(milliseconds(1500)));
    Stop(member);
  }

  static void Stop(Member& member) {
    member.interrupted = true;
    if (member.starting.joinable()) member.starting.join();
    member.daemon.reset();
    member.backend = nullptr;
  }

  /// \returns the ids of the voters as known to member `index`.
  std::vector<std::uint64_t> Voters(std::size_t index) {
    std::vector<std::uint64_t> voters;
    if (members_[index]->backend == nullptr) return voters;
    const schema::MemberStatus status = members_[index]->backend->Status();
    for (const schema::Member& member : status.membership().members()) {
      if (member.voter()) voters.push_back(member.id());
    }
    std::sort(voters.begin(), voters.end());
    return voters;
  }

  bool Put(std::size_t index) {
    schema::Command command;
    command.mutable_apply_configuration()->set_document("platform");
    command.mutable_apply_configuration()->set_version(4);
    command.mutable_apply_configuration()->set_content(kDocument);
    const auto response = members_[index]->backend->Propose(command, milliseconds(800));
    return response.status() == schema::ProposeResponse::STATUS_APPLIED &&
           response.result().code() == schema::RESULT_CODE_OK;
  }

  bool Holds(std::size_t index) {
    if (members_[index]->backend == nullptr) return false;
    if (!members_[index]->backend->ConfirmRead(milliseconds(500))) return false;
    bool holds = false;
    members_[index]->backend->ReadState([&](const ControlState& state) {
      holds = state.documents().CurrentVersion("platform") == 4;
    });
    return holds;
  }

  void FormGroup() {
    for (std::size_t i = 0; i < 3; ++i) Start(i, /*bootstrap=*/true);
    for (std::size_t i = 0; i < 3; ++i) WaitStarted(i);
    ASSERT_TRUE(Eventually(milliseconds(8000), [this] { return Put(0) && Holds(1); }));
  }

  std::filesystem::path root_;
  /// Seeds of members that start; empty for the first three members.
  std::vector<std::string> seeds_;
  std::vector<std::unique_ptr<Member>> members_;
  std::atomic<std::uint64_t> next_incarnation_ = 100;
};

// Guards against members that fail to form a group when they start concurrently, in any order.
TEST_F(GroupTest, FormsFromItsSeeds) {
  FormGroup();
  EXPECT_EQ(Voters(0), (std::vector<std::uint64_t>{1, 2, 3}));
}

// Guards against an empty member that forms a group by itself while the group is unreachable.
TEST_F(GroupTest, EmptyMemberWaitsForTheGroup) {
  Start(0, /*bootstrap=*/false);
  std::this_thread::sleep_for(milliseconds(800));
  EXPECT_EQ(members_[0]->backend, nullptr);
}

// Guards against a member that votes under its old id after the loss of its disk, or that only an
// operator can add again.
TEST_F(GroupTest, ReadmitsAMemberThatLostItsDisk) {
  FormGroup();
  Stop(*members_[2]);
  std::filesystem::remove_all(members_[2]->folder);
  Start(2, /*bootstrap=*/false);
  WaitStarted(2);
  EXPECT_TRUE(Eventually(milliseconds(4000), [this] {
    return Voters(0) == std::vector<std::uint64_t>{1, 2, 4} && Holds(2);
  }));
}

// Guards against a group that stops when another member fails right after a replacement.
TEST_F(GroupTest, SurvivesAFailureRightAfterAReplacement) {
  FormGroup();
  Stop(*members_[2]);
  std::filesystem::remove_all(members_[2]->folder);
  Start(2, /*bootstrap=*/false);
  WaitStarted(2);
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] {
    return Voters(0) == std::vector<std::uint64_t>{1, 2, 4} && Holds(2);
  }));
  Stop(*members_[1]);
  EXPECT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(2) && Put(0); }));
}

// Guards against a VM at a new address that never becomes a voter in place of the failed one.
TEST_F(GroupTest, ReplacesAMemberWithOneAtANewAddress) {
  FormGroup();
  Stop(*members_[2]);
  Start(3, /*bootstrap=*/false);
  WaitStarted(3);
  EXPECT_TRUE(Eventually(milliseconds(6000), [this] {
    return Voters(0) == std::vector<std::uint64_t>{1, 2, 4} && Holds(3);
  }));
}

// Guards against a group without a majority after two members whose successors had caught up stop
// 1 s apart and a third member then loses its disk (review/6).
TEST_F(GroupTest, PlannedReplacementsLeaveAMajorityThatSurvivesALoss) {
  FormGroup();
  for (const std::size_t successor : {3U, 4U}) {
    Start(successor, /*bootstrap=*/false);
    WaitStarted(successor);
  }
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] { return Voters(3).size() == 5; }));
  DrainAndStop(*members_[0]);
  std::this_thread::sleep_for(milliseconds(1000));
  DrainAndStop(*members_[1]);
  EXPECT_TRUE(Eventually(milliseconds(2000), [this] { return Put(3) && Holds(2); }));
  EXPECT_TRUE(Eventually(milliseconds(9000), [this] {
    return Voters(3) == std::vector<std::uint64_t>{3, 4, 5};
  }));
  Stop(*members_[2]);
  std::filesystem::remove_all(members_[2]->folder);
  seeds_ = {members_[3]->address, members_[4]->address};
  Start(2, /*bootstrap=*/false);
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] { return Put(3) && Holds(4); }));
  WaitStarted(2);
  EXPECT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(2); }));
}

// Guards against a member that stops with its vote although a successor has caught up: the disk
// that is lost next takes the majority with it.
TEST_F(GroupTest, SurvivesADiskLossRightAfterAPlannedReplacement) {
  FormGroup();
  Start(3, /*bootstrap=*/false);
  WaitStarted(3);
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(3); }));
  std::this_thread::sleep_for(milliseconds(600));
  DrainAndStop(*members_[0]);
  Stop(*members_[1]);
  std::filesystem::remove_all(members_[1]->folder);
  seeds_ = {members_[2]->address, members_[3]->address};
  Start(1, /*bootstrap=*/false);
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] { return Put(3) && Holds(2); }));
  WaitStarted(1);
  EXPECT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(1); }));
}

// Guards against a minority of the members that acknowledges because only the first three vote
// (review/7).
TEST_F(GroupTest, AMinorityOfFiveMembersCommitsNothing) {
  FormGroup();
  for (const std::size_t added : {3U, 4U}) {
    Start(added, /*bootstrap=*/false);
    WaitStarted(added);
  }
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(3) && Holds(4); }));
  std::this_thread::sleep_for(milliseconds(1000));
  for (const std::size_t lost : {2U, 3U, 4U}) Stop(*members_[lost]);
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_FALSE(Put(0));
  EXPECT_FALSE(Put(1));
}

// Guards against a rolling restart in which a member returns without a vote, or loses its log.
TEST_F(GroupTest, MembersOfARollingRestartKeepTheirIdentity) {
  FormGroup();
  Start(3, /*bootstrap=*/false);
  WaitStarted(3);
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(3); }));
  for (std::size_t i = 0; i < 4; ++i) {
    const std::uint64_t id = members_[i]->backend->Status().member_id();
    DrainAndStop(*members_[i]);
    Start(i, /*bootstrap=*/false);
    WaitStarted(i);
    ASSERT_TRUE(Eventually(milliseconds(4000), [&] { return Holds(i) && Put((i + 1) % 4); })) << i;
    EXPECT_EQ(members_[i]->backend->Status().member_id(), id);
    EXPECT_TRUE(Eventually(milliseconds(2000), [&] { return Voters(i).size() == 3; })) << i;
  }
}

// Guards against a process that ends because the group replaced its member while it was away: it
// joins the group again with an empty folder and a new id.
TEST_F(GroupTest, RemovedMemberJoinsAgainInTheSameProcess) {
  FormGroup();
  Stop(*members_[2]);
  Start(3, /*bootstrap=*/false);
  WaitStarted(3);
  ASSERT_TRUE(Eventually(milliseconds(6000), [this] {
    return Voters(0) == std::vector<std::uint64_t>{1, 2, 4} && Holds(3);
  }));
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] {
    for (std::size_t i = 0; i < 2; ++i) {
      if (members_[i]->backend->Remove(common::MemberId(3), milliseconds(800)).ok()) return true;
    }
    return false;
  }));
  Start(2, /*bootstrap=*/false);
  WaitStarted(2);
  ASSERT_TRUE(Eventually(milliseconds(8000), [this] { return members_[2]->removed.load(); }));
  Stop(*members_[2]);
  Start(2, /*bootstrap=*/false);
  WaitStarted(2);
  EXPECT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(2); }));
  EXPECT_EQ(members_[2]->backend->Status().member_id(), 5U);
}

/// Relay beside the members of the group.
class RelayTest : public GroupTest {
 protected:
  std::unique_ptr<ControlRelay> StartRelay(std::vector<std::string> seeds) {
    ControlRelayOptions options;
    options.settings.mutable_node()->set_id("control/relay");
    options.settings.mutable_node()->set_rpc_listen("127.0.0.1:0");
    for (std::string& seed : seeds) options.settings.add_seeds(std::move(seed));
    EXPECT_TRUE(RunsAsRelay(options.settings));
    auto relay = ControlRelay::Start(std::move(options));
    EXPECT_TRUE(relay.ok()) << relay.error();
    return std::move(relay).value();
  }

  static std::string AddressOf(const ControlRelay& relay) {
    return "127.0.0.1:" + std::to_string(relay.rpc_port());
  }

  [[nodiscard]] std::vector<std::string> Addresses(std::size_t count) const {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) addresses.push_back(members_[i]->address);
    return addresses;
  }

  /// \returns the address of the member that leads.
  std::string Leader() {
    for (const auto& member : members_) {
      if (member->daemon && member->daemon->Leads()) return member->address;
    }
    return {};
  }
};

// Guards against a group that grows with every VM without a disk, and whose membership changes with
// each start and stop of one.
TEST_F(RelayTest, NamesTheLeaderAndIsNoMember) {
  FormGroup();
  const auto membership = [this] {
    return members_[0]->backend->Status().membership().SerializeAsString();
  };
  const std::string before = membership();
  for (int start = 0; start < 3; ++start) {
    const auto relay = StartRelay(Addresses(3));
    EXPECT_TRUE(Eventually(milliseconds(3000), [&] { return relay->leader() == Leader(); }));
    EXPECT_EQ(relay->members().size(), 3U);
  }
  EXPECT_EQ(membership(), before);
}

// Guards against an entry or member that finds nobody because its settings name relays only, as
// after the seeds were exchanged for other VMs.
TEST_F(RelayTest, LeadsChildrenAndNewMembersToTheGroup) {
  FormGroup();
  const auto relay = StartRelay({members_[0]->address});
  ASSERT_TRUE(Eventually(milliseconds(3000), [&] { return relay->leader().has_value(); }));
  rpc::Client client({.address = AddressOf(*relay)});
  schema::SyncRequest request;
  request.set_since_index(41);
  const auto sync = client.Call<schema::SyncResponse>("Sync", request);
  EXPECT_FALSE(sync.confirmed());
  EXPECT_EQ(sync.control_rpc_size(), 3);
  distribution::Replica replica;
  EXPECT_TRUE(replica.Apply(sync, common::BootClock::now()));
  EXPECT_FALSE(replica.freshness());
  const auto proposal = client.Call<schema::ProposeResponse>("Propose", schema::ProposeRequest());
  EXPECT_EQ(proposal.status(), schema::ProposeResponse::STATUS_NOT_LEADER);
  EXPECT_EQ(proposal.leader_rpc(), Leader());
  seeds_ = {AddressOf(*relay)};
  Start(3, /*bootstrap=*/false);
  WaitStarted(3);
  EXPECT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(3); }));
}

// Guards against a relay that sends the operator to a leader that is gone.
TEST_F(RelayTest, ForgetsALeaderThatNobodyConfirms) {
  FormGroup();
  const auto relay = StartRelay(Addresses(3));
  ASSERT_TRUE(Eventually(milliseconds(3000), [&] { return relay->leader().has_value(); }));
  for (std::size_t i = 0; i < 3; ++i) Stop(*members_[i]);
  EXPECT_TRUE(Eventually(milliseconds(4000), [&] { return !relay->leader(); }));
  EXPECT_EQ(relay->members().size(), 3U);
  for (std::size_t i = 0; i < 3; ++i) Start(i, /*bootstrap=*/false);
  for (std::size_t i = 0; i < 3; ++i) WaitStarted(i);
  EXPECT_TRUE(Eventually(milliseconds(5000), [&] { return relay->leader().has_value(); }));
}

// Guards against a control VM without a disk that exits with an error, or that becomes a voter
// although its votes do not survive a restart.
TEST_F(GroupTest, MemberWithoutDiskServesAndNeverVotes) {
  members_[3]->folder.clear();
  FormGroup();
  Start(3, /*bootstrap=*/true);
  WaitStarted(3);
  ASSERT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(3) && Put(3); }));
  Stop(*members_[2]);
  std::this_thread::sleep_for(milliseconds(2500));
  EXPECT_EQ(Voters(0), (std::vector<std::uint64_t>{1, 2, 3}));
  Stop(*members_[3]);
  Start(3, /*bootstrap=*/false);
  WaitStarted(3);
  EXPECT_TRUE(Eventually(milliseconds(4000), [this] { return Holds(3); }));
}

// Guards against a seed without a disk that participates in forming the group.
TEST_F(GroupTest, FormsWhenASeedHasNoDisk) {
  members_[1]->folder.clear();
  for (std::size_t i = 0; i < 3; ++i) Start(i, /*bootstrap=*/true);
  for (std::size_t i = 0; i < 3; ++i) WaitStarted(i);
  EXPECT_TRUE(Eventually(milliseconds(8000), [this] { return Put(0) && Holds(1) && Holds(2); }));
}

// Guards against loss of acknowledged state when all members restart.
TEST_F(GroupTest, KeepsAcknowledgedStateAfterRestartOfAll) {
  FormGroup();
  for (std::size_t i = 0; i < 3; ++i) Stop(*members_[i]);
  for (std::size_t i = 0; i < 3; ++i) Start(i, /*bootstrap=*/false);
  for (std::size_t i = 0; i < 3; ++i) WaitStarted(i);
  EXPECT_TRUE(Eventually(milliseconds(5000), [this] { return Holds(0) && Holds(1) && Holds(2); }));
}

// Guards against reads of stale state without a majority.
TEST_F(GroupTest, ReadFailsWithoutAMajority) {
  FormGroup();
  Stop(*members_[1]);
  Stop(*members_[2]);
  EXPECT_TRUE(Eventually(milliseconds(4000),
                         [this] { return !members_[0]->backend->ConfirmRead(milliseconds(300)); }));
}

}  // namespace
}  // namespace briarwood::control
