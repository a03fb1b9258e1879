#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

std::string Body(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

// Guards against events that are buffered until the stream ends.
TEST_F(ForwardingTest, ForwardsEventsAsTheyArrive) {
  std::atomic<bool> may_finish = false;
  FakeBackend backend([&may_finish](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    Eventually([&may_finish] { return may_finish.load(); });
    connection.Send(Chunk(Event(2)) + "0\r\n\r\n");
  });
  List("m-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  EXPECT_TRUE(call.WaitFor("piece1"));
  may_finish = true;
  EXPECT_EQ(Body(call.Finish()), Event(1) + Event(2));
}

// Guards against an interrupted, non-resumable stream that looks complete to the caller, and
// against delivering an incomplete event.
TEST_F(ForwardingTest, AbortsAnInterruptedStreamThatCannotBeResumed) {
  FakeBackend first([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk("id: 2\ndata: pi"));
    connection.Close();
  });
  List("m-1", first.address());
  StartReadyEntry();
  const std::string response = Call("POST /ask/x", "", "{}");
  EXPECT_THAT(response, HasSubstr("piece1"));
  EXPECT_THAT(response, HasSubstr("<cut>"));
  EXPECT_THAT(response, Not(HasSubstr("id: 2")));
  EXPECT_EQ(first.requests().size(), 1U);
}

// Guards against missing or duplicate events when a stream is resumed on another backend server.
TEST_F(ForwardingTest, ResumesAStreamAfterTheLastCompleteEvent) {
  const auto serve = [](const RawServer::Connection& connection,
                        const RawServer::Request& request) {
    const std::string last = HeaderOf(request.head, "Last-Event-Id");
    if (last.empty()) {
      connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)) +
                      Chunk("id: 3\ndata: p"));
      connection.Close();
      return;
    }
    std::string rest;
    for (int id = std::stoi(last) + 1; id <= 4; ++id) rest += Chunk(Event(id));
    connection.Send(StreamHead(request) + rest + "0\r\n\r\n");
  };
  FakeBackend first(serve);
  FakeBackend second(serve);
  List("m-1", first.address());
  List("m-2", second.address());
  StartReadyEntry();
  const std::string response = Call("POST /draft/x", "", "{}");
  EXPECT_EQ(Body(response), Event(1) + Event(2) + Event(3) + Event(4));
  EXPECT_EQ(first.requests().size(), 1U);
  EXPECT_EQ(second.requests().size(), 1U);
}

// Guards against a resumed stream that restarts from the beginning or has a gap.
TEST_F(ForwardingTest, SkipsDuplicateEventsAndAbortsAtGaps) {
  const auto serve = [](const RawServer::Connection& connection,
                        const RawServer::Request& request) {
    const std::string last = HeaderOf(request.head, "Last-Event-Id");
    if (last.empty()) {
      connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)));
      connection.Close();
      return;
    }
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)) + Chunk(Event(4)) +
                    "0\r\n\r\n");
  };
  FakeBackend first(serve);
  FakeBackend second(serve);
  List("m-1", first.address());
  List("m-2", second.address());
  StartReadyEntry();
  const std::string response = Call("POST /draft/x", "", "{}");
  EXPECT_EQ(Body(response), Event(1) + Event(2) + "<cut>");
}

// Guards against a backend server that keeps working for a disconnected caller.
TEST_F(ForwardingTest, FreesTheBackendWhenTheCallerDisconnects) {
  std::atomic<bool> closed = false;
  FakeBackend backend([&closed](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    closed = Eventually([&connection] {
      connection.Send(Chunk("x"));
      return connection.PeerClosed();
    });
  });
  List("m-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece1"));
  const auto disconnected_at = std::chrono::steady_clock::now();
  call.Disconnect();
  EXPECT_TRUE(Eventually([&closed] { return closed.load(); }));
  EXPECT_LT(std::chrono::steady_clock::now() - disconnected_at, std::chrono::milliseconds(500));
}

// Guards against a queued request that reaches a backend server after its caller has disconnected.
TEST_F(ForwardingTest, DropsAQueuedRequestWhoseCallerDisconnects) {
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  call.Disconnect();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + "0\r\n\r\n");
  });
  List("m-1", backend.address());
  ASSERT_TRUE(
      Eventually([&] { return Call("POST /ask/y", "", "{}").starts_with("HTTP/1.1 200"); }));
  for (const RawServer::Request& request : backend.requests()) EXPECT_EQ(request.path, "/ask/y");
}

// Guards against a caller that waits until its deadline for a backend server that has stalled,
// although the stream can be resumed on another one.
TEST_F(ForwardingTest, ResumesAStreamWhoseBackendHasStalled) {
  const auto serve = [](const RawServer::Connection& connection,
                        const RawServer::Request& request) {
    const std::string last = HeaderOf(request.head, "Last-Event-Id");
    if (last.empty()) {
      connection.Send(StreamHead(request) + Chunk(Event(1)));
      return;
    }
    connection.Send(StreamHead(request) + Chunk(Event(2)) + "0\r\n\r\n");
  };
  FakeBackend first(serve);
  FakeBackend second(serve);
  List("m-1", first.address());
  List("m-2", second.address());
  StartReadyEntry();
  const auto started = std::chrono::steady_clock::now();
  EXPECT_EQ(Body(Call("POST /draft/x", "", "{}")), Event(1) + Event(2));
  EXPECT_LT(std::chrono::steady_clock::now() - started, std::chrono::milliseconds(2500));
}

// Guards against a second run of a non-retryable stream whose backend server is slow.
TEST_F(ForwardingTest, WaitsForASlowBackendWhenTheStreamIsNotRetryable) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2200));
    connection.Send(StreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  List("m-1", backend.address());
  StartReadyEntry();
  EXPECT_EQ(Body(Call("POST /ask/x", "", "{}")), Event(1));
  EXPECT_EQ(backend.requests().size(), 1U);
}

}  // namespace
}  // namespace briarwood::forwarding
