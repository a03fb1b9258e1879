#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::StartsWith;

std::string Body(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

/// Planned stops whose limit is shorter than the answers that callers ask for.
class PlannedStopTest : public ForwardingTest {
 protected:
  static constexpr int kEvents = 20;
  static constexpr milliseconds kEventInterval{100};

  /// Sends a stream of as many events as the request has output tokens, 100 ms apart.
  static void SendStream(const RawServer::Connection& connection,
                         const RawServer::Request& request) {
    const std::string usage = HeaderOf(request.head, "Briarwood-Token-Usage");
    const int events = std::stoi(usage.substr(usage.find(',') + 1));
    connection.Send(StreamHead(request));
    for (int id = 1; id <= events; ++id) {
      std::this_thread::sleep_for(kEventInterval);
      connection.Send(Chunk(Event(id)));
    }
    connection.Send("0\r\n\r\n");
  }

  static std::string LongStream() {
    std::string events;
    for (int id = 1; id <= kEvents; ++id) events += Event(id);
    return events;
  }

  std::string Ask(const std::string& path, int events = kEvents) {
    return Call("POST " + path, "Briarwood-Token-Usage: 100," + std::to_string(events) + "\r\n",
                "{}");
  }
};

// Guards against a stopping entry that takes a stream which cannot end before the process does, and
// then closes it in the middle. The caller could have gone to another entry at once.
TEST_F(PlannedStopTest, TakesNoStreamThatOutlastsTheStop) {
  FakeBackend backend(&SendStream);
  List("m-1", backend.address());
  StartReadyEntry();
  // A few responses say little about how long others last.
  std::vector<std::thread> callers;
  constexpr int kCallers = 4;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int call = 0; call < 9; ++call) {
        const std::string path = "/draft/" + std::to_string(i) + "-" + std::to_string(call);
        EXPECT_THAT(Body(Ask(path, 5)), HasSubstr(Event(5)));
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  std::thread stop([this] { static_cast<void>(node_->Drain(milliseconds(3000))); });
  ASSERT_TRUE(Eventually([this] { return !node_->Ready(); }));
  const std::string in_time = Ask("/draft/in-time");
  const std::size_t ran = backend.requests().size();
  const std::string late = Ask("/draft/late");
  stop.join();
  node_.reset();
  EXPECT_EQ(Body(in_time), LongStream());
  EXPECT_THAT(late, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(late, HasSubstr("Retry-After: 0.0"));
  EXPECT_EQ(backend.requests().size(), ran);
}

// Guards against a stopping entry that takes a stream without knowing how long it will last.
TEST_F(PlannedStopTest, TakesNoStreamOfUnknownLengthThatMayOutlastTheStop) {
  FakeBackend backend(&SendStream);
  List("m-1", backend.address());
  StartReadyEntry();
  std::thread stop([this] { static_cast<void>(node_->Drain(milliseconds(3000))); });
  ASSERT_TRUE(Eventually([this] { return !node_->Ready(); }));
  const std::string response = Ask("/ask/x");
  stop.join();
  EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
  EXPECT_TRUE(backend.requests().empty());
}

// Guards against calls that may not be repeated, come late in a stop and are cut at its end: an
// estimate of their response time says little about the next one.
TEST_F(PlannedStopTest, TakesCallsThatMayNotBeRepeatedOnlyWithTimeForThem) {
  FakeBackend backend(
      [](const auto& connection, const auto& request) { connection.Send(Answer(request, "ok")); });
  List("a-1", backend.address());
  StartReadyEntry();
  for (int i = 0; i < 40; ++i) {
    EXPECT_THAT(Call("POST /book/x", "", "{}"), StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(Call("GET /read/x"), StartsWith("HTTP/1.1 200"));
  }
  std::thread stop([this] { static_cast<void>(node_->Drain(milliseconds(3000))); });
  ASSERT_TRUE(Eventually([this] { return !node_->Ready(); }));
  const std::string in_time = Call("POST /book/x", "", "{}");
  std::this_thread::sleep_for(milliseconds(1700));
  const std::size_t ran = backend.requests().size();
  const std::string late = Call("POST /book/x", "", "{}");
  EXPECT_EQ(backend.requests().size(), ran);
  const std::string retryable = Call("GET /read/x");
  stop.join();
  EXPECT_THAT(in_time, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(late, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(late, HasSubstr("Connection: close"));
  EXPECT_THAT(retryable, StartsWith("HTTP/1.1 200"));
}

// Guards against short calls that a stopping entry rejects while it still has time for them.
TEST_F(PlannedStopTest, TakesCallsThatEndBeforeTheStop) {
  FakeBackend backend(
      [](const auto& connection, const auto& request) { connection.Send(Answer(request, "ok")); });
  List("a-1", backend.address());
  StartReadyEntry();
  std::thread stop([this] { EXPECT_TRUE(node_->Drain(milliseconds(7000))); });
  ASSERT_TRUE(Eventually([this] { return !node_->Ready(); }));
  for (int i = 0; i < 20; ++i) EXPECT_THAT(Call("GET /read/x"), StartsWith("HTTP/1.1 200"));
  stop.join();
}

// Guards against a request that is read, waits for a backend server, and is closed without an
// answer at the end of the stop, although nothing has run.
TEST_F(PlannedStopTest, RejectsWhatStillWaitsForABackend) {
  StartReadyEntry();
  const std::uint16_t port = node_->port();
  std::thread stop([this] {
    static_cast<void>(node_->Drain(milliseconds(2800)));
    node_.reset();
  });
  std::this_thread::sleep_for(milliseconds(1700));
  const std::string response = RawCall(port, Request("POST /draft/x", "", "{}")).Finish();
  stop.join();
  EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
}

// Guards against a caller whose connection closes without any answer because its backend server
// had not responded at the end of the stop. What may have run is not reported as "not run".
TEST_F(PlannedStopTest, AnswersWhatHasNotBegunAtTheEnd) {
  FakeBackend backend([](const auto& connection, const auto& /*request*/) {
    Eventually([&connection] { return connection.PeerClosed(); });
  });
  List("m-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return backend.requests().size() == 1; }));
  EXPECT_FALSE(node_->Drain(milliseconds(2800)));
  node_.reset();
  EXPECT_THAT(call.Finish(), StartsWith("HTTP/1.1 502"));
}

// Guards against an aborted stream that looks complete to its caller.
TEST_F(PlannedStopTest, CutsAStreamThatOutlastsTheStopVisibly) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    Eventually([&connection] { return connection.PeerClosed(); });
  });
  List("m-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece1"));
  EXPECT_FALSE(node_->Drain(milliseconds(2800)));
  node_.reset();
  EXPECT_EQ(Body(call.Finish()), Event(1) + "<cut>");
}

}  // namespace
}  // namespace briarwood::forwarding
