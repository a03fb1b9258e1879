#include "entry/impl/dispatcher.h"

#include <gtest/gtest.h>

namespace briarwood::entry::impl {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

schema::RequestClass Class(const std::string& id, std::uint64_t queue_limit = 100) {
  schema::RequestClass request_class;
  request_class.set_id(id);
  request_class.set_first_token_target_ms(5000);
  request_class.set_deadline_ms(60'000);
  request_class.set_queue_limit(queue_limit);
  return request_class;
}

/// Dispatcher with engines that run one request each.
class DispatcherTest : public testing::Test {
 protected:
  void Configure(const std::vector<schema::RequestClass>& classes, std::uint64_t engines,
                 common::Time now = kStart) {
    schema::SyncResponse response;
    response.set_index(1);
    response.set_full(true);
    for (const schema::RequestClass& request_class : classes) {
      AddRow(response, schema::ROW_KIND_CLASS, request_class.id(),
             request_class.SerializeAsString());
    }
    for (std::uint64_t i = 1; i <= engines; ++i) {
      schema::BackendServer engine;
      engine.set_id("engine-" + std::to_string(i));
      engine.set_kind(schema::BACKEND_KIND_ENGINE);
      engine.set_model("planner");
      engine.set_max_concurrency(1);
      AddRow(response, schema::ROW_KIND_BACKEND_SERVER, engine.id(), engine.SerializeAsString());
    }
    distribution::Replica replica;
    ASSERT_TRUE(replica.Apply(response, kStart));
    dispatcher_.Configure(*Directory::Build(replica), now);
  }

  [[nodiscard]] std::vector<routing::DroppedRequest> Enqueue(const std::string& id,
                                                             common::Time now = kStart) {
    routing::QueuedRequest request;
    request.id = common::RequestId(id);
    request.class_id = common::ClassId("question");
    request.customer = common::CustomerId("hauliers");
    request.capability.model = common::ModelId("planner");
    request.input_tokens = 10;
    request.expected_output_tokens = 10;
    return dispatcher_.Enqueue(request, now);
  }

  /// \returns the ids of the requests that a dispatch pass places, in this order.
  std::vector<std::string> Place(common::Time now = kStart) {
    DispatchRound round = dispatcher_.Next(now);
    std::vector<std::string> ids;
    for (const PlacedRequest& placed : round.placed) ids.push_back(placed.id.value());
    for (routing::DroppedRequest& dropped : round.dropped) dropped_.push_back(std::move(dropped));
    return ids;
  }

  void EndAttempt(const std::string& id, AttemptOutcome outcome) {
    dispatcher_.EndAttempt(common::RequestId(id), outcome, kStart);
  }

  void Finish(const std::string& id) {
    EndAttempt(id, AttemptOutcome::kSuccess);
    dispatcher_.Finish(common::RequestId(id));
  }

  void Requeue(const std::string& id, std::uint64_t resume_from) {
    dispatcher_.Requeue(common::RequestId(id), resume_from, kStart);
  }

  static schema::LoadReport Load(const std::string& engine) {
    schema::LoadReport load;
    load.set_backend_server(engine);
    load.set_capacity(1);
    load.set_healthy(true);
    return load;
  }

  Dispatcher dispatcher_{common::FailureDomainId("toton"), 7};
  std::vector<routing::DroppedRequest> dropped_;

 private:
  static void AddRow(schema::SyncResponse& response, schema::RowKind kind, const std::string& id,
                     const std::string& value) {
    schema::Row& row = *response.add_rows();
    row.set_kind(kind);
    row.set_id(id);
    row.set_value(value);
    row.set_modified_index(1);
  }
};

using Ids = std::vector<std::string>;

// Guards against a stream that is given up because the heartbeats of its agent no longer arrive,
// although its events do.
TEST_F(DispatcherTest, ServerWhoseEventsArriveIsNotDead) {
  Configure({Class("question")}, 3);
  for (const char* id : {"engine-1", "engine-2", "engine-3"}) {
    dispatcher_.ReportRelayed(Load(id), kStart);
  }
  ASSERT_TRUE(Enqueue("r1").empty());
  const common::Time later = kStart + seconds(11);
  dispatcher_.ReportRelayed(Load("engine-2"), later);
  dispatcher_.ReportRelayed(Load("engine-3"), later);
  dispatcher_.Report(Load("engine-1"), later - milliseconds(500));
  dispatcher_.OnSync(later);
  Place(later);
  EXPECT_FALSE(dispatcher_.IsDead(common::BackendServerId("engine-1")));
}

// Guards against waiting for an agent that neither heartbeats nor events come from.
TEST_F(DispatcherTest, ServerThatIsSilentOnBothPathsIsDead) {
  Configure({Class("question")}, 3);
  for (const char* id : {"engine-1", "engine-2", "engine-3"}) {
    dispatcher_.ReportRelayed(Load(id), kStart);
  }
  dispatcher_.Report(Load("engine-1"), kStart);
  ASSERT_TRUE(Enqueue("r1").empty());
  const common::Time later = kStart + seconds(11);
  dispatcher_.ReportRelayed(Load("engine-2"), later);
  dispatcher_.ReportRelayed(Load("engine-3"), later);
  dispatcher_.OnSync(later);
  Place(later);
  EXPECT_TRUE(dispatcher_.IsDead(common::BackendServerId("engine-1")));
}

// Guards against a stream that is dropped as the newest request of a full queue when it waits for
// its next attempt.
TEST_F(DispatcherTest, InterruptedRequestIsNotDroppedFromAFullQueue) {
  Configure({Class("question", 2)}, 2);
  for (const char* id : {"r1", "r2"}) ASSERT_TRUE(Enqueue(id).empty());
  ASSERT_EQ(Place().size(), 2U);
  for (const char* id : {"r3", "r4"}) ASSERT_TRUE(Enqueue(id).empty());
  EndAttempt("r1", AttemptOutcome::kFailure);
  Requeue("r1", 3);
  EXPECT_EQ(Place(), Ids{"r3"});
  ASSERT_EQ(dropped_.size(), 1U);
  EXPECT_EQ(dropped_[0].request.id.value(), "r4");
  Finish("r2");
  EXPECT_EQ(Place(), Ids{"r1"});
}

// Guards against a change of the classes that reorders the queue, so that a shorter queue limit
// drops requests that came first.
TEST_F(DispatcherTest, ChangeOfTheClassesKeepsTheOrderOfTheQueue) {
  Configure({Class("question")}, 1);
  ASSERT_TRUE(Enqueue("r1").empty());
  ASSERT_EQ(Place(), Ids{"r1"});
  ASSERT_TRUE(Enqueue("r9", kStart + milliseconds(1)).empty());
  ASSERT_TRUE(Enqueue("r10", kStart + milliseconds(2)).empty());
  Configure({Class("question", 1)}, 1);
  Finish("r1");
  EXPECT_EQ(Place(), Ids{"r9"});
  ASSERT_EQ(dropped_.size(), 1U);
  EXPECT_EQ(dropped_[0].request.id.value(), "r10");
}

// Guards against a change of the classes that reads the clock of the machine instead of the time
// that it is given: shortly after a boot, the requests of the queue count as late.
TEST_F(DispatcherTest, ChangeOfTheClassesKeepsTheTimeOfTheQueue) {
  const common::Time later = kStart + std::chrono::hours(24 * 365);
  Configure({Class("question")}, 1, later);
  ASSERT_TRUE(Enqueue("r1", later).empty());
  Configure({Class("question", 1)}, 1, later);
  EXPECT_EQ(Place(later), Ids{"r1"});
  EXPECT_TRUE(dropped_.empty());
}

// Guards against a change that removes a class and with it the requests of the class that wait, or
// are interrupted later.
TEST_F(DispatcherTest, RemovedClassKeepsItsRequests) {
  Configure({Class("question"), Class("draft")}, 2);
  for (const char* id : {"r1", "r2"}) ASSERT_TRUE(Enqueue(id).empty());
  ASSERT_EQ(Place().size(), 2U);
  ASSERT_TRUE(Enqueue("r3").empty());
  Configure({Class("draft")}, 2);
  EndAttempt("r1", AttemptOutcome::kInconclusive);
  Requeue("r1", 3);
  EXPECT_EQ(Place().size(), 1U);
  Finish("r2");
  EXPECT_EQ(Place().size(), 1U);
  EXPECT_TRUE(dropped_.empty());
}

}  // namespace
}  // namespace briarwood::entry::impl
