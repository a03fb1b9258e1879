#include "briarwood/distribution/sync_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

#include "briarwood/distribution/error.h"
#include "briarwood/distribution/sync_server.h"
#include "support/raw_server.h"

namespace briarwood::distribution {
namespace {

using common::LogIndex;
using std::chrono::milliseconds;

constexpr auto kTestTimeout = std::chrono::seconds(30);

/// Parent with its own table and a confirmation of a set age.
class Parent {
 public:
  explicit Parent(milliseconds age) : age_(age), server_({}, Source()) {
    server_.Register(rpc_);
    address_ =
        "127.0.0.1:" + std::to_string(rpc_.Start({.listen = "127.0.0.1:0", .threads = 2}).value());
  }
  ~Parent() { rpc_.Stop(); }

  void Put(const std::string& id, std::uint64_t index) {
    {
      const std::lock_guard lock(mutex_);
      table_.Put(schema::ROW_KIND_KEY, id, schema::KeyRow().SerializeAsString(), LogIndex(index));
    }
    server_.Notify(LogIndex(index));
  }

  void SetAge(milliseconds age) { age_ = age; }

  [[nodiscard]] const std::string& address() const { return address_; }
  SyncServer& server() { return server_; }

 private:
  SyncSource Source() {
    SyncSource source;
    source.delta = [this](LogIndex since, const RowFilter& filter) {
      const std::lock_guard lock(mutex_);
      return table_.DeltaSince(since, filter);
    };
    source.confirmation = [this] {
      return Confirmation{.confirmed_at = common::BootClock::now() - age_.load(),
                          .fence = common::Term(3)};
    };
    return source;
  }

  std::atomic<milliseconds> age_;
  std::mutex mutex_;
  RowTable table_;
  rpc::Server rpc_;
  SyncServer server_;
  std::string address_;
};

/// Child with its own replica, RPC server and sync client.
class Child {
 public:
  Child(std::vector<std::string> parents, milliseconds period)
      : Child({.parents = std::move(parents),
               .period = period,
               .timeout = std::chrono::duration_cast<milliseconds>(kTestTimeout)}) {}

  /// \param on_response  called after a response was applied
  explicit Child(
      SyncClientOptions options, std::function<void()> on_response = [] {})
      : client_(std::move(options), replica_,
                {.fill =
                     [this](schema::SyncRequest& request) {
                       request.mutable_node()->set_rpc_address(address_);
                     },
                 .on_response = [on_response = std::move(on_response)](
                                    const schema::SyncResponse&, common::Time,
                                    const std::string&) { on_response(); },
                 .on_round =
                     [this](const SyncRound& round) {
                       const std::lock_guard lock(rounds_mutex_);
                       rounds_.push_back(round);
                     }}) {
    client_.Register(rpc_);
    address_ =
        "127.0.0.1:" + std::to_string(rpc_.Start({.listen = "127.0.0.1:0", .threads = 2}).value());
  }
  ~Child() {
    rpc_.Stop();
    client_.Stop();
  }

  /// Starts the client and waits for `key`.
  [[nodiscard]] bool StartAndWaitFor(const std::string& key) {
    Watch(key);
    client_.Start();
    return Wait();
  }

  /// Parents are told no address, so that changes arrive with the periodic syncs only.
  void DisableNotifications() { address_.clear(); }

  void Watch(const std::string& key) {
    arrived_ = std::promise<void>();
    subscription_ = replica_.Subscribe([this, key](const auto& changed) {
      for (const auto& [kind, id] : changed) {
        if (id == key) arrived_.set_value();
      }
    });
  }

  [[nodiscard]] bool Wait() {
    return arrived_.get_future().wait_for(kTestTimeout) == std::future_status::ready;
  }

  Replica& replica() { return replica_; }
  SyncClient& client() { return client_; }

  [[nodiscard]] std::vector<SyncRound> rounds() const {
    const std::lock_guard lock(rounds_mutex_);
    return rounds_;
  }

 private:
  mutable std::mutex rounds_mutex_;
  std::vector<SyncRound> rounds_;
  std::promise<void> arrived_;
  Replica replica_;
  Replica::Subscription subscription_;
  rpc::Server rpc_;
  std::string address_;
  SyncClient client_;
};

// I5: guards against a change that reaches a child only with its next period, not with the
// notification. The period is too long to elapse during the test.
TEST(SyncClientTest, I5NotificationBringsAChangeAtOnce) {
  Parent parent(milliseconds(0));
  parent.Put("first", 1);
  Child child({parent.address()}, std::chrono::hours(1));
  ASSERT_TRUE(child.StartAndWaitFor("first"));
  child.Watch("second");
  parent.Put("second", 2);
  EXPECT_TRUE(child.Wait());
  EXPECT_TRUE(child.replica().FindKey("second"));
  EXPECT_EQ(child.replica().fence(), common::Term(3));
}

// Guards against a child that stays with an unreachable parent, or with one that is isolated by a
// partition and still responds.
TEST(SyncClientTest, SwitchesFromUnreachableAndIsolatedParents) {
  std::string unreachable;
  {
    const Parent parent(milliseconds(0));
    unreachable = parent.address();
  }
  Parent isolated(std::chrono::hours(1));
  isolated.Put("old", 1);
  Parent healthy(milliseconds(0));
  healthy.Put("old", 1);
  healthy.Put("new", 2);
  Child child({unreachable, isolated.address(), healthy.address()}, milliseconds(20));
  EXPECT_TRUE(child.StartAndWaitFor("new"));
  EXPECT_EQ(child.client().parent(), healthy.address());
}

// Guards against a search for a parent that leaves no trace, so that a late change cannot be told
// from one that was never made.
TEST(SyncClientTest, ReportsParentAndCallsOfARound) {
  Parent isolated(std::chrono::hours(1));
  isolated.Put("row", 1);
  Parent healthy(milliseconds(0));
  healthy.Put("row", 1);
  Child child({isolated.address(), healthy.address()}, milliseconds(20));
  ASSERT_TRUE(child.StartAndWaitFor("row"));
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (child.rounds().empty() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  ASSERT_FALSE(child.rounds().empty());
  EXPECT_EQ(child.rounds().front().parent, healthy.address());
  EXPECT_EQ(child.rounds().front().calls, 2U);
}

// Guards against a child that cannot say which versions its table contains.
TEST(ReplicaTest, HoldsTheVersionsOfTheDocuments) {
  SyncSource source;
  source.delta = [](LogIndex, const RowFilter&) {
    return Delta{.index = LogIndex(7), .document_versions = {{"platform", 12}}};
  };
  source.confirmation = [] { return Confirmation{}; };
  SyncServer server({}, source);
  Replica replica;
  ASSERT_TRUE(replica.Apply(server.MakeResponse({}, common::Time{}), common::Time{}));
  EXPECT_EQ(replica.document_versions().at("platform"), 12U);
  EXPECT_EQ(replica.DeltaSince(LogIndex(7), {}).document_versions.at("platform"), 12U);
}

/// Time within which a change has to reach every child that a parent with a current table can
/// reach.
constexpr milliseconds kInForceBound{2000};
constexpr std::size_t kSilentParents = 4;

/// Addresses that take connections and answer nothing, like a machine that has lost power.
class SilentParents {
 public:
  SilentParents() {
    for (std::size_t i = 0; i < kSilentParents; ++i) {
      servers_.push_back(std::make_unique<testing_support::RawServer>(
          [this](const auto& /*connection*/, const auto& /*request*/) { ++calls_; }));
    }
  }

  [[nodiscard]] std::vector<std::string> addresses() const {
    std::vector<std::string> addresses;
    for (const auto& server : servers_) addresses.push_back(server->address());
    return addresses;
  }
  [[nodiscard]] int calls() const { return calls_; }

 private:
  std::atomic<int> calls_ = 0;
  std::vector<std::unique_ptr<testing_support::RawServer>> servers_;
};

/// \returns the time until `child` has the row, or `kTestTimeout`.
common::Duration TimeUntilRow(Child& child, const std::string& key) {
  const common::Time start = common::BootClock::now();
  while (!child.replica().FindKey(key) && common::BootClock::now() - start < kTestTimeout) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return common::BootClock::now() - start;
}

// Guards against a search for a parent, begun while no parent was current, that waits for one
// silent parent after the other while a change is ready elsewhere: an entry then refuses new routes
// and keys.
TEST(SyncClientTest, SilentParentsDoNotDelayANotifiedChange) {
  const SilentParents silent;
  Parent parent(milliseconds(0));
  parent.Put("first", 1);
  std::vector<std::string> parents{parent.address()};
  for (const std::string& address : silent.addresses()) parents.push_back(address);
  Child child(SyncClientOptions{.parents = parents});
  ASSERT_TRUE(child.StartAndWaitFor("first"));
  parent.SetAge(std::chrono::hours(1));
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (silent.calls() == 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  ASSERT_GT(silent.calls(), 0);
  parent.SetAge(milliseconds(0));
  parent.Put("second", 2);
  EXPECT_LT(TimeUntilRow(child, "second"), kInForceBound);
}

// Guards against a list of parents that changes with every response, so that each round begins with
// the same silent parents.
TEST(SyncClientTest, SilentParentsInAChangingListDoNotDelayAChange) {
  const SilentParents silent;
  Parent parent(milliseconds(0));
  parent.Put("first", 1);
  std::vector<std::string> parents = silent.addresses();
  parents.push_back(parent.address());
  std::atomic<SyncClient*> client = nullptr;
  std::atomic<bool> longer = false;
  Child child(SyncClientOptions{.parents = parents}, [&] {
    std::vector<std::string> reported = parents;
    longer = !longer;
    if (longer) reported.push_back(silent.addresses().front());
    if (SyncClient* known = client.load()) known->SetParents(reported);
  });
  client = &child.client();
  child.DisableNotifications();
  ASSERT_TRUE(child.StartAndWaitFor("first"));
  parent.Put("second", 2);
  EXPECT_LT(TimeUntilRow(child, "second"), kInForceBound);
}

// Guards against a parent whose confirmation is old enough that a table from it, a period later, is
// older than a change may take.
TEST(SyncClientTest, LeavesAParentBeforeItsTableExceedsTheBound) {
  const SyncClientOptions defaults;
  ASSERT_LT(defaults.max_confirmation_age + defaults.period + defaults.hedge_delay, kInForceBound);
  Parent old(defaults.max_confirmation_age + milliseconds(100));
  old.Put("first", 1);
  Parent parent(milliseconds(0));
  parent.Put("first", 1);
  Child child(SyncClientOptions{.parents = {old.address(), parent.address()}});
  child.DisableNotifications();
  ASSERT_TRUE(child.StartAndWaitFor("first"));
  parent.Put("second", 2);
  EXPECT_LT(TimeUntilRow(child, "second"), kInForceBound);
}

// Guards against freshness that is computed from the time of arrival or from the parent's clock.
TEST(ReplicaTest, FreshnessIsSendTimeMinusAgeAndNeverFalls) {
  Replica replica;
  const common::Time start{std::chrono::hours(5)};
  schema::SyncResponse response;
  response.set_index(4);
  EXPECT_TRUE(replica.Apply(response, start));
  EXPECT_FALSE(replica.freshness());
  response.set_confirmed(true);
  response.set_freshness_age_ms(300);
  EXPECT_TRUE(replica.Apply(response, start));
  EXPECT_EQ(replica.freshness(), start - milliseconds(300));
  response.set_freshness_age_ms(900);
  EXPECT_TRUE(replica.Apply(response, start + milliseconds(1)));
  EXPECT_EQ(replica.freshness(), start - milliseconds(300));
}

// I13: guards against a delayed response that reverts the replica to older rows.
TEST(ReplicaTest, I13LateResponseChangesNothing) {
  Replica replica;
  schema::SyncResponse response;
  response.set_index(4);
  response.set_full(true);
  schema::Row& row = *response.add_rows();
  row.set_kind(schema::ROW_KIND_DRAINING);
  row.set_id("e1");
  row.set_modified_index(4);
  ASSERT_TRUE(replica.Apply(response, {}));
  schema::SyncResponse late;
  late.set_index(3);
  late.set_full(true);
  late.set_confirmed(true);
  EXPECT_FALSE(replica.Apply(late, common::Time(std::chrono::hours(9))));
  EXPECT_EQ(replica.Draining().size(), 1U);
  EXPECT_FALSE(replica.freshness());
}

// Guards against rows below the confirmed index that are reported as fresh.
TEST(SyncServerTest, TableBelowTheConfirmedIndexIsNotConfirmed) {
  SyncSource source;
  source.delta = [](LogIndex, const RowFilter&) { return Delta{.index = LogIndex(7)}; };
  const common::Time now{std::chrono::hours(1)};
  source.confirmation = [now] {
    return Confirmation{.confirmed_at = now, .fence = common::Term(1), .index = LogIndex(8)};
  };
  SyncServer server({}, source);
  EXPECT_FALSE(server.MakeResponse({}, now).confirmed());
}

}  // namespace
}  // namespace briarwood::distribution
