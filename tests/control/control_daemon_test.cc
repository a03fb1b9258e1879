#include "briarwood/control/control_daemon.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "briarwood/common/digest.h"
#include "briarwood/distribution/sync_client.h"
#include "briarwood/http/client.h"
#include "briarwood/rpc/client.h"
#include "control/control_state_fixture.h"

namespace briarwood::control {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(30);

/// A group of one member, and a child whose sync period is too long to affect the test.
class ControlDaemonTest : public testing::Test {
 protected:
  void SetUp() override {
    folder_ = std::filesystem::path(testing::TempDir()) /
              ("control_daemon_" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_ / "data");
    std::ofstream(folder_ / "operators")
        << "ann " << common::ToHex(common::Sha256("secret")) << "\n";
    auto daemon = ControlDaemon::Start(Options());
    ASSERT_TRUE(daemon.ok()) << daemon.error();
    daemon_ = std::move(daemon).value();
    const std::string address = "127.0.0.1:" + std::to_string(daemon_->rpc_port());
    member_ = std::make_unique<rpc::Client>(
        rpc::ClientOptions{.address = address, .credential = "fleet", .timeout = kWaitTimeout});
    StartChild(address);
  }

  void TearDown() override {
    rpc_.Stop();
    child_.reset();
    daemon_.reset();
    std::filesystem::remove_all(folder_);
  }

  /// Retries the proposal until the member leads and applies it.
  schema::CommandResult Propose(const schema::Command& command) {
    schema::ProposeRequest request;
    *request.mutable_command() = command;
    request.set_timeout_ms(std::chrono::milliseconds(kWaitTimeout).count());
    schema::ProposeResponse response;
    while (response.status() != schema::ProposeResponse::STATUS_APPLIED) {
      response = member_->Call<schema::ProposeResponse>("Propose", request);
      if (response.status() == schema::ProposeResponse::STATUS_NOT_LEADER) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
    return response.result();
  }

  /// Proposes a command and waits until the child has received its change of row `id`.
  void ProposeAndWaitAtChild(const schema::Command& command, const std::string& id) {
    std::promise<void> received;
    const auto subscription = replica_.Subscribe([&](const auto& changed) {
      for (const auto& [kind, changed_id] : changed) {
        if (changed_id == id) received.set_value();
      }
    });
    EXPECT_EQ(Propose(command).code(), schema::RESULT_CODE_OK);
    EXPECT_EQ(received.get_future().wait_for(kWaitTimeout), std::future_status::ready);
  }

  distribution::Replica replica_;
  std::atomic<int> syncs_ = 0;

 private:
  ControlDaemonOptions Options() {
    ControlDaemonOptions options;
    schema::ControlSettings& settings = options.settings;
    settings.mutable_node()->set_id("control-1");
    settings.mutable_node()->set_rpc_listen("127.0.0.1:0");
    settings.set_member_id(1);
    settings.set_data_folder(folder_ / "data");
    settings.add_peers()->set_member_id(1);
    settings.set_admin_listen("127.0.0.1:0");
    settings.set_operators_file(folder_ / "operators");
    options.credential = "fleet";
    options.incarnation = common::Incarnation(1);
    return options;
  }

  void StartChild(const std::string& parent) {
    child_ = std::make_unique<distribution::SyncClient>(
        distribution::SyncClientOptions{
            .parents = {parent},
            .credential = "fleet",
            .period = std::chrono::hours(1),
            .timeout = std::chrono::duration_cast<std::chrono::milliseconds>(kWaitTimeout)},
        replica_, distribution::SyncClientCallbacks{.fill = [this](schema::SyncRequest& request) {
          ++syncs_;
          request.mutable_node()->set_id("entry-1");
          request.mutable_node()->set_incarnation(7);
          request.mutable_node()->set_role(schema::NODE_ROLE_ENTRY);
          request.mutable_node()->set_rpc_address(child_address_);
        }});
    child_->Register(rpc_);
    const auto port = rpc_.Start({.listen = "127.0.0.1:0", .credential = "fleet", .threads = 2});
    ASSERT_TRUE(port.ok()) << port.error();
    child_address_ = "127.0.0.1:" + std::to_string(port.value());
    child_->Start();
  }

  std::filesystem::path folder_;
  std::unique_ptr<ControlDaemon> daemon_;
  std::unique_ptr<rpc::Client> member_;
  rpc::Server rpc_;
  std::string child_address_;
  std::unique_ptr<distribution::SyncClient> child_;
};

schema::Command Claim(std::uint64_t attempt) {
  schema::Command command;
  schema::ClaimRequest& claim = *command.mutable_claim();
  claim.set_customer("east");
  claim.set_idempotency_key("key-" + std::to_string(attempt));
  claim.set_request_sha256(std::string(32, 'r'));
  claim.set_attempt_sequence(attempt);
  return command;
}

// I5: guards against a withdrawal that is not notified to a child, and against claims, which change
// no row, that make every child sync.
TEST_F(ControlDaemonTest, I5NotifiesChildOfWithdrawalAndNotOfClaims) {
  using testing_support::Apply;
  const std::string key = common::ToHex(common::Sha256("key"));
  ProposeAndWaitAtChild(Apply("main", 1, "[[customers]]\nid = \"east\"\n"), "east");
  ProposeAndWaitAtChild(testing_support::Grant("op1", "east", "key"), key);
  EXPECT_TRUE(replica_.FindKey(key));
  const int before = syncs_;
  for (std::uint64_t attempt = 1; attempt <= 200; ++attempt) {
    EXPECT_EQ(Propose(Claim(attempt)).code(), schema::RESULT_CODE_OK);
  }
  ProposeAndWaitAtChild(testing_support::Withdraw("op2", "key"), key);
  EXPECT_FALSE(replica_.FindKey(key));
  // A notification during a sync may cause one more sync.
  EXPECT_LE(syncs_ - before, 5);
}

}  // namespace
}  // namespace briarwood::control
