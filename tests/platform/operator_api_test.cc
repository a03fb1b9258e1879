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

// Guards against a document that is read back other than it was sent.
TEST_F(OperatorApiTest, ReadsBackWhatWasAccepted) {
  EXPECT_EQ(Call("GET").head.status, 503);
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  const http::CallResponse read = Call("GET");
  EXPECT_EQ(read.head.status, 200);
  EXPECT_EQ(read.body, Document(3));
}

// Guards against resent and overtaken documents that are refused.
TEST_F(OperatorApiTest, AcknowledgesResentAndOvertakenDocuments) {
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  EXPECT_EQ(Call("PUT", Document(8)).head.status, 200);
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  EXPECT_EQ(Call("GET").body, Document(8));
}

// Guards against an invalid document that is acknowledged or takes effect.
TEST_F(OperatorApiTest, RefusesInvalidDocuments) {
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  EXPECT_EQ(Call("PUT", R"({"version":9,"routes":[)").head.status, 400);
  EXPECT_EQ(Call("PUT", R"({"version":9,"routes":{},"services":[]})").head.status, 400);
  EXPECT_EQ(Call("GET").body, Document(3));
}

// Guards against a read of a member that cannot be sure.
TEST_F(OperatorApiTest, RefusesAReadThatCannotBeConfirmed) {
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
  backend_.SetConfirmable(false);
  EXPECT_EQ(Call("GET").head.status, 503);
}

// Guards against a clear answer where the outcome is not known.
TEST_F(OperatorApiTest, AnswersUnavailableWhenTheOutcomeIsUnknown) {
  backend_.LoseNextAnswer();
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 503);
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
}

}  // namespace
}  // namespace briarwood::platform
