#include "platform/operator_api.h"

#include <gmock/gmock.h>

#include "briarwood/http/blocking_call.h"
#include "control/fake_admin_backend.h"
#include "platform/configuration_json.h"

namespace briarwood::platform {
namespace {

class OperatorApiTest : public testing::Test {
 protected:
  void SetUp() override {
    auto api = OperatorApi::Start("127.0.0.1:0", MakeParser(schema::PlatformSettings()), backend_);
    ASSERT_TRUE(api.ok()) << api.error();
    api_ = std::move(api).value();
  }

  http::CallResponse Call(const std::string& method, const std::string& body = {}) {
    http::RequestHead head;
    head.method = method;
    head.target = "/briarwood/config";
    head.headers.Add("Host", "control");
    auto response = http::CallAndWait("127.0.0.1:" + std::to_string(api_->port()), head, body,
                                      std::chrono::seconds(5));
    EXPECT_TRUE(response.ok()) << response.error();
    return response.ok() ? response.value() : http::CallResponse{};
  }

  static std::string Document(int version) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
  }

  control::testing_support::FakeAdminBackend backend_{MakeParser(schema::PlatformSettings())};
  std::shared_ptr<OperatorApi> api_;
};

// A document must be read back exactly as it was sent.
TEST_F(OperatorApiTest, ReturnsTheAcceptedDocument) {
  EXPECT_EQ(Call("GET").head.status, 503);
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  const http::CallResponse read = Call("GET");
  EXPECT_EQ(read.head.status, 200);
  EXPECT_EQ(read.body, Document(3));
}

// Documents that are sent again or have an older version than the current one are acknowledged, but
// do not replace the current one.
TEST_F(OperatorApiTest, AcknowledgesResentAndOutdatedDocuments) {
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  EXPECT_EQ(Call("PUT", Document(8)).head.status, 200);
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  EXPECT_EQ(Call("GET").body, Document(8));
}

// An invalid document must neither be acknowledged nor take effect.
TEST_F(OperatorApiTest, RejectsInvalidDocuments) {
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  EXPECT_EQ(Call("PUT", R"({"version":9,"routes":[)").head.status, 400);
  EXPECT_EQ(Call("PUT", R"({"version":9,"routes":{},"services":[]})").head.status, 400);
  EXPECT_EQ(Call("GET").body, Document(3));
}

// A member that cannot confirm that its state is current must not answer a read.
TEST_F(OperatorApiTest, RejectsAReadThatCannotBeConfirmed) {
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  backend_.SetConfirmable(false);
  EXPECT_EQ(Call("GET").head.status, 503);
}

// Guards against a process without the state of the group that answers the operator by itself, and
// against a redirect to a leader that is not known.
TEST_F(OperatorApiTest, RedirectsToTheLeader) {
  std::optional<std::string> leader = "10.0.0.4:8080";
  auto api = OperatorApi::StartRedirect("127.0.0.1:0", [&leader] { return leader; });
  ASSERT_TRUE(api.ok()) << api.error();
  api_ = std::move(api).value();
  for (const char* method : {"GET", "PUT"}) {
    const http::CallResponse response = Call(method, Document(3));
    EXPECT_EQ(response.head.status, 307);
    const std::string* location = response.head.headers.Find("Location");
    ASSERT_NE(location, nullptr);
    EXPECT_EQ(*location, "http://10.0.0.4:8080/briarwood/config");
  }
  leader.reset();
  EXPECT_EQ(Call("GET").head.status, 503);
}

// If the outcome of the proposal is unknown, the response must not state success or rejection.
TEST_F(OperatorApiTest, RespondsUnavailableWhenTheOutcomeIsUnknown) {
  backend_.DropNextResponse();
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 503);
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
}

}  // namespace
}  // namespace briarwood::platform
