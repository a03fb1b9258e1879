#include "briarwood/emulator/platform.h"

#include <gtest/gtest.h>

#include "briarwood/emulator/vm_list.h"
#include "briarwood/http/client.h"

namespace briarwood::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PlatformTest : public testing::Test {
 protected:
  void SetUp() override {
    auto platform = Platform::Start({.late_response_delay = milliseconds(1)});
    ASSERT_TRUE(platform.ok()) << platform.error();
    platform_ = std::move(platform).value();
  }

  [[nodiscard]] http::Response Post(const std::string& path, const std::string& body) const {
    http::Client client({.base_url = platform_->url(), .timeout = milliseconds(1000)});
    return client.SendAndWait("POST", path, {}, body);
  }

  std::unique_ptr<Platform> platform_;
};

constexpr const char* kOrder = R"({"id":1,"fence":4,"kind":"start","backend_server":"e1"})";

// Guards against duplicate or stale orders that are not counted.
TEST_F(PlatformTest, CountsDuplicateAndStaleOrders) {
  EXPECT_EQ(Post("/orders", kOrder).status, 200);
  EXPECT_EQ(Post("/orders", kOrder).status, 200);
  EXPECT_EQ(Post("/orders", R"({"id":2,"fence":3,"kind":"stop","backend_server":"e1"})").status,
            200);
  EXPECT_EQ(platform_->counters().duplicate_orders, 1U);
  EXPECT_EQ(platform_->counters().stale_orders, 1U);
}

// Guards against a platform that does not execute an order whose response is late or lost.
TEST_F(PlatformTest, ExecutesOrdersWithoutATimelyResponse) {
  platform_->SetOrderMode(ResponseMode::kLost);
  EXPECT_THROW(static_cast<void>(Post("/orders", kOrder)), http::HttpError);
  platform_->SetOrderMode(ResponseMode::kLate);
  EXPECT_EQ(Post("/orders", kOrder).status, 200);
  platform_->SetOrderMode(ResponseMode::kTwice);
  EXPECT_EQ(Post("/orders", kOrder).status, 200);
  EXPECT_EQ(platform_->orders().size(), 4U);
}

// Guards against a platform that executes expired orders.
TEST_F(PlatformTest, RejectsExpiredOrders) {
  EXPECT_EQ(Post("/orders", R"({"id":1,"fence":4,"kind":"start","expires_unix_ms":1})").status,
            409);
  EXPECT_EQ(platform_->counters().expired_orders, 1U);
  EXPECT_TRUE(platform_->orders().empty());
}

// Guards against a platform that acknowledges a second, different report of a window.
TEST_F(PlatformTest, DetectsReportsThatDiffer) {
  const std::string path = "/usage-reports?window=7&fence=1";
  const http::Response first = Post(path, "a=1");
  EXPECT_EQ(Post(path, "a=1").body, first.body);
  EXPECT_EQ(Post(path, "a=2").status, 409);
  EXPECT_EQ(platform_->counters().conflicting_reports, 1U);
}

// Guards against a list that shows a state too early or too late.
TEST(VmListTest, ShowsStatesOverTime) {
  VmList list(seconds(10), seconds(5));
  const common::Time start{};
  list.StartVm("a", "toton", start);
  EXPECT_TRUE(list.ViewAt(start - seconds(1)).empty());
  EXPECT_EQ(list.ViewAt(start + seconds(9)).at(0).state, VmState::kStarting);
  EXPECT_EQ(list.ViewAt(start + seconds(10)).at(0).state, VmState::kLive);
  EXPECT_TRUE(list.StopVm("a", start + seconds(20)));
  EXPECT_EQ(list.ViewAt(start + seconds(24)).at(0).state, VmState::kLeaving);
  EXPECT_TRUE(list.ViewAt(start + seconds(25)).empty());
}

}  // namespace
}  // namespace briarwood::emulator
