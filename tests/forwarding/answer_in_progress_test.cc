#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;

std::string Body(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

std::string Rejection(const RawServer::Request& request) {
  return "HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\nBriarwood-Attempt-Id: " +
         HeaderOf(request.head, "Briarwood-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
}

/// Streams whose backend server falls silent or breaks off while events are still due. On the route
/// "draft" a gap of a second counts as silence, and a request waits for a backend server for up to
/// 1.75 s from its arrival.
class AnswerInProgressTest : public ForwardingTest {
 protected:
  /// Sends events 1 and 2, falls silent, and goes on with events 3 and 4.
  static FakeBackend::Handler SilentFor(milliseconds silence, milliseconds before = {}) {
    return [silence, before](const auto& connection, const auto& request) {
      connection.Send(StreamHead(request) + Chunk(Event(1)));
      std::this_thread::sleep_for(before);
      connection.Send(Chunk(Event(2)));
      std::this_thread::sleep_for(silence);
      connection.Send(Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n");
    };
  }

  static std::string WholeStream() { return Event(1) + Event(2) + Event(3) + Event(4); }
};

// Guards against a sound server that is given up for its silence when no other one exists: the
// answer was aborted, although its server went on a second later.
TEST_F(AnswerInProgressTest, KeepsASilentServerWhenThereIsNoOther) {
  FakeBackend backend(SilentFor(milliseconds(2300)));
  List("m-1", backend.address());
  StartReadyEntry();
  EXPECT_EQ(Body(Call("POST /draft/x", "", "{}")), WholeStream());
  EXPECT_EQ(backend.requests().size(), 1U);
}

// Guards against a sound server that is given up for its silence when all others reject the
// request: the answer was aborted after the rejections.
TEST_F(AnswerInProgressTest, KeepsASilentServerWhenTheOthersReject) {
  FakeBackend silent(SilentFor(milliseconds(2300)));
  FakeBackend full(
      [](const auto& connection, const auto& request) { connection.Send(Rejection(request)); });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  List("m-2", full.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
  EXPECT_GE(full.requests().size(), 1U);
}

// Guards against a sound server that is given up for its silence when the next one breaks off
// before its first event.
TEST_F(AnswerInProgressTest, KeepsASilentServerWhenTheNextOneBreaksOff) {
  FakeBackend silent(SilentFor(milliseconds(2300)));
  FakeBackend broken([](const auto& connection, const auto& /*request*/) { connection.Close(); });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  List("m-2", broken.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
}

// Guards against missing or doubled events when a silent server goes on while the next one has not
// responded yet.
TEST_F(AnswerInProgressTest, TakesTheServerThatGoesOnFirst) {
  FakeBackend silent(SilentFor(milliseconds(2300)));
  std::atomic<bool> given_up = false;
  FakeBackend slow([&given_up](const auto& connection, const auto& /*request*/) {
    given_up = Eventually([&connection] { return connection.PeerClosed(); });
  });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  List("m-2", slow.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
  EXPECT_EQ(slow.requests().size(), 1U);
  EXPECT_TRUE(Eventually([&given_up] { return given_up.load(); }));
}

// Guards against a silent server that keeps working after the next one has taken over its stream,
// and against doubled events when it goes on all the same.
TEST_F(AnswerInProgressTest, EndsTheSilentServersWorkOnceTheNextOneResponds) {
  std::atomic<bool> given_up = false;
  FakeBackend silent([&given_up](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)));
    given_up = Eventually([&connection] { return connection.PeerClosed(); });
    connection.Send(Chunk(Event(3)) + "0\r\n\r\n");
  });
  FakeBackend next([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(3)));
    std::this_thread::sleep_for(milliseconds(300));
    connection.Send(Chunk(Event(4)) + "0\r\n\r\n");
  });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  List("m-2", next.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
  EXPECT_TRUE(given_up);
  ASSERT_EQ(next.requests().size(), 1U);
  EXPECT_EQ(HeaderOf(next.requests().front().head, "Last-Event-Id"), "2");
}

// Guards against an answer that is given up for silence before its first event and then rejected,
// although its server was about to respond.
TEST_F(AnswerInProgressTest, WaitsForAFirstEventWhenTheOthersReject) {
  FakeBackend silent([](const auto& connection, const auto& request) {
    std::this_thread::sleep_for(milliseconds(2500));
    connection.Send(StreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return silent.requests().size() == 1; }));
  FakeBackend full(
      [](const auto& connection, const auto& request) { connection.Send(Rejection(request)); });
  List("m-2", full.address());
  EXPECT_EQ(Body(call.Finish()), Event(1));
}

// Guards against a stream that is dropped without another attempt because its server broke off
// later than a request may wait for its first attempt: a third of its time limit.
TEST_F(AnswerInProgressTest, ResumesAStreamThatBreaksOffLate) {
  FakeBackend breaks([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    for (int id = 2; id <= 3; ++id) {
      std::this_thread::sleep_for(milliseconds(900));
      connection.Send(Chunk(Event(id)));
    }
    std::this_thread::sleep_for(milliseconds(300));
    connection.Close();
  });
  FakeBackend next([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(4)) + "0\r\n\r\n");
  });
  List("m-1", breaks.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece1"));
  List("m-2", next.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
}

// Guards against a stream that is aborted after a few attempts within milliseconds at servers that
// refuse connections, although one is up again well before the time limit.
TEST_F(AnswerInProgressTest, ResumesAStreamWhenAServerIsUpAgain) {
  std::vector<std::unique_ptr<FakeBackend>> down;
  FakeBackend breaks([&](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)));
    Eventually([&] { return connection.PeerClosed(); });
  });
  List("m-1", breaks.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  for (int i = 2; i <= 6; ++i) {
    down.push_back(std::make_unique<FakeBackend>([](const auto&, const auto&) {}));
    List("m-" + std::to_string(i), down.back()->address());
    down.back()->Crash();
  }
  std::this_thread::sleep_for(milliseconds(300));
  breaks.Crash();
  std::this_thread::sleep_for(milliseconds(700));
  FakeBackend up([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n");
  });
  List("m-7", up.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
}

}  // namespace
}  // namespace briarwood::forwarding
