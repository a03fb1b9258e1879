#include "briarwood/http/outgoing.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "briarwood/http/client.h"

namespace briarwood::http {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kUploadBytes = std::size_t{32} * 1024 * 1024;
/// The client has filled the buffers of both ends and waits to write more.
constexpr milliseconds kUploadStalled{50};
constexpr milliseconds kCallTimeout{5000};

/// Socket of a server on which a test writes what a faulty server would.
class Peer {
 public:
  explicit Peer(int socket) : socket_(socket) {}

  void ReadHead() const {
    std::string head;
    char byte = 0;
    while (head.find("\r\n\r\n") == std::string::npos && ::recv(socket_, &byte, 1, 0) == 1) {
      head += byte;
    }
  }

  /// Reads until `bytes` have arrived, the end of the connection, or 2 s without input.
  void Read(std::size_t bytes) const {
    std::string buffer(std::size_t{1} << 16U, '\0');
    while (bytes > 0) {
      pollfd wait{.fd = socket_, .events = POLLIN, .revents = 0};
      if (::poll(&wait, 1, 2000) != 1) return;
      const ssize_t got = ::recv(socket_, buffer.data(), buffer.size(), 0);
      if (got <= 0) return;
      bytes -= std::min(bytes, static_cast<std::size_t>(got));
    }
  }

  void Send(const std::string& text) const {
    static_cast<void>(::send(socket_, text.data(), text.size(), MSG_NOSIGNAL));
  }

  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  void ShutdownWrites() const { ::shutdown(socket_, SHUT_WR); }

  void Close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }

 private:
  int socket_;
};

struct Result {
  std::optional<CallEnd> end;
  std::uint16_t status = 0;
  std::string body;
  bool reusable = false;
};

class OutgoingTest : public testing::Test {
 protected:
  void SetUp() override {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    ASSERT_EQ(::listen(listener_, 4), 0);
    socklen_t size = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }

  void TearDown() override { ::close(listener_); }

  [[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Serves one connection on a thread while `call` runs.
  void Serve(const std::function<void(Peer&)>& serve, const std::function<void()>& call) const {
    std::thread server([&] {
      Peer peer(::accept(listener_, nullptr, nullptr));
      peer.ReadHead();
      serve(peer);
      peer.Close();
    });
    call();
    server.join();
  }

  /// Sends a request and waits for the end of the call.
  /// \param pause  time for which the body of the response is not read
  Result Call(const std::function<void(Peer&)>& serve, std::size_t body_bytes,
              milliseconds pause = milliseconds(0)) {
    Result result;
    Serve(serve, [&] {
      EventLoop loop;
      const auto connection = OutgoingConnection::Create(loop, *ParseEndpoint(Address()));
      Timer resume(loop);
      const std::string head =
          "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_bytes) +
          "\r\n\r\n";
      connection->Send(head, std::make_shared<const std::string>(body_bytes, 'u'),
                       milliseconds(1000),
                       {.on_head =
                            [&](const ResponseHead& response) {
                              result.status = response.status;
                              if (pause == milliseconds(0)) return true;
                              connection->PauseReading(true);
                              resume.expires_after(pause);
                              resume.async_wait([&](const boost::system::error_code& error) {
                                if (!error) connection->PauseReading(false);
                              });
                              return true;
                            },
                        .on_data = [&](std::string_view data) { result.body.append(data); },
                        .on_end =
                            [&](CallEnd end) {
                              result.end = end;
                              resume.cancel();
                            }});
      loop.run_for(kCallTimeout);
      result.reusable = connection->reusable();
      connection->Close();
    });
    return result;
  }

  int listener_ = -1;
  std::uint16_t port_ = 0;
};

void AnswerInPartAndReset(Peer& peer) {
  peer.Send("HTTP/1.1 200 OK\r\nX-Server: early\r\n\r\npart of the bo");
  std::this_thread::sleep_for(kUploadStalled);
  peer.Reset();
}

// Guards against a response without length that counts as complete although the server reset the
// connection: the write of the request took the error, and the read saw an orderly end.
TEST_F(OutgoingTest, ResetDuringTheUploadCutsAResponseWithoutLength) {
  for (int run = 0; run < 10; ++run) {
    const Result result = Call(AnswerInPartAndReset, kUploadBytes);
    ASSERT_TRUE(result.end) << run;
    EXPECT_NE(*result.end, CallEnd::kComplete) << run;
  }
}

// Guards against the same if the write reports the reset long before the body is read.
TEST_F(OutgoingTest, ResetReportedByTheWriteFirstCutsAResponseWithoutLength) {
  const Result result = Call(AnswerInPartAndReset, kUploadBytes, milliseconds(300));
  EXPECT_EQ(result.end, CallEnd::kCutShort);
}

// Guards against the same if the request was written completely, so that only the read can fail.
TEST_F(OutgoingTest, ResetAfterTheRequestCutsAResponseWithoutLength) {
  const Result result = Call(AnswerInPartAndReset, 10, milliseconds(300));
  EXPECT_EQ(result.end, CallEnd::kCutShort);
}

// Guards against an early response that is refused although the server took the whole request and
// ended the connection in order, before or after it had read the rest.
TEST_F(OutgoingTest, OrderlyEndCompletesAnEarlyResponseWithoutLength) {
  for (const bool ends_first : {false, true}) {
    const Result result = Call(
        [&](Peer& peer) {
          peer.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
          if (ends_first) peer.ShutdownWrites();
          peer.Read(kUploadBytes);
        },
        kUploadBytes);
    EXPECT_EQ(result.end, CallEnd::kComplete) << ends_first;
    EXPECT_EQ(result.body, "whole");
  }
}

// Guards against a response that is cut although its length shows that it is whole.
TEST_F(OutgoingTest, ResetAfterAWholeResponseWithLengthChangesNothing) {
  const Result result = Call(
      [](Peer& peer) {
        peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole");
        std::this_thread::sleep_for(kUploadStalled);
        peer.Reset();
      },
      kUploadBytes);
  EXPECT_EQ(result.end, CallEnd::kComplete);
  EXPECT_EQ(result.body, "whole");
}

// Guards against a call without end if the server ends its response in order and does not read the
// rest of the request.
TEST_F(OutgoingTest, OrderlyEndCompletesAResponseOfAServerThatReadsNoMore) {
  const Result result = Call(
      [](Peer& peer) {
        peer.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
        peer.ShutdownWrites();
        std::this_thread::sleep_for(milliseconds(1500));
      },
      kUploadBytes);
  EXPECT_EQ(result.end, CallEnd::kComplete);
  EXPECT_EQ(result.body, "whole");
}

// Guards against a status outside 100 to 599 that passes as an answer, or whose body is read as the
// next response.
TEST_F(OutgoingTest, RejectsAStatusThatDoesNotExist) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::string text = "HTTP/1.1 ";
    text.append(status).append(" Odd\r\nContent-Length: ");
    text.append(std::to_string(inner.size())).append("\r\n\r\n").append(inner);
    const auto serve = [&](Peer& peer) {
      peer.Send(text);
      peer.Read(1);
    };
    const Result result = Call(serve, 10);
    EXPECT_EQ(result.end, CallEnd::kInvalid) << status;
    EXPECT_EQ(result.status, 0) << status;
    EXPECT_EQ(result.body, "") << status;
    EXPECT_FALSE(result.reusable) << status;

    std::optional<Response> response;
    Serve(serve, [&] {
      Client client({.base_url = "http://" + Address()});
      try {
        response = client.SendAndWait("POST", "/x", {}, "body");
      } catch (const HttpError&) {
        response.reset();
      }
    });
    EXPECT_FALSE(response) << status;
  }
}

// Guards against interim responses that are refused with the statuses that do not exist.
TEST_F(OutgoingTest, SkipsInterimResponses) {
  const Result result = Call(
      [](Peer& peer) {
        peer.Send("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      },
      10);
  EXPECT_EQ(result.end, CallEnd::kComplete);
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(result.body, "ok");
}

}  // namespace
}  // namespace briarwood::http
