#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

std::string Body(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

// Guards against events that are held back until the stream ends.
TEST_F(ForwardingTest, ForwardsEventsAsTheyArrive) {
  std::atomic<bool> go = false;
  FakeBackend backend([&go](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    Eventually([&go] { return go.load(); });
    connection.Send(Chunk(Event(2)) + "0\r\n\r\n");
  });
  List("m-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  EXPECT_TRUE(call.WaitFor("piece1"));
  go = true;
  EXPECT_EQ(Body(call.Finish()), Event(1) + Event(2));
}

// Guards against a stream that may not be resumed and breaks off, but looks complete, and against
// half an event in front of the caller.
TEST_F(ForwardingTest, BreaksOffAStreamThatCannotGoOn) {
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

// Guards against pieces that are missing or come twice when a stream goes on elsewhere.
TEST_F(ForwardingTest, ResumesAStreamBehindTheLastWholeEvent) {
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

// Guards against a resumed stream that starts again from the beginning or leaves a gap.
TEST_F(ForwardingTest, DropsEventsThatTheCallerHasAndRefusesGaps) {
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

// Guards against work for a caller that has left.
TEST_F(ForwardingTest, FreesTheBackendWhenTheCallerLeaves) {
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
  const auto left_at = std::chrono::steady_clock::now();
  call.HangUp();
  EXPECT_TRUE(Eventually([&closed] { return closed.load(); }));
  EXPECT_LT(std::chrono::steady_clock::now() - left_at, std::chrono::milliseconds(500));
}

// Guards against a request that still reaches a backend server although its caller left the queue.
TEST_F(ForwardingTest, ForgetsAQueuedRequestWhoseCallerLeaves) {
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  call.HangUp();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + "0\r\n\r\n");
  });
  List("m-1", backend.address());
  ASSERT_TRUE(
      Eventually([&] { return Call("POST /ask/y", "", "{}").starts_with("HTTP/1.1 200"); }));
  for (const RawServer::Request& request : backend.requests()) EXPECT_EQ(request.path, "/ask/y");
}

// Guards against a caller that waits until its deadline for a backend server that fell silent,
// although the stream may go on elsewhere.
TEST_F(ForwardingTest, LeavesABackendThatFallsSilentInAStream) {
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

// Guards against a second run of a stream that may not be repeated when its backend server is slow.
TEST_F(ForwardingTest, WaitsForASilentBackendWhenTheStreamMayNotBeRepeated) {
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
