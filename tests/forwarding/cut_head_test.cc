#include <gmock/gmock.h>

#include <array>
#include <atomic>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

constexpr std::array kLines = {"GET /read/x", "POST /book/x", "POST /draft/x", "POST /ask/x"};

/// Servers that end their connection inside the head of a response.
class CutHeadTest : public ForwardingTest {
 protected:
  /// \returns heads that are cut after the status line, after a line, in the name and in the value
  ///   of a field, after a length of 0, and before and inside the empty line.
  static std::vector<std::string> CutHeads(const std::string& id) {
    const std::string start = "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: " + id + "\r\n";
    const std::string whole = start + "Briarwood-Signature: s\r\n";
    return {"HTTP/1.1 200 OK\r\n",
            start,
            start + "Briarwood-Sig",
            start + "Briarwood-Signature: s",
            whole + "Content-Length: 0\r\n",
            whole + "Content-Type: text/event-stream\r\n",
            whole + "Content-Length: 0\r\n\r",
            "HTTP/1.1 100 Continue\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n" + whole};
  }
  static constexpr std::size_t kCuts = 9;

  std::string Send(const std::string& line) {
    const bool get = line.starts_with("GET");
    return Call(line, "", get ? "" : "{}");
  }

  /// Cut that the servers use next.
  std::atomic<std::size_t> cut_ = 0;
  /// True if servers respond to the first request of each connection.
  std::atomic<bool> first_is_whole_ = false;
  std::atomic<int> answers_ = 0;

  FakeBackend::Handler Handler() {
    return [this](const RawServer::Connection& connection, const RawServer::Request& request) {
      if (first_is_whole_.exchange(false)) {
        ++answers_;
        connection.Send(Answer(request, "ok"));
        return;
      }
      connection.Send(CutHeads(HeaderOf(request.head, "Briarwood-Attempt-Id")).at(cut_));
      connection.Close();
    };
  }
};

// Guards against a response whose head is cut and that reaches the caller as a success with an
// empty or short body.
TEST_F(CutHeadTest, IsNoSuccess) {
  FakeBackend app(Handler());
  FakeBackend llm(Handler());
  List("a-1", app.address());
  List("m-1", llm.address());
  StartReadyEntry();
  for (cut_ = 0; cut_ < kCuts; ++cut_) {
    for (const char* line : kLines) {
      EXPECT_THAT(Send(line), Not(StartsWith("HTTP/1.1 2"))) << line << " " << cut_;
    }
  }
}

// Guards against the same on a connection that has served a request.
TEST_F(CutHeadTest, IsNoSuccessOnAKeptConnection) {
  FakeBackend app(Handler());
  List("a-1", app.address());
  StartReadyEntry();
  for (cut_ = 0; cut_ < kCuts; ++cut_) {
    first_is_whole_ = true;
    EXPECT_THAT(Send("POST /book/x"), StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(Send("POST /book/y"), Not(StartsWith("HTTP/1.1 2"))) << cut_;
  }
  EXPECT_EQ(answers_, static_cast<int>(kCuts));
}

// Guards against a cut head of a replacement that ends the stream of a silent server.
TEST_F(CutHeadTest, OfAReplacementDoesNotEndTheSilentServersStream) {
  FakeBackend silent([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    connection.Send(Chunk(Event(2)) + "0\r\n\r\n");
  });
  List("m-1", silent.address());
  StartReadyEntry();
  RawCall call(node_->port(), Request("POST /draft/x", "", "{}"));
  ASSERT_TRUE(call.WaitFor("piece1"));
  cut_ = 5;
  FakeBackend next(Handler());
  List("m-2", next.address());
  const std::string response = call.Finish();
  EXPECT_FALSE(next.requests().empty());
  EXPECT_THAT(response, HasSubstr("piece2"));
  EXPECT_THAT(response, Not(HasSubstr("<cut>")));
}

}  // namespace
}  // namespace briarwood::forwarding
