#include <gtest/gtest.h>

#include <atomic>
#include <functional>

#include "support/test_fleet.h"

namespace briarwood::entry {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr const char* kPrompt = R"({"model":"planner","prompt":"free slots","stream":true})";

bool AnswerProbe(const RawServer::Connection& connection, const RawServer::Request& request) {
  if (request.path != "/load") return false;
  connection.Respond("200 OK", R"({"running":0,"capacity":8,"incarnation":7})");
  return true;
}

// Guards against a rejection that a service writes once more on the connection and that is taken
// for the answer to the next call, which runs.
TEST(FaultyEngineTest, RepeatedRejectionAnswersNoOtherCall) {
  std::atomic<int> runs = 0;
  RawServer service(
      [&](const RawServer::Connection& connection, const RawServer::Request& request) {
        if (AnswerProbe(connection, request)) return;
        if (request.body.find("reject") != std::string::npos) {
          for (int copy = 0; copy < 2; ++copy) {
            connection.Respond("503 Service Unavailable", "{}");
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
          }
          return;
        }
        ++runs;
        connection.Respond("201 Created", R"({"booked":true})");
      });
  TestFleet fleet;
  EntryNode& entry = fleet.AddEntry();
  fleet.AddService("bookings-1", "http://" + service.address());
  fleet.Configure();
  constexpr int kRounds = 4;
  for (int i = 0; i < kRounds; ++i) {
    const std::string key = "Idempotency-Key: key-" + std::to_string(i);
    RawCall rejected(entry.port(), MakePost("/bookings", R"({"reject":1})", kKey, key + "-a\r\n"));
    EXPECT_EQ(rejected.Finish().find("booked"), std::string::npos);
    RawCall booked(entry.port(), MakePost("/bookings", R"({"slot":1})", kKey, key + "-b\r\n"));
    const std::string response = booked.Finish();
    EXPECT_NE(response.find("booked"), std::string::npos) << response;
  }
  EXPECT_EQ(runs, kRounds);
}

/// Lets a stream break off after its first tokens, and another engine answer its continuation.
std::string ContinueAt(const std::function<void(const RawServer::Connection&)>& answer) {
  ScriptedBackend first({.incarnation = 1, .hold_before = 2});
  RawServer second([&](const RawServer::Connection& connection, const RawServer::Request& request) {
    if (!AnswerProbe(connection, request)) answer(connection);
  });
  TestFleet fleet;
  EntryNode& entry = fleet.AddEntry();
  fleet.AddEngine("engine-1", first);
  fleet.Configure();
  RawCall call(entry.port(), MakePost("/v1/completions", kPrompt));
  EXPECT_TRUE(call.WaitFor("t1 "));
  fleet.AddEngineAt("engine-2", "http://" + second.address());
  fleet.Configure();
  first.Crash();
  return call.Finish();
}

class ErrorAfterStartTest : public testing::TestWithParam<const char*> {};

// Guards against an error of the next engine that reaches a caller in the middle of its stream, and
// against a stream that ends with it as if it were complete.
TEST_P(ErrorAfterStartTest, ReachesNoCaller) {
  const std::string response =
      ContinueAt([](const RawServer::Connection& connection) { connection.Send(GetParam()); });
  EXPECT_NE(response.find("t1 "), std::string::npos) << response;
  EXPECT_EQ(response.find("oops"), std::string::npos) << response;
  EXPECT_EQ(response.find("[DONE]"), std::string::npos) << response;
  EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << response;
}

INSTANTIATE_TEST_SUITE_P(
    Variants, ErrorAfterStartTest,
    testing::Values("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n"
                    "Content-Length: 12\r\n\r\ndata: oops\n\n",
                    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\n"
                    "oops\n\n",
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Content-Length: 12\r\n\r\ndata: oops\n\n"));

class CutHeadTest : public testing::TestWithParam<const char*> {};

// Guards against a response of a service whose head is cut and that reaches the caller as a success
// with an empty or short body, also on a connection that has served a call.
TEST_P(CutHeadTest, IsNoSuccess) {
  std::atomic<int> booked = 0;
  RawServer service(
      [&](const RawServer::Connection& connection, const RawServer::Request& request) {
        if (AnswerProbe(connection, request)) return;
        if (request.body.find("whole") != std::string::npos) {
          ++booked;
          connection.Respond("201 Created", R"({"booked":true})");
          return;
        }
        connection.Send(GetParam());
        connection.Close();
      });
  TestFleet fleet;
  EntryNode& entry = fleet.AddEntry();
  fleet.AddService("bookings-1", "http://" + service.address());
  fleet.Configure();
  for (const char* body : {R"({"whole":1})", R"({"cut":1})"}) {
    const std::string key = "Idempotency-Key: key-" + std::string(body, 2, 3) + "\r\n";
    const std::string response =
        RawCall(entry.port(), MakePost("/bookings", body, kKey, key)).Finish();
    const bool is_whole = std::string(body).find("whole") != std::string::npos;
    EXPECT_EQ(response.starts_with("HTTP/1.1 2"), is_whole) << response;
  }
  EXPECT_EQ(booked, 1);
}

// Guards against the same with the continuation of a stream, which ends as if it were complete.
TEST_P(CutHeadTest, EndsNoStream) {
  const std::string response = ContinueAt([](const RawServer::Connection& connection) {
    connection.Send(GetParam());
    connection.Close();
  });
  EXPECT_NE(response.find("t1 "), std::string::npos) << response;
  EXPECT_EQ(response.find("[DONE]"), std::string::npos) << response;
}

INSTANTIATE_TEST_SUITE_P(Variants, CutHeadTest,
                         testing::Values("HTTP/1.1 200 OK\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Type: text/ev",
                                         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
                                         "HTTP/1.1 100 Continue\r\n"));

/// Engines of two versions of a model, of which the first breaks off its stream of version 1.
class ModelVersionTest : public testing::Test {
 protected:
  void Add(const std::string& id, const ScriptedBackend& engine, const std::string& version) {
    fleet_.AddEngine(id, engine, "max_concurrency: 8 model_version: \"" + version + "\"");
  }

  ScriptedBackend first_{{.incarnation = 1, .hold_before = 2}};
  ScriptedBackend other_{{.incarnation = 2}};
  ScriptedBackend same_{{.incarnation = 3}};
  TestFleet fleet_;
};

// Guards against a stream that goes on at an engine with another version of the model, whose text
// does not fit.
TEST_F(ModelVersionTest, AStreamDoesNotGoOnAtAnotherVersion) {
  EntryNode& entry = fleet_.AddEntry();
  Add("engine-1", first_, "1");
  fleet_.Configure();
  RawCall call(entry.port(), MakePost("/v1/completions", kPrompt));
  ASSERT_TRUE(call.WaitFor("t1 "));
  Add("engine-2", other_, "2");
  fleet_.Configure();
  first_.Crash();
  EXPECT_EQ(call.Finish().find("[DONE]"), std::string::npos);
  EXPECT_TRUE(other_.received().empty());
}

// Guards against the same while an engine of the right version is there, and against a stream that
// finds none.
TEST_F(ModelVersionTest, AStreamGoesOnAtItsVersion) {
  EntryNode& entry = fleet_.AddEntry();
  Add("engine-1", first_, "1");
  fleet_.Configure();
  RawCall call(entry.port(), MakePost("/v1/completions", kPrompt));
  ASSERT_TRUE(call.WaitFor("t1 "));
  Add("engine-2", other_, "2");
  Add("engine-3", same_, "1");
  fleet_.Configure();
  first_.Crash();
  EXPECT_NE(call.Finish().find("[DONE]"), std::string::npos);
  EXPECT_EQ(same_.received().size(), 1U);
  EXPECT_TRUE(other_.received().empty());
}

}  // namespace
}  // namespace briarwood::entry
