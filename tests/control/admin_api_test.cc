#include "briarwood/control/admin_api.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>

#include "briarwood/common/digest.h"
#include "briarwood/control/operators.h"
#include "briarwood/http/client.h"
#include "control/fake_admin_backend.h"

namespace briarwood::control {
namespace {

class AdminApiTest : public testing::Test {
 protected:
  void SetUp() override {
    operators_ =
        std::filesystem::path(testing::TempDir()) / ("operators_" + std::to_string(::getpid()));
    std::ofstream(operators_) << "ann " << common::ToHex(common::Sha256("secret")) << "\n";
    auto api = AdminApi::Start(
        {.listen = "127.0.0.1:0", .operators_file = operators_, .threads = 1}, backend_);
    ASSERT_TRUE(api.ok()) << api.error();
    api_ = std::move(api).value();
    client_ = std::make_unique<http::Client>(
        http::ClientOptions{.base_url = "http://127.0.0.1:" + std::to_string(api_->port())});
  }

  void TearDown() override { std::filesystem::remove(operators_); }

  http::Response Send(const std::string& method, const std::string& path,
                      const std::string& body = {}) {
    return client_->SendAndWait(method, path, {{"Authorization", "Bearer secret"}}, body);
  }

  std::filesystem::path operators_;
  testing_support::FakeAdminBackend backend_;
  std::unique_ptr<AdminApi> api_;
  std::unique_ptr<http::Client> client_;
};

// Guards against a waiting call that occupies the only thread, so that no other operator can
// withdraw a key.
TEST_F(AdminApiTest, WaitForChangeDoesNotBlockOtherCalls) {
  backend_.SetLagging(true);
  auto waiting = std::async(std::launch::async, [this] {
    http::Client other({.base_url = "http://127.0.0.1:" + std::to_string(api_->port())});
    return other.SendAndWait("GET", "/v1/in-force?index=1&wait_ms=60000",
                             {{"Authorization", "Bearer secret"}}, "");
  });
  EXPECT_EQ(Send("GET", "/v1/documents").status, 200);
  EXPECT_EQ(Send("PUT", "/v1/documents/main", R"({"version":1})").status, 200);
  backend_.SetLagging(false);
  EXPECT_NE(waiting.get().body.find(R"("in_force":true)"), std::string::npos);
}

// Guards against accepting calls without a credential, with a wrong one, or with its digest.
TEST_F(AdminApiTest, RejectsCallersThatAreNotOperators) {
  const std::string digest = common::ToHex(common::Sha256("secret"));
  for (const std::string& header : {std::string(), std::string("Bearer other"), "Bearer " + digest,
                                    std::string("Basic secret")}) {
    EXPECT_EQ(client_->SendAndWait("GET", "/v1/keys", {{"Authorization", header}}, "").status, 401);
  }
  EXPECT_EQ(Send("GET", "/v1/keys").status, 200);
}

// Guards against misspelt fields, numbers and paths that are silently ignored or misinterpreted.
TEST_F(AdminApiTest, RejectsUnknownFieldsAndPaths) {
  EXPECT_EQ(Send("PUT", "/v1/documents/main", R"({"verison":1})").status, 400);
  EXPECT_EQ(Send("GET", "/v1/in-force?index=1x").status, 400);
  EXPECT_EQ(Send("DELETE", "/v1/documents/main").status, 404);
  EXPECT_EQ(Send("GET", "/v2/documents").status, 404);
  EXPECT_EQ(Send("POST", "/v1/keys/withdraw", "{}").status, 400);
}

// Guards against an operators file that contains a plain credential instead of its digest.
TEST(OperatorsTest, RejectsMalformedLines) {
  EXPECT_FALSE(Operators::Parse("operators", "ann secret\n").ok());
  EXPECT_TRUE(Operators::Parse("operators", "# nobody\n\n").ok());
}

}  // namespace
}  // namespace briarwood::control
