#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;

/// Servers of which one is slow. Routes "find" and "plan" permit three attempts, so that one is
/// left after a second attempt. A server counts as stalled after 1 s on "find" and 1.6 s on "plan";
/// answers here are slow for less.
class SecondAttemptTest : public ForwardingTest {
 protected:
  static constexpr milliseconds kSlow{700};

  /// Server that answers at once, apart from the requests that the members below name. A slow
  /// request is answered after kSlow unless the entry leaves, a stuck one never.
  FakeBackend::Handler Server() {
    return [this](const auto& connection, const auto& request) {
      const int number = ++requests_;
      if (number == slow_ || number == stuck_) {
        const auto wait = number == slow_ ? kSlow : milliseconds(10'000);
        const auto end = std::chrono::steady_clock::now() + wait;
        while (std::chrono::steady_clock::now() < end) {
          if (connection.PeerClosed()) {
            ++left_;
            return;
          }
          std::this_thread::sleep_for(milliseconds(5));
        }
      }
      const bool stream = request.head.find("/plan/") != std::string::npos;
      connection.Send(stream ? StreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n"
                             : Answer(request, "ok"));
    };
  }

  /// Makes the next request slow, and the one after it stuck if `second_stuck` is set.
  void SlowDown(bool second_stuck = false) {
    slow_ = requests_ + 1;
    stuck_ = second_stuck ? requests_ + 2 : 0;
  }

  /// Starts an entry that has seen enough requests and answers for a second attempt.
  void StartWarm(double ratio, const std::string& line, const std::string& body = "") {
    ratio_ = ratio;
    const char kind = line.find("/plan/") == std::string::npos ? 'a' : 'm';
    for (int i = 0; i < 2; ++i) {
      servers_.push_back(std::make_unique<FakeBackend>(Server()));
      List(std::string(1, kind) + "-" + std::to_string(i), servers_.back()->address());
    }
    StartReadyEntry();
    for (int i = 0; i < 12; ++i) ASSERT_THAT(Call(line, "", body), HasSubstr("200 OK"));
  }

  void Customize(schema::EntrySettings& settings) override {
    settings.mutable_forwarding()->set_second_attempt_ratio(ratio_);
  }

  double ratio_ = 0;
  std::atomic<int> requests_ = 0;
  std::atomic<int> slow_ = 0;
  std::atomic<int> stuck_ = 0;
  /// Requests that the entry left.
  std::atomic<int> left_ = 0;
  std::vector<std::unique_ptr<FakeBackend>> servers_;
};

milliseconds Timed(const std::function<void()>& action) {
  const auto start = std::chrono::steady_clock::now();
  action();
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
}

// Guards against a caller that waits for one slow server while another one would answer at once,
// and against a slow server that goes on with work that nobody needs.
TEST_F(SecondAttemptTest, TakesTheAnswerOfTheSecondServer) {
  StartWarm(0.5, "GET /find/x");
  SlowDown();
  const milliseconds time =
      Timed([this] { EXPECT_THAT(Call("GET /find/x"), HasSubstr("200 OK")); });
  EXPECT_LT(time, kSlow);
  EXPECT_TRUE(Eventually([this] { return left_ == 1; }));
  EXPECT_EQ(requests_, 14);
}

// Guards against a stream that waits for its first event while another server would send it.
TEST_F(SecondAttemptTest, TakesTheStreamOfTheSecondServer) {
  StartWarm(0.5, "POST /plan/x", "{}");
  SlowDown();
  const milliseconds time =
      Timed([this] { EXPECT_THAT(Call("POST /plan/x", "", "{}"), HasSubstr("data: piece1")); });
  EXPECT_LT(time, kSlow);
  EXPECT_TRUE(Eventually([this] { return left_ == 1; }));
  EXPECT_EQ(requests_, 14);
}

// Guards against an answer of the first server that is lost, or doubled, after a second attempt at
// a server that is slower.
TEST_F(SecondAttemptTest, TakesTheAnswerOfTheFirstServer) {
  StartWarm(0.5, "GET /find/x");
  SlowDown(/*second_stuck=*/true);
  EXPECT_THAT(Call("GET /find/x"), HasSubstr("200 OK"));
  EXPECT_TRUE(Eventually([this] { return left_ == 1; }));
  EXPECT_EQ(requests_, 14);
}

// Guards against second attempts that the operator has switched off.
TEST_F(SecondAttemptTest, MakesNoneWithoutAShare) {
  StartWarm(0, "GET /find/x");
  SlowDown();
  EXPECT_THAT(Call("GET /find/x"), HasSubstr("200 OK"));
  EXPECT_EQ(requests_, 13);
}

// Guards against a call that runs twice although it may run only once.
TEST_F(SecondAttemptTest, MakesNoneForACallThatMayRunOnce) {
  StartWarm(0.5, "POST /book/x", "{}");
  SlowDown();
  EXPECT_THAT(Call("POST /book/x", "", "{}"), HasSubstr("200 OK"));
  EXPECT_EQ(requests_, 13);
}

// Guards against a second attempt on a route that permits one attempt, or that has none left for a
// retry after it.
TEST_F(SecondAttemptTest, MakesNoneOnTheLastPermittedAttempts) {
  StartWarm(0.5, "GET /open/x");
  SlowDown();
  EXPECT_THAT(Call("GET /open/x"), HasSubstr("200 OK"));
  EXPECT_EQ(requests_, 13);
  for (int i = 0; i < 12; ++i) ASSERT_THAT(Call("GET /read/x"), HasSubstr("200 OK"));
  SlowDown();
  EXPECT_THAT(Call("GET /read/x"), HasSubstr("200 OK"));
  EXPECT_EQ(requests_, 26);
}

// Guards against second attempts that add load while the servers reject requests as they are full.
TEST_F(SecondAttemptTest, MakesNoneWhileServersReject) {
  StartWarm(0.5, "GET /find/x");
  std::atomic<int> rejections = 0;
  FakeBackend full([&](const auto& connection, const auto& request) {
    if (rejections++ > 0) {
      connection.Send(Answer(request, "ok"));
      return;
    }
    connection.Send("HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\nBriarwood-Attempt-Id: " +
                    HeaderOf(request.head, "Briarwood-Attempt-Id") +
                    "\r\nContent-Length: 0\r\n\r\n");
  });
  List("a-9", full.address());
  ASSERT_TRUE(Eventually([&] {
    Call("GET /find/x");
    return rejections > 0;
  }));
  SlowDown();
  ASSERT_TRUE(Eventually([&] {
    Call("GET /find/x");
    return requests_ >= slow_;
  }));
  EXPECT_EQ(requests_, slow_);
}

// Guards against a stream that is started again after its first event because the next one is slow.
TEST_F(SecondAttemptTest, MakesNoneAfterTheFirstEvent) {
  StartWarm(0.5, "POST /plan/x", "{}");
  FakeBackend slow([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)));
    std::this_thread::sleep_for(kSlow);
    connection.Send(Chunk(Event(2)) + "0\r\n\r\n");
  });
  for (int i = 0; i < 2; ++i) List("m-" + std::to_string(i), slow.address());
  ASSERT_TRUE(Eventually([&] {
    Call("POST /plan/x", "", "{}");
    return !slow.requests().empty();
  }));
  const std::size_t seen = slow.requests().size();
  EXPECT_THAT(Call("POST /plan/x", "", "{}"), HasSubstr("piece2"));
  EXPECT_EQ(slow.requests().size(), seen + 1);
}

}  // namespace
}  // namespace briarwood::forwarding
