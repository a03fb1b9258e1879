#include "briarwood/agent/agent_node.h"

#include <gtest/gtest.h>

#include "briarwood/http/client.h"
#include "briarwood/requests/run_codec.h"
#include "support/test_fleet.h"

namespace briarwood::agent {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

class AgentNodeTest : public testing::Test {
 protected:
  void Start(const ScriptedBackend& engine, const std::string& capacity = "max_concurrency: 1") {
    fleet_.AddEntry();
    agent_ = &fleet_.AddEngine("engine-1", engine, capacity);
    fleet_.Configure();
  }

  static schema::RunRequest MakeRun(const std::string& id, std::uint32_t tier) {
    schema::RunRequest run;
    run.set_request_id(id);
    run.set_entry_incarnation(11);
    run.set_attempt(1);
    run.set_tier(tier);
    run.set_deadline_ms(20'000);
    run.set_streaming(true);
    run.set_repeatable(true);
    run.set_method("POST");
    run.set_path("/v1/completions");
    run.set_body("{}");
    return run;
  }

  [[nodiscard]] std::string Post(const std::string& path, const std::string& body,
                                 const std::string& credential = kFleetCredential) const {
    return "POST " + path +
           " HTTP/1.1\r\nHost: agent\r\nBriarwood-Fleet-Credential: " + credential +
           "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  [[nodiscard]] std::string RunPost(const schema::RunRequest& run) const {
    return Post("/internal/run", requests::EncodeRunRequest(run));
  }

  [[nodiscard]] std::string Exchange(const std::string& request) const {
    return RawCall(agent_->port(), request).Finish();
  }

  TestFleet fleet_;
  AgentNode* agent_ = nullptr;
};

// I1: guards against admitting requests to a full engine, and against a top-tier request that waits
// for a lower tier or is preempted by it.
TEST_F(AgentNodeTest, I1PreemptsTheLowestTierOnly) {
  ScriptedBackend engine({.hold_before = 2});
  Start(engine);
  RawCall low(agent_->port(), RunPost(MakeRun("low", 1)));
  ASSERT_TRUE(low.WaitFor("t1 "));
  EXPECT_NE(Exchange(RunPost(MakeRun("other", 1))).find("RUN_ERROR_CODE_FULL"), std::string::npos);
  RawCall top(agent_->port(), RunPost(MakeRun("top", 0)));
  ASSERT_TRUE(top.WaitFor("t1 "));
  EXPECT_NE(low.Finish().find("RUN_ERROR_CODE_PREEMPTED"), std::string::npos);
  EXPECT_NE(Exchange(RunPost(MakeRun("second", 0))).find("RUN_ERROR_CODE_FULL"), std::string::npos);
  engine.Release();
  EXPECT_NE(top.Finish().find("\"end\""), std::string::npos);
}

// I10: guards against executing an attempt twice when it arrives twice.
TEST_F(AgentNodeTest, I10AttemptThatArrivesTwiceIsExecutedOnce) {
  ScriptedBackend engine({});
  Start(engine);
  const std::string request = RunPost(MakeRun("r1", 0));
  EXPECT_NE(Exchange(request).find("\"end\""), std::string::npos);
  EXPECT_NE(Exchange(request).find("RUN_ERROR_CODE_INVALID"), std::string::npos);
  EXPECT_EQ(engine.received().size(), 1U);
}

// I6: guards against forwarding an order of a previous leader to an engine that ignores fencing
// tokens, and against orders without the fleet credential.
TEST_F(AgentNodeTest, I6RejectsOrdersWithAStaleFencingToken) {
  ScriptedBackend engine({});
  Start(engine);
  schema::Order order;
  order.set_id(1);
  order.set_kind(schema::ORDER_KIND_LOAD_MODEL);
  order.set_fence(2);  // The control member of the test confirms fencing token 3.
  EXPECT_NE(Exchange(Post("/internal/order", order.SerializeAsString())).find(" 409 "),
            std::string::npos);
  order.set_fence(3);
  const std::string current = order.SerializeAsString();
  EXPECT_NE(Exchange(Post("/internal/order", current, "wrong")).find(" 401 "), std::string::npos);
  EXPECT_TRUE(engine.received().empty());
  EXPECT_NE(Exchange(Post("/internal/order", current)).find(" 201 "), std::string::npos);
  EXPECT_EQ(engine.received().size(), 1U);
}

// Guards against an engine that continues a request after its entry has disconnected.
TEST_F(AgentNodeTest, CancelsWhenTheEntryGoesAway) {
  ScriptedBackend engine({.tokens = 1'000'000, .token_delay = std::chrono::milliseconds(2)});
  Start(engine);
  RawCall call(agent_->port(), RunPost(MakeRun("r1", 0)));
  ASSERT_TRUE(call.WaitFor("t1 "));
  call.Disconnect();
  EXPECT_TRUE(Eventually([&] { return agent_->Load().running() == 0; }));
  EXPECT_TRUE(Eventually([&] { return engine.received().size() == 2; }));
  EXPECT_EQ(engine.received().at(1), R"(POST /cancel {"request_id":"r1/11/1"})");
  engine.Crash();
}

// I11: guards against new requests on a backend server that operators drain.
TEST_F(AgentNodeTest, I11DrainingBackendRejectsNewRequests) {
  ScriptedBackend engine({});
  Start(engine);
  schema::Command drain;
  drain.mutable_drain_backend()->set_operation_id("drain-1");
  drain.mutable_drain_backend()->set_backend_server("engine-1");
  drain.mutable_drain_backend()->set_draining(true);
  const auto started = common::BootClock::now();
  ASSERT_EQ(fleet_.control().Apply(drain).code(), schema::RESULT_CODE_OK);
  EXPECT_TRUE(Eventually([&] { return agent_->Load().leaving(); }));
  EXPECT_LT(common::BootClock::now() - started, std::chrono::seconds(2));
  EXPECT_NE(Exchange(RunPost(MakeRun("r1", 0))).find("RUN_ERROR_CODE_LEAVING"), std::string::npos);
}

}  // namespace
}  // namespace briarwood::agent
