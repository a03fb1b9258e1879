#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

// Guards against an entry that alters a forwarded request, lets a caller set fields that only the
// entry may set, or forwards the caller's key to a backend server.
TEST_F(ForwardingTest, ForwardsTheRequestUnchangedWithoutTheKey) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, "done"));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  const std::string response =
      Call("POST /read/x%20y?q=1&r=%2F",
           "X-Own: v\r\nBriarwood-Tenant: forged\r\nBriarwood-Hold: h\r\nKv-From: k\r\n"
           "Briarwood-Deadline-Ms: 900\r\n",
           "a body");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 200 OK"));
  EXPECT_THAT(response, HasSubstr("Briarwood-Signature: sig-1"));
  EXPECT_THAT(response, HasSubstr("\r\n\r\ndone"));
  ASSERT_EQ(backend.requests().size(), 1U);
  const RawServer::Request sent = backend.requests().front();
  EXPECT_THAT(sent.head, StartsWith("POST /read/x%20y?q=1&r=%2F HTTP/1.1\r\n"));
  EXPECT_EQ(sent.body, "a body");
  EXPECT_EQ(HeaderOf(sent.head, "X-Own"), "v");
  EXPECT_EQ(HeaderOf(sent.head, "Briarwood-Tenant"), "east");
  EXPECT_EQ(HeaderOf(sent.head, "Briarwood-Expect-Instance"), "a-1");
  EXPECT_EQ(HeaderOf(sent.head, "Briarwood-Attempt-Id"), "id-1");
  EXPECT_LE(std::stoi(HeaderOf(sent.head, "Briarwood-Deadline-Ms")), 900);
  EXPECT_THAT(sent.head, Not(HasSubstr(kKey)));
  EXPECT_THAT(sent.head, Not(HasSubstr("forged")));
  EXPECT_THAT(sent.head, Not(HasSubstr("Hold")));
  EXPECT_THAT(sent.head, Not(HasSubstr("Kv-From")));
}

// Guards against a chunked request body that is dropped or forwarded with incorrect framing.
TEST_F(ForwardingTest, ForwardsAChunkedBodyWhole) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, request.body));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  const std::string response = Call("POST /read/x", "Transfer-Encoding: chunked\r\n");
  // The terminating chunk is missing, so nothing may have been forwarded.
  EXPECT_TRUE(backend.requests().empty()) << response;
  const std::string whole =
      RawCall(node_->port(),
              "POST /read/x HTTP/1.1\r\nHost: h.example\r\n"
              "Briarwood-Attempt-Id: id-1\r\nAuthorization: Bearer " +
                  std::string(kKey) +
                  "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
          .Finish();
  EXPECT_THAT(whole, HasSubstr("\r\n\r\nhello world"));
}

// Guards against request smuggling by contradictory lengths.
TEST_F(ForwardingTest, RejectsContradictoryLengths) {
  FakeBackend backend(
      [](const auto& connection, const auto& request) { connection.Send(Answer(request, "x")); });
  List("a-1", backend.address());
  StartReadyEntry();
  for (const char* framing :
       {"Content-Length: -5\r\n", "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    const std::string response = Call("POST /read/x", framing);
    EXPECT_THAT(response, testing::AnyOf(StartsWith("HTTP/1.1 400"), StartsWith("HTTP/1.1 501")))
        << framing;
  }
  EXPECT_TRUE(backend.requests().empty());
}

// Guards against headers and bodies of unlimited size, and against error responses that are lost
// because the connection is reset.
TEST_F(ForwardingTest, RejectsHeadersAndBodiesAboveTheLimits) {
  StartReadyEntryWithOneBackend();
  EXPECT_THAT(Call("GET /read/x", "X-Long: " + std::string(5000, 'x') + "\r\n"),
              StartsWith("HTTP/1.1 431"));
  EXPECT_THAT(Call("POST /read/x", "", std::string(30'000, 'x')), StartsWith("HTTP/1.1 413"));
}

// Guards against wrong statuses for unknown routes and for unknown or missing keys.
TEST_F(ForwardingTest, RejectsUnknownRoutesAndKeys) {
  StartReadyEntryWithOneBackend();
  EXPECT_THAT(Call("GET /nowhere/x"), StartsWith("HTTP/1.1 404"));
  EXPECT_THAT(Call("GET /read/x", "", "", "unknown"), StartsWith("HTTP/1.1 401"));
  EXPECT_THAT(Call("GET /read/x", "", "", ""), StartsWith("HTTP/1.1 401"));
  EXPECT_THAT(Call("GET /open/x", "", "", ""), StartsWith("HTTP/1.1 200"));
}

// Guards against a withdrawn key that is still accepted.
TEST_F(ForwardingTest, RejectsAWithdrawnKey) {
  StartReadyEntryWithOneBackend();
  EXPECT_THAT(Call("GET /read/x"), StartsWith("HTTP/1.1 200"));
  Configure(2, "another-key");
  EXPECT_TRUE(Eventually([this] { return Call("GET /read/x").starts_with("HTTP/1.1 401"); }));
  EXPECT_THAT(Call("GET /read/x", "", "", "another-key"), StartsWith("HTTP/1.1 200"));
}

// Guards against rejecting requests while an entry starts: most callers retry only once.
TEST_F(ForwardingTest, HoldsRequestsUntilTheFirstConfiguration) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, "served"));
  });
  List("a-1", backend.address());
  StartEntry();
  RawCall call(node_->port(), Request("GET /read/x", "Briarwood-Deadline-Ms: 8000\r\n"));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_FALSE(node_->Ready());
  Configure();
  EXPECT_THAT(call.Finish(), HasSubstr("served"));
}

// Guards against 401 or 404 from an entry without a configuration, which callers treat as final.
TEST_F(ForwardingTest, RespondsUnavailableWithoutAConfiguration) {
  StartEntry();
  const std::string response = Call("GET /read/x", "Briarwood-Deadline-Ms: 200\r\n");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response, HasSubstr("Retry-After: 0."));
}

// Guards against a second run of a call that is not retryable: a backend server that fails after it
// has read the request may have run it.
TEST_F(ForwardingTest, AttemptsANonRetryableCallOnce) {
  FakeBackend first([](const auto& connection, const auto&) { connection.Close(); });
  FakeBackend second([](const auto& connection, const auto&) { connection.Close(); });
  List("a-1", first.address());
  List("a-2", second.address());
  StartReadyEntry();
  EXPECT_THAT(Call("POST /book/x", "", "slot 4"), StartsWith("HTTP/1.1 502"));
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// Guards against failing a call that is known not to have run although a retry is possible.
TEST_F(ForwardingTest, RetriesARejectedCallOnAnotherBackend) {
  const auto reject = [](const auto& connection, const auto& request) {
    connection.Send("HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\nBriarwood-Attempt-Id: " +
                    HeaderOf(request.head, "Briarwood-Attempt-Id") +
                    "\r\nContent-Length: 0\r\n\r\n");
  };
  FakeBackend full(reject);
  FakeBackend free([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, "booked"));
  });
  List("a-1", full.address());
  List("a-2", free.address());
  StartReadyEntry();
  for (int i = 0; i < 6; ++i) {
    EXPECT_THAT(Call("POST /book/x", "", "slot 4"), HasSubstr("booked"));
  }
}

// Guards against a response that reports "not run" although a backend server may have run the call.
TEST_F(ForwardingTest, ReportsNotRunOnlyWhenEveryBackendRejected) {
  const auto reject = [](const auto& connection, const auto& request) {
    connection.Send("HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\nBriarwood-Attempt-Id: " +
                    HeaderOf(request.head, "Briarwood-Attempt-Id") +
                    "\r\nContent-Length: 0\r\n\r\n");
  };
  FakeBackend full(reject);
  List("a-1", full.address());
  StartReadyEntry();
  const std::string response = Call("POST /book/x", "Briarwood-Deadline-Ms: 300\r\n", "slot 4");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response, HasSubstr("Retry-After: "));
}

// Guards against a call that is run by another backend server because its address has been reused.
TEST_F(ForwardingTest, RetriesWhenAnAddressBelongsToAnotherBackend) {
  FakeBackend other([](const auto& connection, const auto&) {
    connection.Send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  });
  FakeBackend right([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, "booked"));
  });
  List("a-1", other.address());
  List("a-2", right.address());
  StartReadyEntry();
  for (int i = 0; i < 4; ++i) {
    EXPECT_THAT(Call("POST /book/x", "", "slot 4"), HasSubstr("booked"));
  }
}

// Guards against a retryable call that fails although another backend server works.
TEST_F(ForwardingTest, RetriesARetryableCallAfterAFailure) {
  FakeBackend broken([](const auto& connection, const auto&) { connection.Close(); });
  FakeBackend good([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, "read"));
  });
  List("a-1", broken.address());
  List("a-2", good.address());
  StartReadyEntry();
  for (int i = 0; i < 6; ++i) EXPECT_THAT(Call("GET /read/x"), HasSubstr("read"));
}

// Guards against application errors that open the backend server's circuit breaker.
TEST_F(ForwardingTest, KeepsUsingABackendThatRespondsWithErrors) {
  std::atomic<int> calls = 0;
  FakeBackend backend([&calls](const auto& connection, const auto& request) {
    const bool fails = ++calls <= 10;
    connection.Send(
        Answer(request, fails ? "broken" : "read", fails ? "500 Internal Server Error" : "200 OK"));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  for (int i = 0; i < 10; ++i) {
    const std::string response = Call("POST /book/x", "", "slot");
    EXPECT_THAT(response, StartsWith("HTTP/1.1 500"));
    EXPECT_THAT(response, HasSubstr("Briarwood-Signature: sig-1"));
  }
  EXPECT_THAT(Call("POST /book/x", "", "slot"), HasSubstr("read"));
}

// Guards against a response to a previous request that is delivered to the next caller.
TEST_F(ForwardingTest, SkipsAResponseToAnotherRequest) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(
        "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: earlier\r\nBriarwood-Signature: s\r\n"
        "Content-Length: 5\r\n\r\nwrong" +
        Answer(request, "right"));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  const std::string response = Call("POST /book/x", "", "slot");
  EXPECT_THAT(response, HasSubstr("right"));
  EXPECT_THAT(response, Not(HasSubstr("wrong")));
}

// Guards against bytes after a complete response that are delivered to the next caller on the
// connection.
TEST_F(ForwardingTest, ClosesAConnectionWithBytesAfterTheResponse) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, "one") +
                    "HTTP/1.1 200 OK\r\nBriarwood-Signature: s\r\n"
                    "Content-Length: 5\r\n\r\nextra");
  });
  List("a-1", backend.address());
  StartReadyEntry();
  for (int i = 0; i < 5; ++i) {
    const std::string response = Call("GET /read/x");
    EXPECT_THAT(response, HasSubstr("one"));
    EXPECT_THAT(response, Not(HasSubstr("extra")));
  }
}

// Guards against a response without the backend server's signature that is treated as a success.
TEST_F(ForwardingTest, FailsASuccessWithoutASignature) {
  FakeBackend backend([](const auto& connection, const auto&) {
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  });
  List("a-1", backend.address());
  StartReadyEntry();
  EXPECT_THAT(Call("POST /book/x", "", "slot"), StartsWith("HTTP/1.1 502"));
}

// Guards against a truncated response that is delivered as a complete one.
TEST_F(ForwardingTest, FailsATruncatedResponse) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    std::string answer = Answer(request, "a longer body");
    answer.resize(answer.size() - 4);
    connection.Send(answer);
    connection.Close();
  });
  List("a-1", backend.address());
  StartReadyEntry();
  EXPECT_THAT(Call("POST /book/x", "", "slot"), StartsWith("HTTP/1.1 502"));
}

// Guards against rejecting or truncating a response without a length, which ends with its
// connection.
TEST_F(ForwardingTest, DeliversAResponseThatEndsWithItsConnection) {
  FakeBackend backend([](const auto& connection, const auto&) {
    connection.Send(
        "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: id-1\r\nBriarwood-Signature: s\r\n"
        "\r\nwhole body");
    connection.Close();
  });
  List("a-1", backend.address());
  StartReadyEntry();
  EXPECT_THAT(Call("POST /book/x", "", "slot"), HasSubstr("\r\n\r\nwhole body"));
}

// Guards against a deadline that is missed or extended when a backend server does not respond.
TEST_F(ForwardingTest, EndsARequestAtItsDeadline) {
  FakeBackend backend([](const auto&, const auto&) {});
  List("a-1", backend.address());
  StartReadyEntry();
  const auto started = std::chrono::steady_clock::now();
  EXPECT_THAT(Call("POST /book/x", "Briarwood-Deadline-Ms: 400\r\n", "slot"),
              StartsWith("HTTP/1.1 504"));
  const auto took = std::chrono::steady_clock::now() - started;
  EXPECT_GE(took, std::chrono::milliseconds(400));
  EXPECT_LT(took, std::chrono::milliseconds(900));
}

// Guards against new requests to a backend server that is leaving.
TEST_F(ForwardingTest, SendsNothingToALeavingBackend) {
  FakeBackend leaving(
      [](const auto& connection, const auto& request) { connection.Send(Answer(request, "old")); });
  FakeBackend staying(
      [](const auto& connection, const auto& request) { connection.Send(Answer(request, "new")); });
  List("a-1", leaving.address(), /*leaving=*/true);
  List("a-2", staying.address());
  StartReadyEntry();
  for (int i = 0; i < 8; ++i) EXPECT_THAT(Call("GET /read/x"), HasSubstr("new"));
  EXPECT_TRUE(leaving.requests().empty());
}

// Guards against a planned stop that aborts a request, or that accepts new ones until it ends.
TEST_F(ForwardingTest, FinishesRequestsInFlightBeforeItStops) {
  std::atomic<bool> may_finish = false;
  FakeBackend backend([&may_finish](const auto& connection, const auto& request) {
    Eventually([&may_finish] { return may_finish.load(); });
    connection.Send(Answer(request, "finished"));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /book/x", "", "slot"));
  ASSERT_TRUE(Eventually([&] { return backend.requests().size() == 1; }));
  std::thread stop([this] { EXPECT_TRUE(node_->Drain(std::chrono::seconds(7))); });
  EXPECT_TRUE(Eventually([this] { return !node_->Ready(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  may_finish = true;
  const std::string response = call.Finish();
  EXPECT_THAT(response, HasSubstr("finished"));
  EXPECT_THAT(response, HasSubstr("Connection: close"));
  stop.join();
}

// Guards against a planned stop that ends just after a request has been accepted: the number of
// requests in flight was up to 10 ms old, so the request was aborted without a response.
TEST_F(ForwardingTest, AbortsNoRequestAtTheEndOfAPlannedStop) {
  const auto received = [](const FakeBackend& server, const std::string& path) {
    const auto requests = server.requests();
    return std::any_of(requests.begin(), requests.end(),
                       [&](const auto& request) { return request.path == path; });
  };
  FakeBackend backend([](const auto& connection, const auto& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(3));
    connection.Send(Answer(request, "finished"));
  });
  List("a-1", backend.address());
  StartReadyEntry();
  const std::uint16_t port = node_->port();
  std::atomic<bool> stopped = false;
  std::atomic<int> aborted = 0;
  constexpr std::size_t kCallers = 4;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int call = 0; !stopped; ++call) {
        // Each call has its own path, so that it is not confused with the calls of other callers.
        const std::string path = "/book/" + std::to_string(i) + "-" + std::to_string(call);
        try {
          const std::string response = RawCall(port, Request("POST " + path, "", "slot")).Finish();
          if (response.empty() && received(backend, path)) ++aborted;
        } catch (const std::runtime_error&) {
          // The listener is closed, so the request was not accepted.
          std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
      }
    });
  }
  EXPECT_TRUE(node_->Drain(std::chrono::seconds(7)));
  const std::size_t accepted = backend.requests().size();
  node_.reset();
  stopped = true;
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(aborted, 0);
  EXPECT_EQ(backend.requests().size(), accepted);
}

// Guards against an extra response that a faulty server sends after a complete one: it arrived just
// after the next request had been sent on the connection, named no request, and was delivered.
TEST_F(ForwardingTest, DoesNotDeliverAResponseThatNamesNoRequestOnAReusedConnection) {
  std::atomic<int> calls = 0;
  FakeBackend server([&](const auto& connection, const auto& request) {
    if (++calls == 2) {
      connection.Send(
          "HTTP/1.1 200 OK\r\nBriarwood-Signature: other\r\nContent-Length: 5\r\n\r\nextra");
    }
    connection.Send(Answer(request, "own"));
  });
  List("a-1", server.address());
  StartReadyEntry();
  EXPECT_NE(Call("GET /read/1").find("own"), std::string::npos);
  const std::string second = Call("GET /read/2");
  EXPECT_EQ(second.find("extra"), std::string::npos) << second;
  EXPECT_NE(second.find("own"), std::string::npos) << second;
}

// Guards against an extra rejection after a complete response, which would report the next request
// as not run.
TEST_F(ForwardingTest, IgnoresARejectionThatNamesNoRequestOnAReusedConnection) {
  std::atomic<int> calls = 0;
  FakeBackend server([&](const auto& connection, const auto& request) {
    if (++calls == 2) {
      connection.Send(
          "HTTP/1.1 503 Service Unavailable\r\nBriarwood-Not-Executed: 1\r\n"
          "Content-Length: 0\r\n\r\n");
    }
    connection.Send(Answer(request, "own"));
  });
  List("a-1", server.address());
  StartReadyEntry();
  EXPECT_NE(Call("POST /book/1", "", "b").find("own"), std::string::npos);
  EXPECT_NE(Call("POST /book/2", "", "b").find("own"), std::string::npos);
  EXPECT_EQ(calls, 2);
}

// Load pattern: most servers of a service stop responding while prompts keep arriving.
// Guards against unresponsive servers that use up the limit of waiting prompts, so that nothing is
// sent to the working server until the requests at the others reach their deadlines.
TEST_F(ForwardingTest, UnresponsiveServersDoNotUseUpThePromptLimit) {
  std::vector<std::unique_ptr<FakeBackend>> silent;
  for (int i = 0; i < 4; ++i) {
    silent.push_back(std::make_unique<FakeBackend>([](const auto&, const auto&) {}));
    List("llm-silent-" + std::to_string(i), silent.back()->address());
  }
  FakeBackend working([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  List("llm-works", working.address());
  StartReadyEntry();
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  constexpr int kCallers = 60;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      const std::string response =
          Call("POST /ask/x", "Briarwood-Token-Usage: 8000,50\r\n", "prompt");
      if (response.find("piece1") != std::string::npos) ++answered;
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));
  // 15 prompts of 9 work units use up the initial limit of 120. If no further prompts are sent,
  // only a fifth of them is answered.
  EXPECT_GE(answered, 10);
  node_.reset();
  for (std::thread& caller : callers) caller.join();
}

}  // namespace
}  // namespace briarwood::forwarding
