#include <gmock/gmock.h>

#include <map>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

std::string Body(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

std::string IdOf(const RawServer::Request& request) {
  return HeaderOf(request.head, "Briarwood-Attempt-Id");
}

/// Backend servers whose responses contain bytes that belong to no response, never end or stall.
class FaultyBackendTest : public ForwardingTest {
 protected:
  /// Sends `piece` until the entry closes the connection; counts the bytes.
  static void SendWithoutEnd(const RawServer::Connection& connection, const std::string& piece,
                             std::atomic<std::size_t>& sent) {
    while (!connection.PeerClosed()) {
      connection.Send(piece);
      sent += piece.size();
    }
  }

  /// Calls a route whose backend server begins its response with `head` and then repeats `piece`
  /// without end.
  /// \returns the response to the caller, after the connection to the backend server is closed.
  std::string CallEndlessBackend(const std::string& target, const std::string& head,
                                 const std::string& piece) {
    std::atomic<bool> closed = false;
    FakeBackend backend([&](const auto& connection, const auto& request) {
      std::string begin = head;
      const std::size_t id = begin.find("{id}");
      if (id != std::string::npos) begin.replace(id, 4, IdOf(request));
      connection.Send(begin);
      SendWithoutEnd(connection, piece, sent_);
      closed = true;
    });
    List("a-1", backend.address());
    List("m-1", backend.address());
    StartReadyEntry();
    const auto started = std::chrono::steady_clock::now();
    std::string response = Call("POST " + target, "Briarwood-Deadline-Ms: 15000\r\n", "{}");
    took_ = std::chrono::steady_clock::now() - started;
    EXPECT_TRUE(Eventually([&closed] { return closed.load(); }));
    return response;
  }

  static std::string RequestOf(const std::string& id, const std::string& line) {
    std::string text = Request(line, "", "{}");
    text.replace(text.find("id-1"), 4, id);
    return text;
  }

  std::atomic<std::size_t> sent_ = 0;
  std::chrono::steady_clock::duration took_{};
};

// An entry may have 88 MB of memory, and socket buffers hold some of the bytes.
constexpr std::size_t kMaxTakenBytes = std::size_t{40} * 1024 * 1024;

// Guards against a response header without end that fills the memory of the entry.
TEST_F(FaultyBackendTest, ClosesAfterAHeaderWithoutEnd) {
  const std::string response =
      CallEndlessBackend("/book/x", "HTTP/1.1 200 OK\r\n", "X-Junk: " + std::string(200, 'j'));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_LT(sent_, kMaxTakenBytes);
}

// Guards against bytes that are no HTTP response at all.
TEST_F(FaultyBackendTest, ClosesAfterBytesThatAreNoResponse) {
  const std::string response =
      CallEndlessBackend("/book/x", "", std::string(500, '\x01') + "\r\n\r\n");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_LT(sent_, kMaxTakenBytes);
}

// Guards against interim responses without end, which use up the processor until the deadline.
TEST_F(FaultyBackendTest, ClosesAfterInterimResponsesWithoutEnd) {
  const std::string response = CallEndlessBackend("/book/x", "", "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_LT(took_, milliseconds(1000));
}

// Guards against a body without end that fills the memory, and against one that is delivered
// without its end as a success.
TEST_F(FaultyBackendTest, ClosesAfterABodyWithoutEnd) {
  const std::string response = CallEndlessBackend(
      "/book/x",
      "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: {id}\r\nBriarwood-Signature: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      Chunk(std::string(8000, 'b')));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_LT(sent_, kMaxTakenBytes);
}

// Guards against an event without end that fills the memory.
TEST_F(FaultyBackendTest, ClosesAfterAnEventWithoutEnd) {
  const std::string response = CallEndlessBackend(
      "/ask/x",
      "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: {id}\r\nBriarwood-Signature: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      Chunk(std::string(8000, 'e')));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_LT(sent_, kMaxTakenBytes);
}

// Guards against rejections whose bodies stay counted as buffered after they were delivered: in the
// end each response would be replaced by a failure, until a restart.
TEST_F(FaultyBackendTest, CountsTheBodiesOfRejectionsOnlyWhileTheyAreBuffered) {
  constexpr int kRejections = 4;
  std::atomic<int> calls = 0;
  FakeBackend backend([&](const auto& connection, const auto& request) {
    if (++calls > kRejections) {
      connection.Send(Answer(request, "served"));
      return;
    }
    std::string response =
        Answer(request, std::string(std::size_t{6} * 1024 * 1024, 'x'), "503 Service Unavailable");
    connection.Send(response.insert(response.find("\r\n") + 2, "Briarwood-Not-Executed: 1\r\n"));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  ASSERT_TRUE(Eventually([&] {
    const std::string response = Call("POST /book/x", "", "{}");
    EXPECT_THAT(response, Not(StartsWith("HTTP/1.1 502")));
    return response.ends_with("served") || testing::Test::HasFailure();
  }));
  EXPECT_GT(calls, kRejections);
}

// Guards against the framing of a chunked body without end, on which no limit of body or events
// applies; both kinds of response are refused as a failed attempt.
TEST_F(FaultyBackendTest, ClosesAfterFramingWithoutEnd) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: {id}\r\nBriarwood-Signature: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(8000, 'x');
  for (const std::string target : {"/ask/x", "/book/x"}) {
    for (const std::string start : {"5;", "0\r\nX-Junk: "}) {
      SCOPED_TRACE(testing::Message() << target << " " << start);
      sent_ = 0;
      EXPECT_THAT(CallEndlessBackend(target, head + start, filler), StartsWith("HTTP/1.1 502"));
      EXPECT_LT(sent_, kMaxTakenBytes);
      EXPECT_LT(took_, milliseconds(1000));
      node_.reset();
    }
  }
}

// Guards against a response to another request without end, which is skipped, and against bytes of
// it that reach the caller.
TEST_F(FaultyBackendTest, ClosesAfterAForeignResponseWithoutEnd) {
  const std::string response = CallEndlessBackend(
      "/book/x",
      "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: earlier\r\nBriarwood-Signature: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      Chunk(std::string(8000, 'f')));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_LT(took_, milliseconds(1000));
  EXPECT_THAT(response, Not(HasSubstr("ffff")));
}

// Guards against a long response that is cut at a limit and then delivered as complete.
TEST_F(FaultyBackendTest, DeliversALongResponseWholeOrNotAtAll) {
  for (const std::size_t megabytes : {4U, 12U}) {
    const std::string body(megabytes * 1024 * 1024, 'l');
    FakeBackend backend([&body](const auto& connection, const auto& request) {
      connection.Send(Answer(request, body));
    });
    List("a-1", backend.address());
    StartReadyEntry();
    const std::string response = Call("POST /book/x", "", "slot");
    if (response.starts_with("HTTP/1.1 200")) {
      EXPECT_EQ(Body(response).size(), body.size());
    } else {
      EXPECT_GT(megabytes, 8U);
      EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
    }
    node_.reset();
  }
}

// Guards against a stalled stream that never ends because its server sends a comment, or a byte of
// an event, now and then.
TEST_F(FaultyBackendTest, ResumesAStreamWhoseBackendSendsOnlyCommentsOrHalfAnEvent) {
  for (const char* trickle : {": alive\n\n", "d"}) {
    const auto serve = [trickle](const RawServer::Connection& connection,
                                 const RawServer::Request& request) {
      if (HeaderOf(request.head, "Last-Event-Id").empty()) {
        connection.Send(StreamHead(request) + Chunk(Event(1)));
        while (!connection.PeerClosed()) {
          connection.Send(Chunk(trickle));
          std::this_thread::sleep_for(milliseconds(100));
        }
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
    const std::string response = Call("POST /draft/x", "", "{}");
    EXPECT_THAT(response, HasSubstr("piece1"));
    EXPECT_THAT(response, HasSubstr("piece2"));
    EXPECT_THAT(response, Not(HasSubstr("<cut>")));
    EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds(2500)) << trickle;
    node_.reset();
  }
}

// Guards against a slow but sound stream that is cut: its events stay just within the time after
// which a stream counts as stalled, and arrive a byte at a time.
TEST_F(FaultyBackendTest, KeepsASlowStreamOfWholeEvents) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request));
    for (int id = 1; id <= 4; ++id) {
      const std::string event = Event(id);
      for (const char byte : event) {
        connection.Send(Chunk(std::string(1, byte)));
        std::this_thread::sleep_for(milliseconds(800) / static_cast<int>(event.size()));
      }
    }
    connection.Send("0\r\n\r\n");
  });
  List("m-1", backend.address());
  List("m-2", backend.address());
  StartReadyEntry();
  EXPECT_EQ(Body(Call("POST /draft/x", "", "{}")), Event(1) + Event(2) + Event(3) + Event(4));
  EXPECT_EQ(backend.requests().size(), 1U);
}

// Guards against a second copy of a response that arrives late, in pieces, while the connection is
// idle, and is then taken for the response to the next request.
TEST_F(FaultyBackendTest, DropsAConnectionOnWhichACopyArrivesWhileItIsIdle) {
  std::mutex mutex;
  std::map<const void*, int> served;
  FakeBackend backend([&](const auto& connection, const auto& request) {
    int count = 0;
    {
      const std::lock_guard lock(mutex);
      count = ++served[&connection];
    }
    const std::string answer = Answer(request, "answer to " + IdOf(request));
    connection.Send(answer);
    if (count > 1) return;
    std::this_thread::sleep_for(milliseconds(20));
    connection.Send(answer.substr(0, 30));
    std::this_thread::sleep_for(milliseconds(5));
    connection.Send(answer.substr(30));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  for (int i = 0; i < 12; ++i) {
    const std::string id = "call-" + std::to_string(i);
    const std::string response = RawCall(node_->port(), RequestOf(id, "POST /book/x")).Finish();
    EXPECT_THAT(response, HasSubstr("answer to " + id));
    std::this_thread::sleep_for(milliseconds(3 * i));
  }
}

// Guards against a late second copy of a rejection that is taken for the response to a further
// attempt of the same request on the same connection: the caller would be told that a request which
// runs has not run.
TEST_F(FaultyBackendTest, SendsAnotherAttemptOfARequestOverAnotherConnection) {
  std::mutex mutex;
  std::map<const void*, std::map<std::string, std::string>> rejections;
  std::atomic<int> runs = 0;
  std::atomic<int> attempts = 0;
  const auto serve = [&](const RawServer::Connection& connection,
                         const RawServer::Request& request) {
    const std::string rejection =
        "HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\nBriarwood-Attempt-Id: " + IdOf(request) +
        "\r\nContent-Length: 0\r\n\r\n";
    const std::lock_guard lock(mutex);
    auto& earlier = rejections[&connection];
    if (earlier.contains(IdOf(request))) connection.Send(earlier[IdOf(request)]);
    if (++attempts <= 2) {
      earlier[IdOf(request)] = rejection;
      connection.Send(rejection);
      return;
    }
    ++runs;
    connection.Send(Answer(request, "booked"));
  };
  FakeBackend first(serve);
  FakeBackend second(serve);
  List("a-1", first.address());
  List("a-2", second.address());
  StartReadyEntry();
  const std::string response = Call("POST /book/x", "", "slot");
  EXPECT_THAT(response, HasSubstr("booked"));
  EXPECT_EQ(runs, 1);
}

/// Rejection that a faulty server writes once more, before its answer to the next request on the
/// connection.
struct RepeatedRejection {
  const char* name;
  /// The copy names the request that it was written for.
  bool has_id;
  bool in_pieces;
  /// The caller names its requests.
  bool caller_has_id;
};

class RepeatedRejectionTest : public FaultyBackendTest,
                              public ::testing::WithParamInterface<RepeatedRejection> {};

// Guards against an earlier rejection that is taken for the answer to the next request on a kept
// connection: the caller would be told that a request which runs has not run.
TEST_P(RepeatedRejectionTest, IsNotTakenForTheAnswerToTheNextRequest) {
  const RepeatedRejection& variant = GetParam();
  std::mutex mutex;
  std::map<const void*, std::string> rejected;
  std::atomic<int> runs = 0;
  FakeBackend backend([&](const auto& connection, const auto& request) {
    const bool reject = request.head.find("X-Reject: 1") != std::string::npos;
    std::string copy = "HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\n";
    if (variant.has_id) copy += "Briarwood-Attempt-Id: " + IdOf(request) + "\r\n";
    copy += "Content-Length: 0\r\n\r\n";
    {
      const std::lock_guard lock(mutex);
      if (reject) {
        rejected[&connection] = copy;
      } else {
        copy = rejected.contains(&connection) ? rejected[&connection] : std::string();
      }
    }
    if (reject) {
      connection.Send("HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\nBriarwood-Attempt-Id: " +
                      IdOf(request) + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (variant.in_pieces) {
      for (std::size_t at = 0; at < copy.size(); at += 20) {
        connection.Send(copy.substr(at, 20));
        std::this_thread::sleep_for(milliseconds(2));
      }
    } else {
      connection.Send(copy);
    }
    ++runs;
    connection.Send(Answer(request, "booked"));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  constexpr int kRounds = 4;
  for (int i = 0; i < kRounds; ++i) {
    for (const bool reject : {true, false}) {
      std::string text = Request("POST /book/x", reject ? "X-Reject: 1\r\n" : "", "slot");
      const std::string id = "Briarwood-Attempt-Id: id-1\r\n";
      const std::string own_id = variant.caller_has_id
                                     ? "Briarwood-Attempt-Id: " + std::to_string(i) +
                                           (reject ? "-rejected" : "-booked") + "\r\n"
                                     : std::string();
      text.replace(text.find(id), id.size(), own_id);
      const std::string response = RawCall(node_->port(), text).Finish();
      EXPECT_THAT(response, StartsWith(reject ? "HTTP/1.1 503" : "HTTP/1.1 200"));
    }
  }
  EXPECT_EQ(runs, kRounds);
}

INSTANTIATE_TEST_SUITE_P(
    Variants, RepeatedRejectionTest,
    ::testing::Values(RepeatedRejection{"WithItsId", true, false, true},
                      RepeatedRejection{"WithItsIdInPieces", true, true, true},
                      RepeatedRejection{"WithoutId", false, false, true},
                      RepeatedRejection{"WithoutIdInPieces", false, true, true},
                      RepeatedRejection{"CallerWithoutId", false, false, false}),
    [](const auto& variant) { return std::string(variant.param.name); });

/// Answer of the server that is to go on with a stream which has broken off.
struct ErrorAfterStart {
  const char* name;
  std::function<void(const RawServer::Connection&, const RawServer::Request&)> answer;
};

class ErrorAfterStartTest : public FaultyBackendTest,
                            public ::testing::WithParamInterface<ErrorAfterStart> {};

std::string HeadOf(const std::string& status, const RawServer::Request& request,
                   const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\nBriarwood-Attempt-Id: " + IdOf(request) + "\r\n" + headers +
         "\r\n";
}

// Guards against an error that reaches a caller in the middle of its stream, and against a stream
// that ends with it as if it were complete.
TEST_P(ErrorAfterStartTest, ReachesNoCallerAndCompletesNoStream) {
  FakeBackend broken([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    std::this_thread::sleep_for(milliseconds(50));
    connection.Close();
  });
  FakeBackend other(GetParam().answer);
  List("m-1", broken.address());
  StartReadyEntry();
  std::thread lister([this, &other] {
    std::this_thread::sleep_for(milliseconds(20));
    List("m-2", other.address());
  });
  const std::string response = Call("POST /draft/x", "Briarwood-Deadline-Ms: 1500\r\n", "{}");
  lister.join();
  EXPECT_THAT(response, HasSubstr(Event(1)));
  EXPECT_THAT(response, Not(HasSubstr("oops")));
  EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos);
  EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << response;
}

// Guards against the same errors while the first server is silent and is kept: it goes on, and its
// stream ends as complete.
TEST_P(ErrorAfterStartTest, DoesNotEndAStreamWhoseServerIsKept) {
  FakeBackend silent([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    std::this_thread::sleep_for(milliseconds(1600));
    connection.Send(Chunk(Event(2)) + "0\r\n\r\n");
  });
  FakeBackend other(GetParam().answer);
  List("m-1", silent.address());
  StartReadyEntry();
  std::thread lister([this, &other] {
    std::this_thread::sleep_for(milliseconds(20));
    List("m-2", other.address());
  });
  const std::string response = Call("POST /draft/x", "Briarwood-Deadline-Ms: 4000\r\n", "{}");
  lister.join();
  EXPECT_EQ(Body(response), Event(1) + Event(2));
  EXPECT_THAT(response, Not(HasSubstr("<cut>")));
}

INSTANTIATE_TEST_SUITE_P(
    Variants, ErrorAfterStartTest,
    ::testing::Values(ErrorAfterStart{"SuccessWithoutSignature",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(
                                            HeadOf("200 OK", request, "Content-Length: 4\r\n") +
                                            "oops");
                                      }},
                      ErrorAfterStart{"StreamWithoutSignature",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(HeadOf("200 OK", request,
                                                               "Content-Type: text/event-stream\r\n"
                                                               "Transfer-Encoding: chunked\r\n") +
                                                        Chunk("data: oops\n\n") + "0\r\n\r\n");
                                      }},
                      ErrorAfterStart{"ErrorAsEventStream",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(HeadOf("500 Internal Server Error", request,
                                                               "Briarwood-Signature: s\r\n"
                                                               "Content-Type: text/event-stream\r\n"
                                                               "Transfer-Encoding: chunked\r\n") +
                                                        Chunk("id: 2\ndata: oops\n\n") +
                                                        "0\r\n\r\n");
                                      }},
                      ErrorAfterStart{"ErrorInChunks",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(HeadOf("400 Bad Request", request,
                                                               "Briarwood-Signature: s\r\n"
                                                               "Transfer-Encoding: chunked\r\n") +
                                                        Chunk("oo") + Chunk("ps") + "0\r\n\r\n");
                                      }},
                      ErrorAfterStart{"ErrorWithoutLength",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(HeadOf("404 Not Found", request,
                                                               "Briarwood-Signature: s\r\n") +
                                                        "oops");
                                        connection.Close();
                                      }},
                      ErrorAfterStart{"RejectionWithBody",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(HeadOf("503 Full", request,
                                                               "Briarwood-Not-Executed: 1\r\n"
                                                               "Content-Length: 4\r\n") +
                                                        "oops");
                                      }},
                      ErrorAfterStart{"ErrorEventWithoutId",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(HeadOf("200 OK", request,
                                                               "Briarwood-Signature: s\r\n"
                                                               "Content-Type: text/event-stream\r\n"
                                                               "Transfer-Encoding: chunked\r\n") +
                                                        Chunk("data: oops\n\n"));
                                        connection.Close();
                                      }},
                      ErrorAfterStart{"TextInsteadOfEvents",
                                      [](const auto& connection, const auto& request) {
                                        connection.Send(HeadOf("200 OK", request,
                                                               "Briarwood-Signature: s\r\n"
                                                               "Content-Type: text/plain\r\n"
                                                               "Content-Length: 6\r\n") +
                                                        "oops\n\n");
                                      }}),
    [](const auto& variant) { return std::string(variant.param.name); });

/// Backend servers whose answers have neither a length nor chunks and end with their connection.
class AnswerWithoutLengthTest : public FaultyBackendTest {
 protected:
  static std::string Head(const RawServer::Request& request, const std::string& type,
                          const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: " + IdOf(request) +
           "\r\nBriarwood-Signature: sig-1\r\nContent-Type: " + type + "\r\n" + headers + "\r\n";
  }

  static std::string OpenStream(const RawServer::Request& request) {
    return Head(request, "text/event-stream");
  }

  /// Sends the rest of the stream of four events and ends it in order.
  static void FinishStream(const RawServer::Connection& connection,
                           const RawServer::Request& request) {
    const std::string last = HeaderOf(request.head, "Last-Event-Id");
    std::string rest;
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= 4; ++id) rest += Event(id);
    connection.Send(OpenStream(request) + rest);
    connection.Close();
  }

  /// Request over a connection that the caller keeps.
  static std::string KeptRequest(const std::string& id, const std::string& line) {
    std::string text = RequestOf(id, line);
    const std::string close = "Connection: close\r\n";
    return text.erase(text.find(close), close.size());
  }
};

// Guards against a stream without a length that never ends for its caller, or that takes the kept
// connection of the caller with it.
TEST_F(AnswerWithoutLengthTest, EndsAStreamWithItsConnection) {
  FakeBackend backend(FinishStream);
  List("m-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), KeptRequest("id-1", "POST /ask/x"));
  ASSERT_TRUE(call.WaitFor("\r\n0\r\n\r\n"));
  call.Send(RequestOf("id-2", "POST /ask/x"));
  const std::string responses = call.Finish();
  EXPECT_THAT(Body(responses), StartsWith(Event(1) + Event(2) + Event(3) + Event(4)));
  EXPECT_EQ(backend.requests().size(), 2U);
  EXPECT_THAT(responses, Not(HasSubstr("<cut>")));
}

// Guards against a stream without a length that is reset and looks complete to its caller.
TEST_F(AnswerWithoutLengthTest, AbortsAStreamThatIsReset) {
  std::atomic<bool> received = false;
  FakeBackend backend([&](const auto& connection, const auto& request) {
    connection.Send(OpenStream(request) + Event(1) + Event(2));
    while (!received) std::this_thread::sleep_for(milliseconds(2));
    connection.Reset();
  });
  List("m-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /ask/x", "", "{}"));
  EXPECT_TRUE(call.WaitFor("piece2"));
  received = true;
  EXPECT_EQ(Body(call.Finish()), Event(1) + Event(2) + "<cut>");
}

// Guards against a stream without a length that ends inside an event and looks complete.
TEST_F(AnswerWithoutLengthTest, AbortsAStreamThatEndsInsideAnEvent) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(OpenStream(request) + Event(1) + "id: 2\ndata: pi");
    connection.Close();
  });
  List("m-1", backend.address());
  StartReadyEntry();
  EXPECT_EQ(Body(Call("POST /ask/x", "", "{}")), Event(1) + "<cut>");
}

// Guards against a resumable stream without a length that is not resumed after a reset or an end
// inside an event.
TEST_F(AnswerWithoutLengthTest, ResumesAStreamThatIsBrokenOff) {
  std::atomic<bool> reset = true;
  std::atomic<bool> received = false;
  const auto serve = [&](const RawServer::Connection& connection,
                         const RawServer::Request& request) {
    if (!HeaderOf(request.head, "Last-Event-Id").empty()) {
      FinishStream(connection, request);
      return;
    }
    connection.Send(OpenStream(request) + Event(1) + "id: 2\ndata: pi");
    while (!received) std::this_thread::sleep_for(milliseconds(2));
    reset ? connection.Reset() : connection.Close();
  };
  FakeBackend first(serve);
  FakeBackend second(serve);
  List("m-1", first.address());
  List("m-2", second.address());
  StartReadyEntry();
  for (const bool value : {true, false}) {
    reset = value;
    received = false;
    RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
    EXPECT_TRUE(call.WaitFor("piece1"));
    received = true;
    EXPECT_EQ(Body(call.Finish()), Event(1) + Event(2) + Event(3) + Event(4));
  }
}

// Guards against a whole answer without a length that is delivered although it was reset, and
// against one that ended in order and is not delivered.
TEST_F(AnswerWithoutLengthTest, DeliversAWholeAnswerOnlyAfterAnOrderlyEnd) {
  std::atomic<bool> reset = false;
  FakeBackend backend([&](const auto& connection, const auto& request) {
    connection.Send(Head(request, "text/plain") + "all of it");
    if (!reset) {
      connection.Close();
      return;
    }
    std::this_thread::sleep_for(milliseconds(50));
    connection.Reset();
  });
  List("a-1", backend.address());
  StartReadyEntry();
  const std::string response = Call("POST /book/x", "", "{}");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(response, HasSubstr("Content-Length: 9\r\n"));
  EXPECT_EQ(Body(response), "all of it");
  reset = true;
  EXPECT_THAT(Call("POST /book/x", "", "{}"), StartsWith("HTTP/1.1 502"));
}

// Guards against a further request over a connection whose answer has no end other than that of
// the connection, also if the server states that it keeps the connection.
TEST_F(AnswerWithoutLengthTest, ReusesNoConnectionThatEndsTheAnswer) {
  std::atomic<int> answers = 0;
  FakeBackend backend([&](const auto& connection, const auto& request) {
    connection.Send(Head(request, "text/plain", "Connection: keep-alive\r\n") + "answer " +
                    std::to_string(++answers));
    connection.Close();
  });
  List("a-1", backend.address());
  StartReadyEntry();
  EXPECT_EQ(Body(Call("POST /book/x", "", "{}")), "answer 1");
  EXPECT_EQ(Body(Call("POST /book/x", "", "{}")), "answer 2");
}

}  // namespace
}  // namespace briarwood::forwarding
