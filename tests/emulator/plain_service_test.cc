#include "briarwood/emulator/plain_service.h"

#include <gtest/gtest.h>

#include "briarwood/http/client.h"

namespace briarwood::emulator {
namespace {

// Guards against a service that hides a second execution of the same booking.
TEST(PlainServiceTest, CountsEachExecution) {
  const auto service = PlainService::Start({});
  ASSERT_TRUE(service.ok()) << service.error();
  http::Client client({.base_url = service.value()->url()});
  for (int i = 1; i <= 2; ++i) {
    const http::Response response = client.SendAndWait("POST", "/bookings", {}, "slot 7");
    EXPECT_EQ(response.status, 201);
    EXPECT_NE(response.body.find("\"booking\":" + std::to_string(i)), std::string::npos);
  }
  EXPECT_EQ(service.value()->RunsOf("slot 7"), 2U);
}

// Guards against a crashed service that still responds, or that does not count the execution.
TEST(PlainServiceTest, CrashesAfterExecutingWithoutAResponse) {
  const auto service = PlainService::Start({.restart_delay = std::chrono::milliseconds(0)});
  ASSERT_TRUE(service.ok()) << service.error();
  http::Client client({.base_url = service.value()->url()});
  service.value()->CrashAfterExecuting();
  EXPECT_THROW(static_cast<void>(client.SendAndWait("POST", "/bookings", {}, "slot 7")),
               http::HttpError);
  EXPECT_EQ(service.value()->RunsOf("slot 7"), 1U);
  while (service.value()->up()) std::this_thread::yield();
  service.value()->Restart();
  EXPECT_TRUE(service.value()->up());
}

}  // namespace
}  // namespace briarwood::emulator
