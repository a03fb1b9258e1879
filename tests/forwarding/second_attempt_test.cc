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
  /// Answers after which a route has second attempts.
  static constexpr int kWarmUp = 8;

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

  /// Starts an entry that has seen just enough answers for second attempts.
  void StartWarm(double ratio, const std::string& line, const std::string& body = "") {
    ratio_ = ratio;
    const char kind = line.find("/plan/") == std::string::npos ? 'a' : 'm';
    for (int i = 0; i < 2; ++i) {
      servers_.push_back(std::make_unique<FakeBackend>(Server()));
      List(std::string(1, kind) + "-" + std::to_string(i), servers_.back()->address());
    }
    StartReadyEntry();
    for (int i = 0; i < kWarmUp; ++i) ASSERT_THAT(Call(line, "", body), HasSubstr("200 OK"));
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
  EXPECT_EQ(requests_, kWarmUp + 2);
}

// Guards against a stream that waits for its first event while another server would send it.
TEST_F(SecondAttemptTest, TakesTheStreamOfTheSecondServer) {
  StartWarm(0.5, "POST /plan/x", "{}");
  SlowDown();
  const milliseconds time =
      Timed([this] { EXPECT_THAT(Call("POST /plan/x", "", "{}"), HasSubstr("data: piece1")); });
  EXPECT_LT(time, kSlow);
  EXPECT_TRUE(Eventually([this] { return left_ == 1; }));
  EXPECT_EQ(requests_, kWarmUp + 2);
}

// Guards against an answer of the first server that is lost, or doubled, after a second attempt at
// a server that is slower.
TEST_F(SecondAttemptTest, TakesTheAnswerOfTheFirstServer) {
  StartWarm(0.5, "GET /find/x");
  SlowDown(/*second_stuck=*/true);
  EXPECT_THAT(Call("GET /find/x"), HasSubstr("200 OK"));
  EXPECT_TRUE(Eventually([this] { return left_ == 1; }));
  EXPECT_EQ(requests_, kWarmUp + 2);
}

struct Excluded {
  const char* name;
  double ratio;
  const char* line;
};

class ExcludedFromSecondAttemptsTest : public SecondAttemptTest,
                                       public ::testing::WithParamInterface<Excluded> {};

// Guards against second attempts that the operator has switched off, of a call that may run only
// once, and on a route that permits one attempt or has none left for a retry after it.
TEST_P(ExcludedFromSecondAttemptsTest, RunsOnce) {
  const std::string line = GetParam().line;
  const std::string body = line.starts_with("POST") ? "{}" : "";
  StartWarm(GetParam().ratio, line, body);
  SlowDown();
  EXPECT_THAT(Call(line, "", body), HasSubstr("200 OK"));
  EXPECT_EQ(requests_, kWarmUp + 1);
}

INSTANTIATE_TEST_SUITE_P(Variants, ExcludedFromSecondAttemptsTest,
                         ::testing::Values(Excluded{"Off", 0, "GET /find/x"},
                                           Excluded{"MayRunOnce", 0.5, "POST /book/x"},
                                           Excluded{"OneAttempt", 0.5, "GET /open/x"},
                                           Excluded{"TwoAttempts", 0.5, "GET /read/x"}),
                         [](const auto& variant) { return std::string(variant.param.name); });

// Guards against second attempts that add load while the servers reject requests as they are full.
TEST_F(SecondAttemptTest, MakesNoneWhileServersReject) {
  StartWarm(0.5, "GET /find/x");
  std::atomic<int> full_requests = 0;
  FakeBackend full([&](const auto& connection, const auto& request) {
    if (full_requests++ > 0) {
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
    return full_requests > 0;
  }));
  SlowDown();
  const int before = requests_ + full_requests;
  int calls = 0;
  ASSERT_TRUE(Eventually([&] {
    Call("GET /find/x");
    ++calls;
    return requests_ >= slow_;
  }));
  EXPECT_EQ(requests_ + full_requests, before + calls);
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
