#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <latch>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/rpc/client.h"
#include "briarwood/rpc/server.h"
#include "fleet.pb.h"

namespace briarwood::rpc {
namespace {

class ClientServerTest : public testing::Test {
 protected:
  void SetUp() override {
    server_.Handle<schema::NotifyRequest, schema::ReadFenceResponse>(
        "echo", [](const schema::NotifyRequest& request) {
          if (request.index() == 0) throw RpcError("index is zero", true);
          schema::ReadFenceResponse response;
          response.set_fence(request.index());
          return response;
        });
    auto port = server_.Start({.listen = "127.0.0.1:0", .credential = "fleet"});
    ASSERT_TRUE(port.ok()) << port.error();
    address_ = "127.0.0.1:" + std::to_string(port.value());
  }

  static schema::NotifyRequest Request(std::uint64_t index) {
    schema::NotifyRequest request;
    request.set_index(index);
    return request;
  }

  Server server_;
  std::string address_;
};

// Guards against payloads that are altered in transit.
TEST_F(ClientServerTest, TransfersMessagesInBothDirections) {
  Client client({.address = address_, .credential = "fleet"});
  for (std::uint64_t i = 1; i < 20; ++i) {
    EXPECT_EQ(client.Call<schema::ReadFenceResponse>("echo", Request(i)).fence(), i);
  }
}

// Guards against a process without the fleet's credential calling internal methods.
TEST_F(ClientServerTest, RejectsCallerWithoutCredential) {
  Client client({.address = address_, .credential = "other"});
  EXPECT_THROW(static_cast<void>(client.Call<schema::ReadFenceResponse>("echo", Request(1))),
               RpcError);
}

// Guards against a failure of a handler being reported as a response.
TEST_F(ClientServerTest, HandlerExceptionReachesTheCaller) {
  Client client({.address = address_, .credential = "fleet"});
  try {
    static_cast<void>(client.Call<schema::ReadFenceResponse>("echo", Request(0)));
    FAIL() << "the call succeeded";
  } catch (const RpcError& error) {
    EXPECT_NE(std::string(error.what()).find("index is zero"), std::string::npos) << error.what();
    EXPECT_TRUE(error.sent());
  }
}

// Guards against a handler that waits for other calls and thereby blocks them.
TEST_F(ClientServerTest, BlockedHandlersDoNotDelayOthers) {
  constexpr int kWaiting = 32;
  Server server;
  std::latch all_wait(kWaiting);
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  server.Handle<schema::NotifyRequest, schema::NotifyResponse>("wait",
                                                               [&](const schema::NotifyRequest&) {
                                                                 all_wait.count_down();
                                                                 released.wait();
                                                                 return schema::NotifyResponse();
                                                               });
  server.Handle<schema::NotifyRequest, schema::NotifyResponse>("release",
                                                               [&](const schema::NotifyRequest&) {
                                                                 release.set_value();
                                                                 return schema::NotifyResponse();
                                                               });
  auto port = server.Start({.listen = "127.0.0.1:0", .threads = 1});
  ASSERT_TRUE(port.ok()) << port.error();
  Client client({.address = "127.0.0.1:" + std::to_string(port.value()),
                 .timeout = std::chrono::seconds(20)});
  std::vector<std::future<schema::NotifyResponse>> calls;
  calls.reserve(kWaiting);
  for (int i = 0; i < kWaiting; ++i) {
    calls.push_back(std::async(std::launch::async, [&] {
      return client.Call<schema::NotifyResponse>("wait", Request(1));
    }));
  }
  all_wait.wait();
  static_cast<void>(client.Call<schema::NotifyResponse>("release", Request(1)));
  for (auto& call : calls) EXPECT_NO_THROW(call.get());
}

// Guards against a process that ends at its start because the process before has not released the
// address yet.
TEST_F(ClientServerTest, WaitsForAnAddressInUse) {
  Server next;
  std::thread releases([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    server_.Stop();
  });
  const auto started = next.Start({.listen = address_, .credential = "fleet"});
  releases.join();
  EXPECT_TRUE(started.ok()) << started.error();
}

// Guards against a call without a connection being reported as possibly sent.
TEST_F(ClientServerTest, RefusedConnectionIsCertainlyNotSent) {
  server_.Stop();
  Client client({.address = address_, .credential = "fleet"});
  try {
    static_cast<void>(client.Call<schema::ReadFenceResponse>("echo", Request(1)));
    FAIL() << "the call succeeded";
  } catch (const RpcError& error) {
    EXPECT_FALSE(error.sent()) << error.what();
  }
}

}  // namespace
}  // namespace briarwood::rpc
