#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "briarwood/observability/log.h"
#include "support/test_fleet.h"

namespace briarwood::entry {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

std::string Exchange(EntryNode& entry, const std::string& request) {
  return RawCall(entry.port(), request).Finish();
}

// I3: guards against claiming or answering a call for a customer other than that of its key, or
// merging calls of different customers, even if the idempotency keys are equal and the body names
// another customer.
TEST(EntryInvariantsTest, I3RequestRunsForTheCustomerOfItsKey) {
  TestFleet fleet;
  ScriptedBackend service({});
  EntryNode& entry = fleet.AddEntry();
  fleet.AddService("service-1", service.url());
  fleet.Configure();
  const std::string body = R"({"siding":"toton-4","customer":"planners"})";
  const std::string same_key = "Idempotency-Key: key-1\r\n";
  EXPECT_NE(Exchange(entry, MakePost("/bookings", body, kKey, same_key)).find("201"),
            std::string::npos);
  EXPECT_NE(Exchange(entry, MakePost("/bookings", body, kOtherKey, same_key)).find("201"),
            std::string::npos);
  EXPECT_EQ(service.received().size(), 2U);
  std::vector<std::string> customers;
  for (const schema::Command& command : fleet.control().commands()) {
    if (command.has_claim()) customers.push_back(command.claim().customer());
  }
  EXPECT_EQ(customers, (std::vector<std::string>{"hauliers", "planners"}));
}

// I4: guards against leaking a caller's key to a backend server, the control log or a log file.
TEST(EntryInvariantsTest, I4KeyStaysAtTheEntry) {
  const std::string log_file = testing::TempDir() + "briarwood_i4.log";
  std::filesystem::remove(log_file);
  observability::ConfigureLog({.level = observability::LogLevel::kDebug, .file = log_file});
  TestFleet fleet;
  ScriptedBackend backend({.hold_before = 2});
  EntryNode& entry = fleet.AddEntry();
  fleet.AddEngine("engine-1", backend);
  fleet.AddService("service-1", backend.url());
  fleet.Configure();
  RawCall call(
      entry.port(),
      MakePost("/v1/completions", R"({"model":"planner","prompt":"secret plan","stream":true})"));
  ASSERT_TRUE(call.WaitFor("t1 "));
  ScriptedBackend second({});
  fleet.AddEngine("engine-2", second);
  fleet.AddService("service-2", second.url());
  fleet.Configure();
  backend.Crash();
  EXPECT_NE(call.Finish().find("[DONE]"), std::string::npos);
  const std::string headers = std::string("Idempotency-Key: key-1\r\nX-Key: ") + kKey + "\r\n";
  EXPECT_NE(Exchange(entry, MakePost("/bookings", "{}", kKey, headers)).find("201"),
            std::string::npos);
  std::string seen = backend.received_bytes() + second.received_bytes();
  for (const schema::Command& command : fleet.control().commands()) {
    seen += command.SerializeAsString();
  }
  EXPECT_EQ(seen.find(kKey), std::string::npos);
  observability::ConfigureLog({});
  std::ostringstream log;
  log << std::ifstream(log_file).rdbuf();
  EXPECT_NE(log.str().find("crashed"), std::string::npos) << log.str();
  EXPECT_EQ(log.str().find(kKey), std::string::npos);
  EXPECT_EQ(log.str().find("secret plan"), std::string::npos);
  std::filesystem::remove(log_file);
}

// I9: guards against reporting "not_run" for a request that an engine has read.
TEST(EntryInvariantsTest, I9RequestReadByAnEngineIsNotReportedAsNotRun) {
  std::atomic<int> read = 0;
  RawServer engine([&](const RawServer::Connection& connection, const RawServer::Request& request) {
    if (request.path == "/load") {
      connection.Respond("200 OK", R"({"capacity":8,"incarnation":1})");
    } else {
      ++read;
      connection.Close();
    }
  });
  TestFleet fleet;
  EntryNode& entry = fleet.AddEntry();
  fleet.AddAgent("engine-1", engine.url(),
                 "kind: BACKEND_KIND_ENGINE model: \"planner\" max_concurrency: 8");
  fleet.Configure();
  const std::string response = Exchange(
      entry, MakePost("/v1/completions", R"({"model":"planner","prompt":"x","class":"quick"})"));
  EXPECT_GE(read, 1);
  EXPECT_NE(response.find("\"run\":\"unknown\""), std::string::npos) << response;
}

// I9: guards against reporting a run state other than "not_run" for a request that reached no
// engine.
TEST(EntryInvariantsTest, I9RequestThatReachedNoEngineIsReportedAsNotRun) {
  ScriptedBackend engine({});
  TestFleet fleet;
  EntryNode& entry = fleet.AddEntry();
  fleet.AddEngine("engine-1", engine);
  fleet.Configure();
  engine.Crash();
  const std::string response = Exchange(
      entry, MakePost("/v1/completions", R"({"model":"planner","prompt":"x","class":"quick"})"));
  EXPECT_TRUE(engine.received().empty());
  EXPECT_NE(response.find("\"run\":\"not_run\""), std::string::npos) << response;
}

// I5: guards against an isolated entry that still accepts keys when its key table exceeds the
// maximum age, for new requests and for those in flight.
TEST(EntryInvariantsTest, I5IsolatedEntryFailsClosed) {
  TestFleet fleet;
  ScriptedBackend engine({.hold_before = 2});
  EntryNode& entry = fleet.AddEntry();
  fleet.AddEngine("engine-1", engine);
  fleet.Configure();
  const std::string request =
      MakePost("/v1/completions", R"({"model":"planner","prompt":"x","stream":true})");
  RawCall call(entry.port(), request);
  ASSERT_TRUE(call.WaitFor("t1 "));
  fleet.control().Isolate();
  EXPECT_NE(call.Finish().find("keys_stale"), std::string::npos);
  const std::string rejected = Exchange(entry, request);
  EXPECT_NE(rejected.find("HTTP/1.1 503"), std::string::npos) << rejected;
  EXPECT_NE(rejected.find("\"code\":\"keys_stale\""), std::string::npos) << rejected;
  EXPECT_NE(rejected.find("\"run\":\"not_run\""), std::string::npos) << rejected;
}

// Guards against an entry that answers 404 by a configuration that is older than the one that the
// control members hold.
TEST(EntryInvariantsTest, RefusesOnlyByAConfirmedConfiguration) {
  TestFleet fleet;
  ScriptedBackend engine({});
  EntryNode& entry = fleet.AddEntry();
  fleet.AddEngine("engine-1", engine);
  fleet.Configure();
  const std::string request =
      MakePost("/v1/completions", R"({"model":"unknown","prompt":"x","class":"quick"})");
  fleet.control().SetReachable(false);
  RawCall call(entry.port(), request);
  const std::string rejected = call.Finish();
  EXPECT_NE(rejected.find("HTTP/1.1 503"), std::string::npos) << rejected;
  EXPECT_NE(rejected.find("\"run\":\"not_run\""), std::string::npos) << rejected;
  fleet.control().SetReachable(true);
  const std::string refused = Exchange(entry, request);
  EXPECT_NE(refused.find("HTTP/1.1 404"), std::string::npos) << refused;
}

}  // namespace
}  // namespace briarwood::entry
