#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using ::testing::AnyOf;
using ::testing::EndsWith;
using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

struct PromisingResponse {
  const char* name;
  std::string status;
  std::string target;
};

/// A backend server that runs a request and responds with a status that callers read as "not run".
class FalsePromiseTest : public ForwardingTest,
                         public testing::WithParamInterface<PromisingResponse> {
 protected:
  void StartWith(const FakeBackend& backend) {
    for (const char* id : {"a-1", "a-2", "m-1", "m-2"}) List(id, backend.address());
    StartReadyEntry();
  }
};

// Guards against a status by which the caller sends a request again that has run: a booking would
// be made twice.
TEST_P(FalsePromiseTest, IsNotPassedOn) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    connection.Send(Answer(request, "done", GetParam().status));
  });
  StartWith(backend);
  const std::string response = Call("POST " + GetParam().target, "", "{}");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_THAT(response, Not(HasSubstr("Briarwood-Signature")));
  EXPECT_THAT(response, HasSubstr("status " + GetParam().status.substr(0, 3)));
}

// Guards against withholding a rejection that is true: the caller may send the request again.
TEST_P(FalsePromiseTest, IsNotSeenInATrueRejection) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    std::string response = Answer(request, "full", GetParam().status);
    connection.Send(response.insert(response.find("\r\n") + 2, "Briarwood-Not-Executed: 1\r\n"));
  });
  StartWith(backend);
  // Of several rejections the caller gets one, or a 503 of the entry.
  EXPECT_THAT(
      Call("POST " + GetParam().target, "", "{}"),
      AnyOf(StartsWith("HTTP/1.1 503"), StartsWith("HTTP/1.1 " + GetParam().status.substr(0, 3))));
}

INSTANTIATE_TEST_SUITE_P(
    Statuses, FalsePromiseTest,
    testing::Values(PromisingResponse{"Full", "503 Service Unavailable", "/book/x"},
                    PromisingResponse{"TooMany", "429 Too Many Requests", "/book/x"},
                    PromisingResponse{"Timeout", "408 Request Timeout", "/book/x"},
                    PromisingResponse{"Retryable", "503 Service Unavailable", "/read/x"},
                    PromisingResponse{"RetryableTooMany", "429 Too Many Requests", "/read/x"},
                    PromisingResponse{"Stream", "503 Service Unavailable", "/ask/x"},
                    PromisingResponse{"ResumableStream", "429 Too Many Requests", "/draft/x"}),
    [](const auto& one) { return one.param.name; });

using CutRejectionTest = ForwardingTest;

// Guards against a rejection that breaks off and is delivered as if it were complete.
TEST_F(CutRejectionTest, IsReplacedByOneOfTheEntry) {
  FakeBackend backend([](const auto& connection, const auto& request) {
    std::string response = Answer(request, std::string(100, 'x'), "503 Service Unavailable");
    response.insert(response.find("\r\n") + 2, "Briarwood-Not-Executed: 1\r\n");
    connection.Send(response.substr(0, response.size() - 50));
    connection.Close();
  });
  List("a-1", backend.address());
  StartReadyEntry();
  const std::string response = Call("POST /book/x", "", "{}");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response, HasSubstr("Retry-After: "));
  EXPECT_THAT(response, EndsWith("\r\n\r\n"));
}

// Guards against a rejection that hides an earlier attempt which a server may have run.
TEST_F(CutRejectionTest, IsNoPromiseAfterAnAttemptThatMayHaveRun) {
  std::atomic<int> calls = 0;
  FakeBackend backend([&](const auto& connection, const auto& request) {
    if (++calls == 1) {
      connection.Close();
      return;
    }
    std::string response = Answer(request, "full", "503 Service Unavailable");
    connection.Send(response.insert(response.find("\r\n") + 2, "Briarwood-Not-Executed: 1\r\n"));
  });
  for (const char* id : {"a-1", "a-2"}) List(id, backend.address());
  StartReadyEntry();
  EXPECT_THAT(Call("POST /read/x", "", "{}"), StartsWith("HTTP/1.1 502"));
  EXPECT_GT(calls, 1);
}

}  // namespace
}  // namespace briarwood::forwarding
