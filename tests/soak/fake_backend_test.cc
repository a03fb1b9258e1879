#include "soak/fake_backend.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/http/outgoing.h"
#include "platform/names.h"
#include "soak/response_plan.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;

constexpr const char* kServer = "llm-1";

/// \returns the first id whose response has the shape.
std::string IdWith(const std::function<bool(const ResponsePlan& plan, int events)>& matches) {
  for (int i = 0;; ++i) {
    std::string id = "id-" + std::to_string(i);
    if (matches(PlanResponse(id, kServer), EventCount(id))) return id;
  }
}

bool IsShort(int events) { return events == 10; }

/// \returns an address whose port the kernel has just reported as free.
std::string FreeAddress(http::EventLoop& loop) {
  using boost::asio::ip::tcp;
  const tcp::acceptor probe(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

class FakeBackendTest : public ::testing::Test {
 protected:
  FakeBackendTest()
      : listen_(FreeAddress(loop_)),
        backend_(loop_,
                 {.service = "llm",
                  .listen = listen_,
                  .on_run = [](const RunCall&) {},
                  .on_crashing_arrival = [this](const std::string&) { ++arrivals_with_part_; },
                  .on_crashing_run = [this] { backend_.Crash(/*inside_event=*/true); }}) {
    EXPECT_EQ(backend_.Start(kServer), "");
  }

  void Send(const std::string& path, const std::string& id) {
    http::RequestHead head{.method = "POST", .target = path, .headers = {}};
    head.headers.Add("Host", "a");
    head.headers.Add(platform::kAttemptId, id);
    head.headers.Add(platform::kExpectInstance, kServer);
    head.headers.Add(platform::kPrefixHash, parts_);
    connection_ = http::OutgoingConnection::Create(loop_, *http::ParseEndpoint(listen_));
    connection_->Send(http::SerializeRequest(head, 0, /*has_body=*/true), nullptr,
                      milliseconds(1000),
                      {.on_head =
                           [this](const http::ResponseHead& response) {
                             head_ = response;
                             return true;
                           },
                       .on_data =
                           [this](std::string_view data) {
                             body_ += data;
                             arrivals_.push_back(common::BootClock::now());
                           },
                       .on_end = [this](http::CallEnd end) { end_ = end; }});
  }

  /// \returns false if the condition did not hold in time.
  bool RunUntil(const std::function<bool()>& condition) {
    const common::Time deadline = common::BootClock::now() + std::chrono::seconds(20);
    while (!condition() && common::BootClock::now() < deadline) {
      if (loop_.stopped()) loop_.restart();
      loop_.run_for(milliseconds(2));
    }
    return condition();
  }

  [[nodiscard]] common::Duration LongestGap() const {
    common::Duration longest{};
    for (std::size_t i = 1; i < arrivals_.size(); ++i) {
      longest = std::max<common::Duration>(longest, arrivals_[i] - arrivals_[i - 1]);
    }
    return longest;
  }

  http::EventLoop loop_;
  std::string listen_;
  FakeBackend backend_;
  std::shared_ptr<http::OutgoingConnection> connection_;
  http::ResponseHead head_;
  std::string body_;
  std::vector<common::Time> arrivals_;
  std::string parts_ = "a1:400,b2:150,c3:50";
  int arrivals_with_part_ = 0;
  std::optional<http::CallEnd> end_;
};

// A stand-in that always frames its responses hides an entry that loses those without framing.
TEST_F(FakeBackendTest, ResponseWithoutLengthAndChunksEndsWithItsConnection) {
  for (const char* path : {"/read/slot", "/draft/plan"}) {
    const std::string id = IdWith([](const ResponsePlan& plan, int events) {
      return plan.until_close && plan.silent_before == 0 && IsShort(events);
    });
    body_.clear();
    end_.reset();
    Send(path, id);
    ASSERT_TRUE(RunUntil([this] { return end_.has_value(); }));
    EXPECT_EQ(end_, http::CallEnd::kComplete);
    EXPECT_EQ(head_.headers.Find("Content-Length"), nullptr);
    EXPECT_EQ(head_.headers.Find("Transfer-Encoding"), nullptr);
    EXPECT_EQ(body_, RequestChecker::ExpectedBody(
                         id, path[1] == 'r' ? CallKind::kRetryable : CallKind::kStream));
  }
}

TEST_F(FakeBackendTest, SilentStreamGoesOnAndEndsComplete) {
  const std::string id = IdWith([](const ResponsePlan& plan, int events) {
    return plan.silent_before == 5 && IsShort(events);
  });
  Send("/ask/question", id);
  ASSERT_TRUE(RunUntil([this] { return end_.has_value(); }));
  EXPECT_EQ(end_, http::CallEnd::kComplete);
  EXPECT_EQ(body_, RequestChecker::ExpectedBody(id, CallKind::kStream));
  EXPECT_GE(LongestGap(), milliseconds(450));
}

TEST_F(FakeBackendTest, QuietServerMakesEachStreamSilentOnce) {
  const std::string id = IdWith([](const ResponsePlan& plan, int events) {
    return plan.silent_before == 0 && IsShort(events);
  });
  Send("/ask/question", id);
  ASSERT_TRUE(RunUntil([this] { return !body_.empty(); }));
  backend_.SetQuiet(true);
  ASSERT_TRUE(RunUntil([this] { return end_.has_value(); }));
  EXPECT_EQ(body_, RequestChecker::ExpectedBody(id, CallKind::kStream));
  EXPECT_GE(LongestGap(), milliseconds(450));
  EXPECT_LT(LongestGap(), milliseconds(4000));
}

// A stream without framing that ended between two events would look complete after a crash.
TEST_F(FakeBackendTest, CrashBreaksAnUnframedStreamOffInsideAnEvent) {
  const std::string id = IdWith([](const ResponsePlan& plan, int events) {
    return plan.until_close && plan.silent_before == 0 && IsShort(events);
  });
  Send("/ask/question", id);
  ASSERT_TRUE(RunUntil([this] { return !body_.empty(); }));
  backend_.Crash(/*inside_event=*/true);
  ASSERT_TRUE(RunUntil([this] { return end_.has_value(); }));
  EXPECT_FALSE(body_.ends_with("\n\n"));
  EXPECT_TRUE(RequestChecker::ExpectedBody(id, CallKind::kStream).starts_with(body_));
}

TEST_F(FakeBackendTest, OtherCrashResetsAnUnframedStream) {
  const std::string id = IdWith([](const ResponsePlan& plan, int events) {
    return plan.until_close && plan.silent_before == 0 && IsShort(events);
  });
  Send("/ask/question", id);
  ASSERT_TRUE(RunUntil([this] { return !body_.empty(); }));
  backend_.Crash();
  ASSERT_TRUE(RunUntil([this] { return end_.has_value(); }));
  EXPECT_EQ(end_, http::CallEnd::kCutShort);
}

// Without the crash the check of requests that crash servers passes for any router.
TEST_F(FakeBackendTest, CrashingPartCrashesTheServerUnlessItIsTheLast) {
  const std::string id = IdWith([](const ResponsePlan& plan, int events) {
    return plan.silent_before == 0 && IsShort(events);
  });
  backend_.SetCrashingPart("c3");
  Send("/ask/question", id);
  ASSERT_TRUE(RunUntil([this] { return end_.has_value(); }));
  EXPECT_EQ(end_, http::CallEnd::kComplete);
  EXPECT_EQ(arrivals_with_part_, 0);
  for (const char* part : {"a1", "b2"}) {
    ASSERT_EQ(backend_.Start(kServer), "");
    backend_.SetCrashingPart(part);
    end_.reset();
    Send("/ask/question", id);
    ASSERT_TRUE(RunUntil([this] { return end_.has_value(); }));
    EXPECT_NE(end_, http::CallEnd::kComplete);
    EXPECT_FALSE(backend_.running());
  }
  EXPECT_EQ(arrivals_with_part_, 2);
}

}  // namespace
}  // namespace briarwood::soak
