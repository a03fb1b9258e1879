#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;

std::string Body(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

std::string Unnumbered(const std::string& text) { return "data: " + text + "\n\n"; }

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

  /// Sends events 1 and 2, is silent, and breaks off.
  static FakeBackend::Handler BreaksOffAfter(milliseconds silence) {
    return [silence](const auto& connection, const auto& request) {
      connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)));
      std::this_thread::sleep_for(silence);
      connection.Close();
    };
  }

  static void FinishStream(const RawServer::Connection& connection,
                           const RawServer::Request& request) {
    connection.Send(StreamHead(request) + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n");
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

// Guards against use of a request after a gap in its events has ended it; run under a memory
// checker.
TEST_F(AnswerInProgressTest, EndsOnceAfterAGapInTheEvents) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    std::this_thread::sleep_for(milliseconds(200));
    connection.Send(Chunk(Event(3) + Event(4)));
    Eventually([&connection] { return connection.PeerClosed(); });
  });
  List("m-1", backend.address());
  StartReadyEntry();
  EXPECT_EQ(Body(Call("POST /ask/x", "", "{}")), Event(1) + "<cut>");
}

// Guards against a sound server that is given up for its silence when the next one breaks off
// between its head and its first event.
TEST_F(AnswerInProgressTest, KeepsASilentServerWhenTheNextOneBreaksOffAfterItsHead) {
  FakeBackend silent(SilentFor(milliseconds(2300)));
  FakeBackend broken([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request));
    std::this_thread::sleep_for(milliseconds(100));
    connection.Close();
  });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  List("m-2", broken.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
}

// Guards against a request that is lost when its silent server rejects it, or responds with an
// error, while the replacement has not responded yet.
TEST_F(AnswerInProgressTest, GoesOnWithTheReplacementWhenTheSilentServerRejects) {
  FakeBackend silent([](const auto& connection, const auto& request) {
    std::this_thread::sleep_for(milliseconds(1900));
    connection.Send(Rejection(request));
  });
  FakeBackend next([](const auto& connection, const auto& request) {
    std::this_thread::sleep_for(milliseconds(600));
    connection.Send(StreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(Eventually([&] { return silent.requests().size() == 1; }));
  List("m-2", next.address());
  EXPECT_EQ(Body(call.Finish()), Event(1));
}

// Guards against replacements that never reach a server and yet use up the retry budget, so that
// the retry is refused when the silent server breaks off.
TEST_F(AnswerInProgressTest, KeepsTheRetryBudgetWhileReplacementsAreUnreachable) {
  std::vector<std::unique_ptr<FakeBackend>> down;
  FakeBackend breaks(BreaksOffAfter(milliseconds(2300)));
  List("m-1", breaks.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  for (int i = 2; i <= 6; ++i) {
    down.push_back(std::make_unique<FakeBackend>([](const auto&, const auto&) {}));
    List("m-" + std::to_string(i), down.back()->address());
    down.back()->Crash();
  }
  std::this_thread::sleep_for(milliseconds(2000));
  FakeBackend up(&FinishStream);
  List("m-7", up.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
  const std::string metrics =
      RawCall(node_->ready_port(), "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
          .Finish();
  EXPECT_THAT(metrics, ::testing::Not(::testing::HasSubstr("repeat_budget_spent")));
}

// Guards against rejected replacements that use up the attempts of a request whose silent server
// then breaks off.
TEST_F(AnswerInProgressTest, ResumesAfterRejectedReplacements) {
  FakeBackend breaks(BreaksOffAfter(milliseconds(2300)));
  List("m-1", breaks.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  std::vector<std::unique_ptr<FakeBackend>> full;
  for (int i = 2; i <= 5; ++i) {
    full.push_back(std::make_unique<FakeBackend>(
        [](const auto& connection, const auto& request) { connection.Send(Rejection(request)); }));
    List("m-" + std::to_string(i), full.back()->address());
  }
  std::this_thread::sleep_for(milliseconds(1700));
  FakeBackend up(&FinishStream);
  List("m-6", up.address());
  EXPECT_EQ(Body(call.Finish()), WholeStream());
}

// Guards against a stream that has begun and is aborted after three rejections within
// milliseconds, although a server has room well before the time limit.
TEST_F(AnswerInProgressTest, ResumesAStreamWhenAServerHasRoomAgain) {
  FakeBackend breaks([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)));
    std::this_thread::sleep_for(milliseconds(700));
    connection.Close();
  });
  List("m-1", breaks.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece2"));
  std::vector<std::unique_ptr<FakeBackend>> full;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 2; i <= 5; ++i) {
    full.push_back(
        std::make_unique<FakeBackend>([begin](const auto& connection, const auto& request) {
          if (std::chrono::steady_clock::now() - begin < milliseconds(1500)) {
            connection.Send(Rejection(request));
          } else {
            FinishStream(connection, request);
          }
        }));
    List("m-" + std::to_string(i), full.back()->address());
  }
  EXPECT_EQ(Body(call.Finish()), WholeStream());
}

// Guards against a silent server that is given up because the caller does not read: its connection
// is paused, so nothing can arrive on it.
TEST_F(AnswerInProgressTest, KeepsAServerWhoseCallerReadsSlowly) {
  constexpr int kEvents = 400;
  const std::string text(60000, 'x');
  const auto send = [&](const RawServer::Connection& connection,
                        const RawServer::Request& request) {
    const std::string last = HeaderOf(request.head, "Last-Event-Id");
    connection.Send(StreamHead(request));
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= kEvents; ++id) {
      connection.Send(Chunk("id: " + std::to_string(id) + "\ndata: " + text + "\n\n"));
    }
    connection.Send("0\r\n\r\n");
  };
  FakeBackend one(send);
  FakeBackend two(send);
  List("m-1", one.address());
  StartReadyEntry();
  const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
  const int size = 4096;
  ::setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(node_->port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(::connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  const std::string request = Request("POST /draft/x", "", "{}");
  ASSERT_GT(::send(caller, request.data(), request.size(), 0), 0);
  ASSERT_TRUE(Eventually([&] { return one.requests().size() == 1; }));
  List("m-2", two.address());
  std::this_thread::sleep_for(milliseconds(2500));
  EXPECT_EQ(two.requests().size(), 0U);
  ::close(caller);
}

// Guards against doubled events of a stream whose events have no ids, so that it cannot be resumed.
TEST_F(AnswerInProgressTest, DoesNotRepeatAStreamWithoutIds) {
  const auto send = [](milliseconds silence) {
    return [silence](const auto& connection, const auto& request) {
      connection.Send(StreamHead(request) + Chunk(Unnumbered("a")) + Chunk(Unnumbered("b")));
      std::this_thread::sleep_for(silence);
      connection.Send(Chunk(Unnumbered("c")) + "0\r\n\r\n");
    };
  };
  FakeBackend silent(send(milliseconds(1500)));
  FakeBackend next(send(milliseconds(0)));
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("data: b"));
  List("m-2", next.address());
  EXPECT_EQ(Body(call.Finish()), Unnumbered("a") + Unnumbered("b") + Unnumbered("c"));
}

}  // namespace
}  // namespace briarwood::forwarding
