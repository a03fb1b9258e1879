#include "support/golden_session.h"

#include <gtest/gtest.h>

#include <future>

#include "support/disconnecting_server.h"
#include "support/test_fleet.h"

namespace briarwood::entry {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr const char* kStreamed = R"({"model":"planner","prompt":"free slots","stream":true})";
constexpr const char* kBooking = R"({"siding":"toton-4"})";

std::string BookingPost(const std::string& body, const std::string& idempotency_key) {
  return MakePost("/bookings", body, kKey, "Idempotency-Key: " + idempotency_key + "\r\n");
}

std::string Exchange(EntryNode& entry, const std::string& request) {
  return RawCall(entry.port(), request).Finish();
}

class GoldenSessionTest : public testing::Test {
 protected:
  /// Sends a request and records it with its response.
  std::string Record(GoldenSession& session, const std::string& title, EntryNode& entry,
                     const std::string& request) {
    std::string response = Exchange(entry, request);
    session.Call(title, request, response);
    return response;
  }

  TestFleet fleet_;
};

// Guards against changes of non-streamed responses of the caller API and of the requests to
// engines.
TEST_F(GoldenSessionTest, Plain) {
  ScriptedBackend engine({});
  EntryNode& entry = fleet_.AddEntry();
  fleet_.AddEngine("engine-1", engine);
  fleet_.Configure();
  GoldenSession session("plain");
  Record(session, "chat", entry,
         MakePost("/v1/chat/completions",
                  R"({"model":"planner","messages":[{"role":"user","content":"plan"}]})"));
  session.Received("engine-1", engine.received());
  session.Check();
}

// Guards against changes of streamed responses of the caller API.
TEST_F(GoldenSessionTest, Streamed) {
  ScriptedBackend engine({});
  EntryNode& entry = fleet_.AddEntry();
  fleet_.AddEngine("engine-1", engine);
  fleet_.Configure();
  GoldenSession session("streamed");
  Record(session, "completion", entry, MakePost("/v1/completions", kStreamed));
  session.Received("engine-1", engine.received());
  session.Check();
}

// I8: guards against missing or duplicated tokens in an answer after an engine crash in mid-stream.
TEST_F(GoldenSessionTest, I8ResumedAfterEngineCrash) {
  ScriptedBackend first({.incarnation = 1, .hold_before = 2});
  ScriptedBackend second({.incarnation = 2});
  EntryNode& entry = fleet_.AddEntry();
  fleet_.AddEngine("engine-1", first);
  fleet_.Configure();
  GoldenSession session("resumed");
  const std::string request = MakePost("/v1/completions", kStreamed);
  RawCall call(entry.port(), request);
  ASSERT_TRUE(call.WaitFor("t1 "));
  fleet_.AddEngine("engine-2", second);
  fleet_.Configure();
  first.Crash();
  session.Call("completion", request, call.Finish());
  session.Received("engine-1", first.received());
  session.Received("engine-2", second.received());
  session.Check();
}

// Guards against rejected requests that reach an engine, and against changes of their error code,
// status or run state.
TEST_F(GoldenSessionTest, Rejected) {
  ScriptedBackend engine({});
  EntryNode& entry = fleet_.AddEntry();
  fleet_.AddEngine("engine-1", engine);
  fleet_.Configure();
  GoldenSession session("refused");
  Record(
      session, "key in the body", entry,
      MakePost("/v1/completions", std::string(R"({"model":"planner","prompt":")") + kKey + "\"}"));
  Record(session, "customer in a header", entry,
         MakePost("/v1/completions", kStreamed, kKey, "Briarwood-Customer: planners\r\n"));
  Record(session, "unknown key", entry, MakePost("/v1/completions", kStreamed, "sk-unknown-000"));
  Record(session, "unknown model", entry,
         MakePost("/v1/completions", R"({"model":"other","prompt":"x"})"));
  Record(session, "unknown path", entry, MakePost("/v2/completions", kStreamed));
  Record(session, "no idempotency key", entry, MakePost("/bookings", kBooking));
  Record(session, "malformed body", entry, MakePost("/v1/completions", "{"));
  session.Received("engine-1", engine.received());
  session.Check();
}

// I5: guards against accepting a withdrawn key from a connected caller or for a new request.
TEST_F(GoldenSessionTest, I5KeyWithdrawnInMidStream) {
  ScriptedBackend engine({.hold_before = 2});
  EntryNode& entry = fleet_.AddEntry();
  fleet_.AddEngine("engine-1", engine);
  fleet_.Configure();
  GoldenSession session("key_withdrawn");
  const std::string request = MakePost("/v1/completions", kStreamed);
  RawCall call(entry.port(), request);
  ASSERT_TRUE(call.WaitFor("t1 "));
  const auto withdrawn_at = common::BootClock::now();
  fleet_.Withdraw(kKey);
  session.Call("completion", request, call.Finish());
  EXPECT_LT(common::BootClock::now() - withdrawn_at, std::chrono::seconds(2));
  Record(session, "next request", entry, request);
  // The engine receives a cancel request.
  EXPECT_TRUE(Eventually([&] { return engine.received().size() == 2; }));
  session.Received("engine-1", engine.received());
  session.Check();
}

// I10: guards against executing a booking twice when the caller resends it through another entry.
TEST_F(GoldenSessionTest, I10BookingSentTwiceThroughTwoEntriesRunsOnce) {
  ScriptedBackend service({.hold_before = 0});
  EntryNode& entry = fleet_.AddEntry();
  EntryNode& other = fleet_.AddEntry();
  fleet_.AddService("service-1", service.url());
  fleet_.Configure();
  GoldenSession session("booking_twice");
  const std::string request = BookingPost(kBooking, "key-1");
  RawCall first(entry.port(), request);
  ASSERT_TRUE(service.WaitUntilHeld(1));
  Record(session, "resend while the first runs", other, request);
  service.Release();
  session.Call("first", request, first.Finish());
  Record(session, "resend after the answer", other, request);
  Record(session, "other body", other, BookingPost(R"({"siding":"toton-5"})", "key-1"));
  session.Received("service-1", service.received());
  session.Check();
  EXPECT_EQ(service.received().size(), 1U);
}

// I9, I10: guards against a further attempt, by the HTTP library or the router, of a booking that a
// service read from a reused connection before it crashed, and against reporting it as not run.
TEST_F(GoldenSessionTest, I10BookingReadByCrashingServiceRunsAtMostOnce) {
  DisconnectingServer service;
  EntryNode& entry = fleet_.AddEntry();
  fleet_.AddService("service-1", service.url());
  fleet_.Configure();
  GoldenSession session("booking_lost");
  Record(session, "first booking", entry, BookingPost(kBooking, "key-1"));
  const std::string lost = BookingPost(R"({"siding":"toton-5"})", "key-2");
  const std::string response = Record(session, "lost booking", entry, lost);
  EXPECT_EQ(response.find("not_run"), std::string::npos);
  Record(session, "resend", entry, lost);
  session.Received("service-1", service.bookings());
  session.Check();
  EXPECT_EQ(service.bookings().size(), 2U);
}

// I12: guards against aborting a stream on a planned stop of an entry or agent.
TEST_F(GoldenSessionTest, I12DrainCompletesRequestsInFlight) {
  ScriptedBackend engine({.hold_before = 2});
  EntryNode& entry = fleet_.AddEntry();
  agent::AgentNode& agent = fleet_.AddEngine("engine-1", engine);
  fleet_.Configure();
  GoldenSession session("drain");
  const std::string request = MakePost("/v1/completions", kStreamed);
  RawCall call(entry.port(), request);
  ASSERT_TRUE(call.WaitFor("t1 "));
  auto agent_drained =
      std::async(std::launch::async, [&] { return agent.Drain(std::chrono::seconds(20)); });
  auto entry_drained =
      std::async(std::launch::async, [&] { return entry.Drain(std::chrono::seconds(20)); });
  ASSERT_TRUE(Eventually([&] { return !entry.Ready() && agent.Load().leaving(); }));
  Record(session, "new request", entry, request);
  // After two probes, the timers of the agent and the entry have run since the stop began.
  const std::size_t probes = engine.probes();
  ASSERT_TRUE(Eventually([&] { return engine.probes() >= probes + 2; }));
  engine.Release();
  session.Call("request in flight", request, call.Finish());
  EXPECT_TRUE(agent_drained.get());
  EXPECT_TRUE(entry_drained.get());
  session.Received("engine-1", engine.received());
  session.Check();
}

}  // namespace
}  // namespace briarwood::entry
