#include <gtest/gtest.h>

#include <atomic>

#include "briarwood/requests/run_codec.h"
#include "support/test_fleet.h"

namespace briarwood::entry {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr const char* kPrompt = R"({"model":"planner","prompt":"free slots","stream":true})";

// Guards against failures on the request path between caller, entry, agent and engine.
TEST(WholePathTest, StreamsFromEngineToCaller) {
  TestFleet fleet;
  ScriptedBackend engine({});
  EntryNode& entry = fleet.AddEntry();
  fleet.AddEngine("engine-1", engine);
  fleet.Configure();
  RawCall call(entry.port(), MakePost("/v1/completions", kPrompt));
  const std::string response = call.Finish();
  EXPECT_NE(response.find("\"text\":\"t3 \""), std::string::npos) << response;
  EXPECT_NE(response.find("data: [DONE]"), std::string::npos) << response;
}

// Guards against requests that wait indefinitely for an agent that accepts connections but never
// responds, for example on a VM that hangs.
TEST(WholePathTest, RetriesWhenAgentDoesNotRespond) {
  std::atomic<int> received = 0;
  RawServer unresponsive(
      [&](const RawServer::Connection&, const RawServer::Request&) { ++received; });
  TestFleet fleet;
  ScriptedBackend engine({});
  EntryNode& entry = fleet.AddEntry();
  fleet.AddEngine("engine-1", engine);
  fleet.AddEngineWithForeignAgentAddress("engine-2", unresponsive.address());
  fleet.Configure();
  std::vector<std::unique_ptr<RawCall>> calls;
  calls.reserve(3);
  // Three requests, because the retry budget of a class without other load is 3.
  for (int i = 0; i < 3; ++i) {
    calls.push_back(std::make_unique<RawCall>(entry.port(), MakePost("/v1/completions", kPrompt)));
  }
  for (const auto& call : calls) {
    const std::string response = call->Finish();
    EXPECT_NE(response.find("data: [DONE]"), std::string::npos) << response;
  }
  EXPECT_GE(received, 1);
}

// Guards against tokens that are billed twice or not at all when a stream is resumed, and against
// an agent that holds records after they are committed.
TEST(WholePathTest, ResumedStreamBillsEachTokenOnce) {
  TestFleet fleet;
  ScriptedBackend first({.incarnation = 1, .hold_before = 2});
  ScriptedBackend second({.incarnation = 2});
  EntryNode& entry = fleet.AddEntry();
  agent::AgentNode& agent = fleet.AddEngine("engine-1", first);
  fleet.Configure();
  RawCall call(entry.port(), MakePost("/v1/completions", kPrompt));
  ASSERT_TRUE(call.WaitFor("t1 "));
  fleet.AddEngine("engine-2", second);
  fleet.Configure();
  first.Crash();
  EXPECT_NE(call.Finish().find("[DONE]"), std::string::npos);
  const auto held = [](const observability::Metrics& metrics) {
    return metrics.Render().find("briarwood_usage_records_held 0") == std::string::npos;
  };
  EXPECT_TRUE(Eventually([&] { return !held(entry.metrics()) && !held(agent.metrics()); }));
  std::uint64_t input = 0;
  std::uint64_t output = 0;
  std::uint64_t calls = 0;
  for (const schema::Command& command : fleet.control().commands()) {
    for (const schema::BillingRecord& record : command.commit_usage().batch().records()) {
      EXPECT_EQ(record.customer(), "hauliers");
      input += record.input_tokens();
      output += record.output_tokens();
      calls += record.calls();
    }
  }
  EXPECT_EQ(input, 3U);
  EXPECT_EQ(output, 4U);
  EXPECT_EQ(calls, 1U);
}

// Guards against a non-idempotent call that is given up, with an unknown outcome and nothing
// gained, because its agent takes some seconds to accept it.
TEST(WholePathTest, WaitsForTheAgentOfACallThatCannotBeRepeated) {
  RawServer slow([](const RawServer::Connection& connection, const RawServer::Request& request) {
    if (request.path != "/internal/run") return;
    const std::optional<schema::RunRequest> run = requests::DecodeRunRequest(request.body);
    ASSERT_TRUE(run.has_value());
    std::this_thread::sleep_for(std::chrono::milliseconds(3500));
    std::string events;
    const auto add = [&](schema::RunEvent event) {
      event.set_request_id(run->request_id());
      event.set_entry_incarnation(run->entry_incarnation());
      event.set_attempt(run->attempt());
      events += requests::EncodeRunEvent(event);
    };
    schema::RunEvent accepted;
    accepted.mutable_accepted();
    add(accepted);
    schema::RunEvent answer;
    answer.mutable_answer()->mutable_answer()->set_status(201);
    answer.mutable_answer()->mutable_answer()->set_body("booked");
    add(answer);
    schema::RunEvent end;
    end.mutable_end();
    add(end);
    connection.Respond("200 OK", events);
  });
  TestFleet fleet;
  EntryNode& entry = fleet.AddEntry();
  fleet.AddServiceWithForeignAgentAddress("service-1", slow.address());
  fleet.Configure();
  const std::string response =
      RawCall(entry.port(), MakePost("/bookings", "{}", kKey, "Idempotency-Key: key-1\r\n"))
          .Finish();
  EXPECT_NE(response.find(" 201 "), std::string::npos) << response;
  EXPECT_NE(response.find("booked"), std::string::npos) << response;
}

// Guards against a planned stop that ends while a request still has time until its deadline.
TEST(WholePathTest, StopWaitsForRequestsUntilTheirDeadlines) {
  TestFleet fleet;
  ScriptedBackend engine({.hold_before = 2});
  EntryNode& entry = fleet.AddEntry();
  agent::AgentNode& agent = fleet.AddEngine("engine-1", engine);
  fleet.Configure();
  RawCall call(entry.port(), MakePost("/v1/completions", kPrompt));
  ASSERT_TRUE(call.WaitFor("t1 "));
  std::thread release([&engine] {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    engine.Release();
  });
  std::thread stop([&agent] { EXPECT_TRUE(agent.Drain(std::chrono::milliseconds(200))); });
  EXPECT_TRUE(entry.Drain(std::chrono::milliseconds(200)));
  release.join();
  stop.join();
  EXPECT_NE(call.Finish().find("[DONE]"), std::string::npos);
}

}  // namespace
}  // namespace briarwood::entry
