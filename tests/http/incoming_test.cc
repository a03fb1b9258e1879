#include "briarwood/http/incoming.h"

#include <gmock/gmock.h>
#include <sys/wait.h>

#include <array>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "support/raw_call.h"

namespace briarwood::http {
namespace {

using std::chrono::milliseconds;
using ::testing::ElementsAre;
using ::testing::StartsWith;
using testing_support::RawCall;

/// \returns a socket on which `request` was sent and the answer is not read.
int ConnectWithoutReading(std::uint16_t port, const std::string& request) {
  const int peer = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(::connect(peer, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  EXPECT_EQ(::send(peer, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
  return peer;
}

constexpr const char* kRequest = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// Server whose event loop runs only when the test lets it run.
class IncomingStopTest : public testing::Test {
 protected:
  void SetUp() override {
    auto server = IncomingServer::Start(
        loop_, {.listen = "127.0.0.1:0"}, [this](const std::shared_ptr<IncomingRequest>& request) {
          ++handled_;
          request->Respond({.status = 200, .reason = {}, .headers = {}}, "served");
        });
    ASSERT_TRUE(server.ok()) << server.error();
    server_ = std::move(server).value();
  }

  /// Runs the loop until no connection is open.
  void RunUntilClosed() {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (server_->connections() > 0 && std::chrono::steady_clock::now() < end) {
      loop_.restart();
      loop_.run_for(milliseconds(10));
    }
  }

  EventLoop loop_{1};
  int handled_ = 0;
  std::unique_ptr<IncomingServer> server_;
};

// Guards against a process that ends at its start because the process before has not released the
// address yet.
TEST(IncomingListenTest, WaitsForAnAddressInUse) {
  EventLoop loop(1);
  const auto start = [&](std::uint16_t port) {
    return IncomingServer::Start(loop, {.listen = "127.0.0.1:" + std::to_string(port)},
                                 [](const std::shared_ptr<IncomingRequest>&) {});
  };
  auto previous = start(0);
  ASSERT_TRUE(previous.ok());
  const std::uint16_t port = previous.value()->port();
  std::thread releases([&] {
    std::this_thread::sleep_for(milliseconds(200));
    previous.value().reset();
  });
  const auto next = start(port);
  releases.join();
  ASSERT_TRUE(next.ok()) << next.error();
  EXPECT_EQ(next.value()->port(), port);
}

// Guards against a planned stop that resets connections in the listen queue, whose requests have
// been sent in the moment of the stop.
TEST_F(IncomingStopTest, AnswersConnectionsThatTheKernelHasAccepted) {
  std::vector<std::unique_ptr<RawCall>> calls;
  calls.reserve(20);
  for (int i = 0; i < 20; ++i) {
    calls.push_back(std::make_unique<RawCall>(server_->port(), kRequest));
  }
  server_->DisableKeepAlive();
  server_->StopAccepting();
  server_->CloseIdle();
  RunUntilClosed();
  EXPECT_EQ(handled_, 20);
  for (const auto& call : calls) EXPECT_THAT(call->Finish(), StartsWith("HTTP/1.1 200"));
}

// Guards against a planned stop that closes a connection as idle although a request has arrived on
// it.
TEST_F(IncomingStopTest, AnswersARequestThatArrivesBeforeIdleConnectionsAreClosed) {
  RawCall idle(server_->port(), "GET /x HTTP/1.1\r\nHost: h\r\n");
  loop_.run_for(milliseconds(50));
  RawCall waiting(server_->port(), kRequest);
  // Accepts the connection without reading its request.
  while (server_->connections() < 2) loop_.run_one_for(milliseconds(50));
  server_->DisableKeepAlive();
  server_->StopAccepting();
  server_->CloseIdle();
  idle.Disconnect();
  RunUntilClosed();
  EXPECT_EQ(handled_, 1);
  EXPECT_THAT(waiting.Finish(), StartsWith("HTTP/1.1 200"));
}

// Guards against connections that stay open without a request during a planned stop: they are
// closed once their first request is overdue.
TEST_F(IncomingStopTest, ClosesConnectionsWithoutARequest) {
  RawCall unused(server_->port(), "");
  while (server_->connections() < 1) loop_.run_one_for(milliseconds(50));
  loop_.run_for(milliseconds(20));
  server_->StopAccepting();
  server_->CloseIdle();
  EXPECT_EQ(server_->connections(), 1U);
  loop_.run_for(milliseconds(500));
  server_->CloseIdle();
  EXPECT_EQ(server_->connections(), 0U);
  EXPECT_EQ(handled_, 0);
}

// Guards against a planned stop that resets a connection which it has just accepted, while the
// request of its caller is on its way.
TEST_F(IncomingStopTest, AnswersTheFirstRequestOfANewConnection) {
  RawCall late(server_->port(), "");
  while (server_->connections() < 1) loop_.run_one_for(milliseconds(50));
  server_->DisableKeepAlive();
  server_->StopAccepting();
  server_->CloseIdle();
  loop_.run_for(milliseconds(20));
  late.Send(kRequest);
  RunUntilClosed();
  EXPECT_EQ(handled_, 1);
  EXPECT_THAT(late.Finish(), StartsWith("HTTP/1.1 200"));
}

/// Server with its own limits, whose event loop runs only when the test lets it run.
class IncomingIdleTest : public testing::Test {
 protected:
  void StartServer(IncomingOptions options) {
    options.listen = "127.0.0.1:0";
    auto server = IncomingServer::Start(
        loop_, std::move(options), [this](const std::shared_ptr<IncomingRequest>& request) {
          ++handled_;
          request->Respond({.status = 200, .reason = {}, .headers = {}}, "served");
        });
    ASSERT_TRUE(server.ok()) << server.error();
    server_ = std::move(server).value();
  }

  /// Opens a connection without a request and waits until the server has accepted it.
  std::unique_ptr<RawCall> OpenIdle() {
    const std::size_t before = server_->connections();
    auto call = std::make_unique<RawCall>(server_->port(), "");
    while (server_->connections() == before) loop_.run_one_for(milliseconds(50));
    return call;
  }

  void RunFor(milliseconds time) {
    loop_.restart();
    loop_.run_for(time);
  }

  static IncomingOptions WithIdleTimeout(milliseconds timeout) {
    return {.limits = [timeout] { return IncomingLimits{.idle_timeout = timeout}; }};
  }

  EventLoop loop_{1};
  int handled_ = 0;
  std::unique_ptr<IncomingServer> server_;
};

// Guards against a new connection that takes the place of an idle one on which a request has
// arrived, so that the request ends without an answer.
TEST_F(IncomingIdleTest, ReplacesNoConnectionOnWhichARequestHasArrived) {
  StartServer({.max_connections = 2});
  const auto with_request = OpenIdle();
  const auto without_request = OpenIdle();
  RawCall further(server_->port(), kRequest);
  with_request->Send(kRequest);
  RunFor(milliseconds(100));
  EXPECT_EQ(handled_, 2);
  EXPECT_THAT(with_request->Finish(), StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(further.Finish(), StartsWith("HTTP/1.1 200"));
  EXPECT_EQ(without_request->Finish(), "");
}

// Guards against a server at its limit of connections that closes one whose request has arrived,
// although it could close the new one, of which it has read nothing.
TEST_F(IncomingIdleTest, ClosesANewConnectionIfRequestsHaveArrivedOnAllOthers) {
  StartServer({.max_connections = 2});
  const auto first = OpenIdle();
  const auto second = OpenIdle();
  RawCall further(server_->port(), "");
  first->Send(kRequest);
  second->Send(kRequest);
  RunFor(milliseconds(100));
  EXPECT_EQ(handled_, 2);
  EXPECT_THAT(first->Finish(), StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(second->Finish(), StartsWith("HTTP/1.1 200"));
  EXPECT_EQ(further.Finish(), "");
}

// Guards against an idle timeout that closes a connection on which a request has arrived since the
// event loop last looked, so that the request ends without an answer.
TEST_F(IncomingIdleTest, AnswersARequestThatArrivesAtTheIdleTimeout) {
  StartServer(WithIdleTimeout(milliseconds(60)));
  const auto idle = OpenIdle();
  // Expires in the same turn of the loop as the idle timeout, and before it.
  Timer sender(loop_, milliseconds(1));
  sender.async_wait([&](const boost::system::error_code&) { idle->Send(kRequest); });
  std::this_thread::sleep_for(milliseconds(100));
  RunFor(milliseconds(100));
  EXPECT_EQ(handled_, 1);
  EXPECT_THAT(idle->Finish(), StartsWith("HTTP/1.1 200"));
}

// Guards against idle connections that stay open after their timeout.
TEST_F(IncomingIdleTest, ClosesAnIdleConnectionAtItsTimeout) {
  StartServer(WithIdleTimeout(milliseconds(30)));
  const auto idle = OpenIdle();
  RunFor(milliseconds(150));
  EXPECT_EQ(server_->connections(), 0U);
  EXPECT_EQ(idle->Finish(), "");
}

/// Server that starts a response to each request and does not end it.
class IncomingDisconnectTest : public testing::Test {
 protected:
  void SetUp() override {
    auto server = IncomingServer::Start(
        loop_, {.listen = "127.0.0.1:0"}, [this](const std::shared_ptr<IncomingRequest>& request) {
          request_ = request;
          request->OnDisconnected([this](DisconnectCause cause) { causes_.push_back(cause); });
          request->StartStream({.status = 200, .reason = {}, .headers = {}});
          request->Write("begun");
        });
    ASSERT_TRUE(server.ok()) << server.error();
    server_ = std::move(server).value();
  }

  /// Runs the loop until `done` or `limit`.
  void RunUntil(const std::function<bool()>& done,
                std::chrono::seconds limit = std::chrono::seconds(10)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
      loop_.restart();
      loop_.run_for(milliseconds(10));
    }
  }

  void RunFor(milliseconds time) {
    loop_.restart();
    loop_.run_for(time);
  }

  EventLoop loop_{1};
  std::shared_ptr<IncomingRequest> request_;
  std::vector<DisconnectCause> causes_;
  std::unique_ptr<IncomingServer> server_;
};

// Guards against answers cut by a stop of the server that are recorded as closed by the caller.
TEST_F(IncomingDisconnectTest, ReportsAClosedServer) {
  RawCall call(server_->port(), kRequest);
  RunUntil([this] { return request_ != nullptr; });
  server_.reset();
  RunUntil([this] { return !causes_.empty(); });
  EXPECT_THAT(causes_, ElementsAre(DisconnectCause::kServerClosed));
}

// Guards against callers that leave during the answer and are recorded as cut off by the server.
TEST_F(IncomingDisconnectTest, ReportsAPeerThatCloses) {
  RawCall call(server_->port(), kRequest);
  RunUntil([this] { return request_ != nullptr; });
  call.Disconnect();
  RunUntil([this] { return !causes_.empty(); });
  EXPECT_THAT(causes_, ElementsAre(DisconnectCause::kPeerClosed));
}

// Guards against callers that stop to read the answer and are recorded as having closed.
TEST_F(IncomingDisconnectTest, ReportsAPeerThatAcknowledgesNoData) {
  const int peer = ConnectWithoutReading(server_->port(), kRequest);
  RunUntil([this] { return request_ != nullptr; });
  request_->Write(std::string(std::size_t{16} * 1024 * 1024, 'x'));
  RunUntil([this] { return !causes_.empty(); }, std::chrono::seconds(25));
  EXPECT_THAT(causes_, ElementsAre(DisconnectCause::kPeerUnreachable));
  ::close(peer);
}

/// Reads a response to its end. \returns false if the connection was reset.
bool EndsInOrder(int peer) {
  std::array<char, 4096> buffer{};
  ssize_t size = 0;
  do {
    size = ::recv(peer, buffer.data(), buffer.size(), 0);
  } while (size > 0);
  return size == 0;
}

// Guards against an aborted response to an HTTP/1.0 caller, which ends with its connection, that
// looks complete.
TEST_F(IncomingDisconnectTest, ResetsAnAbortedResponseThatEndsWithItsConnection) {
  const int aborted = ConnectWithoutReading(server_->port(), "GET /x HTTP/1.0\r\nHost: h\r\n\r\n");
  RunUntil([this] { return request_ != nullptr; });
  RunFor(milliseconds(20));
  request_->Abort();
  EXPECT_FALSE(EndsInOrder(aborted));
  ::close(aborted);
}

// Guards against a complete response to an HTTP/1.0 caller that is reset.
TEST_F(IncomingDisconnectTest, EndsACompleteResponseToAnHttp10CallerInOrder) {
  const int peer = ConnectWithoutReading(server_->port(), "GET /x HTTP/1.0\r\nHost: h\r\n\r\n");
  RunUntil([this] { return request_ != nullptr; });
  request_->Write(std::string(std::size_t{256} * 1024, 'x'));
  request_->EndStream();
  RunUntil([this] { return server_->connections() == 0; });
  EXPECT_TRUE(EndsInOrder(peer));
  ::close(peer);
}

// Guards against a stop that cuts a response to an HTTP/1.0 caller and looks like its end.
TEST_F(IncomingDisconnectTest, ResetsACutResponseThatEndsWithItsConnectionAtAStop) {
  const int peer = ConnectWithoutReading(server_->port(), "GET /x HTTP/1.0\r\nHost: h\r\n\r\n");
  RunUntil([this] { return request_ != nullptr; });
  RunFor(milliseconds(20));
  server_.reset();
  EXPECT_FALSE(EndsInOrder(peer));
  ::close(peer);
}

// Guards against a process that is killed during a response to an HTTP/1.0 caller and whose end
// looks like that of the response.
TEST_F(IncomingDisconnectTest, ResetsAResponseThatEndsWithItsConnectionWhenTheProcessEnds) {
  const int peer = ConnectWithoutReading(server_->port(), "GET /x HTTP/1.0\r\nHost: h\r\n\r\n");
  loop_.notify_fork(EventLoop::fork_prepare);
  const pid_t process = ::fork();
  ASSERT_GE(process, 0);
  if (process == 0) {
    ::close(peer);
    loop_.notify_fork(EventLoop::fork_child);
    RunUntil([this] { return request_ != nullptr; });
    RunFor(milliseconds(20));
    ::_exit(0);
  }
  loop_.notify_fork(EventLoop::fork_parent);
  EXPECT_FALSE(EndsInOrder(peer));
  ::waitpid(process, nullptr, 0);
  ::close(peer);
}

// Guards against a response whose end is lost because a further request on its connection, which is
// to be closed after it, was not read.
TEST_F(IncomingDisconnectTest, DeliversAResponseToAPeerThatSendsAFurtherRequest) {
  const int peer = ConnectWithoutReading(server_->port(), kRequest);
  RunUntil([this] { return request_ != nullptr; });
  const std::string further = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";
  ASSERT_EQ(::send(peer, further.data(), further.size(), 0), static_cast<ssize_t>(further.size()));
  RunFor(milliseconds(20));
  request_->Write(std::string(std::size_t{256} * 1024, 'x'));
  request_->EndStream();
  RunFor(milliseconds(20));
  EXPECT_TRUE(EndsInOrder(peer));
  RunUntil([this] { return server_->connections() == 0; });
  ::close(peer);
}

}  // namespace
}  // namespace briarwood::http
