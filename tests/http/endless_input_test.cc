#include <gmock/gmock.h>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/http/blocking_call.h"
#include "briarwood/http/incoming.h"
#include "support/raw_call.h"
#include "support/raw_server.h"

namespace briarwood::http {
namespace {

using std::chrono::milliseconds;
using ::testing::AllOf;
using ::testing::AnyOf;
using ::testing::HasSubstr;
using ::testing::StartsWith;
using testing_support::RawCall;
using testing_support::RawServer;

/// Bytes that a peer can send before it notices that nobody reads them: the socket buffers of both
/// ends on loopback.
constexpr std::size_t kMaxTakenBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t kSentBytes = std::size_t{64} * 1024 * 1024;

/// Start of a message and the bytes that follow it without end.
struct EndlessInput {
  const char* name;
  std::string start;
  std::string piece;
};

std::string NameOf(const testing::TestParamInfo<EndlessInput>& input) { return input.param.name; }

std::vector<EndlessInput> FramingWithoutEnd() {
  const std::string field = "X-Junk: " + std::string(190, 'j') + "\r\n";
  return {{"ChunkExtension", "5;", std::string(8000, 'x')},
          {"ChunkSize", "", std::string(8000, '0')},
          {"TrailerField", "0\r\nX-Junk: ", std::string(8000, 'j')},
          {"TrailerFields", "0\r\n", field},
          {"ExtensionAfterAChunk", "5\r\nhello\r\n5;", std::string(8000, 'x')}};
}

constexpr std::size_t kSharedBodyBytes = 2'200'000;

class IncomingLimitTest : public testing::Test {
 protected:
  void SetUp() override {
    auto server = IncomingServer::Start(
        loop_, {.listen = "127.0.0.1:0", .max_buffered_body_bytes = kSharedBodyBytes},
        [this](const std::shared_ptr<IncomingRequest>& request) {
          request->Respond({.status = 200, .reason = {}, .headers = {}}, *request->body());
          const std::string* trailer = request->head().headers.Find("X-Trailer");
          trailer_ = trailer == nullptr ? "none" : *trailer;
        });
    ASSERT_TRUE(server.ok()) << server.error();
    server_ = std::move(server).value();
    thread_ = std::thread([this] { loop_.run(); });
  }

  void TearDown() override {
    loop_.stop();
    thread_.join();
    server_.reset();
  }

  /// Sends `start` and then `piece` until the server ends the connection.
  /// \returns the number of bytes that were sent, kSentBytes if the server took all.
  std::size_t SendWithoutEnd(const std::string& start, const std::string& piece) {
    const int peer = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server_->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(peer, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
    std::size_t sent = 0;
    std::string next = start;
    while (sent < kSentBytes) {
      const ssize_t size = ::send(peer, next.data(), next.size(), MSG_NOSIGNAL);
      if (size <= 0) break;
      sent += static_cast<std::size_t>(size);
      next = piece;
      std::array<char, 4096> answer{};
      const ssize_t got = ::recv(peer, answer.data(), answer.size(), MSG_DONTWAIT);
      if (got == 0) break;
      if (got > 0) answer_.append(answer.data(), static_cast<std::size_t>(got));
      if (!answer_.empty()) break;
    }
    ::close(peer);
    return sent;
  }

  EventLoop loop_{1};
  std::unique_ptr<IncomingServer> server_;
  std::thread thread_;
  std::string answer_;
  std::string trailer_;
};

class EndlessRequestTest : public IncomingLimitTest,
                           public testing::WithParamInterface<EndlessInput> {};

// Guards against a caller without a key that fills the memory of the process with the framing of a
// chunked body, which no limit on header or body covers.
TEST_P(EndlessRequestTest, IsRejected) {
  const std::size_t sent = SendWithoutEnd(
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + GetParam().start,
      GetParam().piece);
  EXPECT_LT(sent, kMaxTakenBytes);
  EXPECT_THAT(answer_, AnyOf(StartsWith("HTTP/1.1 431"), StartsWith("HTTP/1.1 400")));
}

INSTANTIATE_TEST_SUITE_P(Framing, EndlessRequestTest, testing::ValuesIn(FramingWithoutEnd()),
                         NameOf);

// Guards against limits on framing that reject ordinary chunk extensions and trailers, and against
// trailer fields that pass for header fields.
TEST_F(IncomingLimitTest, TakesExtensionsAndTrailersOfOrdinaryLength) {
  const std::string extension(1000, 'x');
  RawCall call(server_->port(),
               "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
               "Transfer-Encoding: chunked\r\n\r\n5;" +
                   extension + "\r\nhello\r\n0;" + extension +
                   "\r\nX-Trailer: " + std::string(1000, 't') + "\r\n\r\n");
  EXPECT_THAT(call.Finish(), HasSubstr("\r\n\r\nhello"));
  EXPECT_EQ(trailer_, "none");
}

// Guards against a limit on the read buffer that applies to the body.
TEST_F(IncomingLimitTest, TakesABodyLongerThanTheReadBuffer) {
  const std::string body(std::size_t{1024} * 1024, 'b');
  RawCall call(server_->port(),
               "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  EXPECT_THAT(call.Finish(), HasSubstr(body));
}

// Guards against callers that together fill the memory of the process with bodies which are below
// the limit of one request each, and against room that is not given back.
TEST_F(IncomingLimitTest, RejectsABodyThatDoesNotFitBesideTheOthers) {
  const std::string part(700'000, 'b');
  const std::string sized = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                            std::to_string(part.size() + 1) + "\r\n\r\n";
  for (int round = 0; round < 3; ++round) {
    RawCall first(server_->port(), sized + part);
    RawCall second(server_->port(), sized + part);
    std::this_thread::sleep_for(milliseconds(100));
    RawCall chunked(server_->port(),
                    "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: "
                    "chunked\r\n\r\naae60\r\n" +
                        part + "\r\n");
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_THAT(RawCall(server_->port(), sized).Finish(),
                AllOf(StartsWith("HTTP/1.1 503"), HasSubstr("Retry-After: 1\r\n")));
    chunked.Send("0\r\n\r\n");
    EXPECT_THAT(chunked.Finish(), StartsWith("HTTP/1.1 200"));
    first.Send("b");
    EXPECT_THAT(first.Finish(), StartsWith("HTTP/1.1 200"));
    second.Disconnect();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (server_->buffered_body_bytes() > 0 && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    ASSERT_EQ(server_->buffered_body_bytes(), 0U);
  }
}

class EndlessResponseTest : public testing::TestWithParam<EndlessInput> {
 protected:
  /// Calls a server that begins its response with `head` and the parameter's bytes.
  /// \returns the error of the call.
  std::string CallEndlessServer(const std::string& head, const std::string& start,
                                const std::string& piece) {
    RawServer server([&](const auto& connection, const auto& /*request*/) {
      connection.Send(head + start);
      while (!connection.PeerClosed() && sent_ < kSentBytes) {
        connection.Send(piece);
        sent_ += piece.size();
      }
    });
    RequestHead request;
    request.method = "GET";
    request.target = "/x";
    request.headers.Add("Host", "h");
    const auto response = CallAndWait(server.address(), request, {}, milliseconds(5000));
    return response.ok() ? "complete" : response.error();
  }

  std::atomic<std::size_t> sent_ = 0;
};

// Guards against a server that fills the memory of its caller with the framing of a chunked body.
TEST_P(EndlessResponseTest, IsRefused) {
  EXPECT_THAT(CallEndlessServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                GetParam().start, GetParam().piece),
              HasSubstr("exceeds a limit"));
  EXPECT_LT(sent_, kMaxTakenBytes);
}

INSTANTIATE_TEST_SUITE_P(Framing, EndlessResponseTest, testing::ValuesIn(FramingWithoutEnd()),
                         NameOf);

using EndlessBodyTest = EndlessResponseTest;

// Guards against a body without end of a server that is called with CallAndWait, such as the
// platform, and against a header without end.
TEST_P(EndlessBodyTest, IsRefused) {
  EXPECT_THAT(CallEndlessServer("HTTP/1.1 200 OK\r\n", GetParam().start, GetParam().piece),
              HasSubstr("exceeds a limit"));
  EXPECT_LT(sent_, std::size_t{40} * 1024 * 1024);
}

INSTANTIATE_TEST_SUITE_P(
    Body, EndlessBodyTest,
    testing::Values(EndlessInput{"BodyUntilTheEnd", "\r\n", std::string(8000, 'b')},
                    EndlessInput{"ChunkedBody", "Transfer-Encoding: chunked\r\n\r\n",
                                 "1f40\r\n" + std::string(8000, 'b') + "\r\n"},
                    EndlessInput{"Header", "", "X-Junk: " + std::string(190, 'j') + "\r\n"}),
    NameOf);

}  // namespace
}  // namespace briarwood::http
