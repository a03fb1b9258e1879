#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::StartsWith;

/// Entry with backend servers in the failure domains "east" and "west".
class FailureDomainDrainTest : public ForwardingTest {
 protected:
  void ListIn(const std::string& domain, const std::string& id, const FakeBackend& backend,
              std::uint32_t slots = 8) {
    List(id, backend.address());
    const std::lock_guard lock(list_mutex_);
    schema::ListedBackend& listed = *list_.mutable_backends()->rbegin();
    listed.set_failure_domain(domain);
    listed.set_slots(slots);
  }

  /// Returns once the entry uses the changed list.
  static void WaitForList() { std::this_thread::sleep_for(milliseconds(700)); }

  void SetDraining(const std::string& domain, bool draining) {
    schema::Command command;
    command.mutable_drain_failure_domain()->set_failure_domain(domain);
    command.mutable_drain_failure_domain()->set_draining(draining);
    ASSERT_EQ(control_.Apply(command).code(), schema::RESULT_CODE_OK);
    std::this_thread::sleep_for(milliseconds(200));
  }

  static FakeBackend::Handler Respond(const std::string& body) {
    return [body](const auto& connection, const auto& request) {
      connection.Send(Answer(request, body));
    };
  }

  /// Keeps its first request until `released_`, and then handles it with `finish`.
  FakeBackend::Handler KeepFirst(FakeBackend::Handler finish) {
    return [this, finish = std::move(finish)](const auto& connection, const auto& request) {
      if (kept_.exchange(true)) return connection.Send(Answer(request, "later"));
      Eventually([this] { return released_.load(); });
      finish(connection, request);
    };
  }

  std::atomic<bool> kept_ = false;
  std::atomic<bool> released_ = false;
};

// Guards against new requests to a drained domain, against a request in progress there that is
// ended, and against a domain that is taken back and stays unused.
TEST_F(FailureDomainDrainTest, OnlyRequestsInProgressUseADrainedDomain) {
  FakeBackend west(KeepFirst(Respond("first")));
  ListIn("west", "a-1", west);
  StartReadyEntry();
  RawCall first(node_->port(), Request("POST /read/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return kept_.load(); }));
  FakeBackend east(Respond("east"));
  ListIn("east", "a-2", east);
  WaitForList();
  SetDraining("west", true);
  for (int i = 0; i < 12; ++i) EXPECT_THAT(Call("POST /read/x", "", "{}"), HasSubstr("east"));
  released_ = true;
  EXPECT_THAT(first.Finish(), HasSubstr("first"));
  EXPECT_EQ(west.requests().size(), 1U);
  SetDraining("west", false);
  SetDraining("east", true);
  EXPECT_THAT(Call("POST /read/x", "", "{}"), HasSubstr("later"));
}

// Guards against a request that was queued before the drain and goes to the drained domain as soon
// as a slot is free there.
TEST_F(FailureDomainDrainTest, QueuedRequestDoesNotEnterADrainedDomain) {
  FakeBackend west(KeepFirst(Respond("first")));
  ListIn("west", "a-1", west, /*slots=*/1);
  FakeBackend other([](const auto& connection, const auto& request) {
    std::this_thread::sleep_for(milliseconds(400));
    connection.Send(Answer(request, "other"));
  });
  StartReadyEntry();
  RawCall first(node_->port(), Request("POST /read/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return kept_.load(); }));
  ListIn("east", "a-2", other, /*slots=*/1);
  WaitForList();
  RawCall second(node_->port(), Request("POST /read/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return other.requests().size() == 1; }));
  RawCall third(node_->port(), Request("POST /read/x", "", "{}"));
  SetDraining("west", true);
  released_ = true;
  EXPECT_THAT(second.Finish(), HasSubstr("other"));
  EXPECT_THAT(third.Finish(), HasSubstr("other"));
  EXPECT_EQ(west.requests().size(), 1U);
}

// Guards against another attempt in the drained domain of a request that began before the drain.
TEST_F(FailureDomainDrainTest, RetryLeavesADrainedDomain) {
  FakeBackend west(KeepFirst([](const auto& connection, const auto&) { connection.Reset(); }));
  ListIn("west", "a-1", west);
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /read/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return kept_.load(); }));
  FakeBackend sibling(Respond("west again"));
  ListIn("west", "a-2", sibling);
  FakeBackend east(Respond("east"));
  ListIn("east", "a-3", east);
  SetDraining("west", true);
  WaitForList();
  released_ = true;
  EXPECT_THAT(call.Finish(), HasSubstr("east"));
  EXPECT_TRUE(sibling.requests().empty());
}

// Guards against a replacement for a silent server in the drained domain.
TEST_F(FailureDomainDrainTest, ReplacementLeavesADrainedDomain) {
  FakeBackend west(KeepFirst([](const auto&, const auto&) {}));
  ListIn("west", "m-1", west);
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return kept_.load(); }));
  FakeBackend sibling(Respond("west again"));
  ListIn("west", "m-2", sibling);
  FakeBackend east([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(""));
  });
  ListIn("east", "m-3", east);
  SetDraining("west", true);
  EXPECT_TRUE(call.WaitFor("piece1"));
  released_ = true;
  EXPECT_TRUE(sibling.requests().empty());
}

// Guards against callers, new and queued, that wait for nothing while all domains of their service
// are drained, and against callers of other services that are rejected with them.
TEST_F(FailureDomainDrainTest, CallersAreRejectedWhenAllDomainsAreDrained) {
  FakeBackend west(KeepFirst(Respond("first")));
  ListIn("west", "a-1", west, /*slots=*/1);
  FakeBackend east([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(""));
  });
  ListIn("east", "m-1", east);
  StartReadyEntry();
  RawCall first(node_->port(), Request("POST /read/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return kept_.load(); }));
  RawCall queued(node_->port(), Request("POST /read/x", "", "{}"));
  SetDraining("west", true);
  for (const std::string& response : {queued.Finish(), Call("POST /read/x", "", "{}")}) {
    EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(response, HasSubstr("Retry-After: 2"));
  }
  EXPECT_THAT(Call("POST /draft/x", "", "{}"), HasSubstr("piece1"));
  released_ = true;
  EXPECT_THAT(first.Finish(), HasSubstr("first"));
  SetDraining("west", false);
  EXPECT_THAT(Call("POST /read/x", "", "{}"), HasSubstr("later"));
}

}  // namespace
}  // namespace briarwood::forwarding
