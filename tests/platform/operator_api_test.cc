#include "platform/operator_api.h"

#include <gmock/gmock.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <thread>

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

  http::CallResponse Call(const std::string& method, const std::string& body = {},
                          const std::string& target = "/briarwood/config") {
    http::RequestHead head;
    head.method = method;
    head.target = target;
    head.headers.Add("Host", "control");
    auto response = http::CallAndWait("127.0.0.1:" + std::to_string(api_->port()), head, body,
                                      std::chrono::seconds(5));
    EXPECT_TRUE(response.ok()) << response.error();
    return response.ok() ? response.value() : http::CallResponse{};
  }

  std::uint16_t Drain(const std::string& method, const std::string& name) {
    return Call(method, {}, "/briarwood/drain/" + name).head.status;
  }

  [[nodiscard]] bool IsDrained(const std::string& name) const {
    bool drained = false;
    backend_.ReadState([&](const control::ControlState& state) {
      drained = state.table().Find(schema::ROW_KIND_DRAINING_DOMAIN, name) != nullptr;
    });
    return drained;
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
  const http::CallResponse drain = Call("POST", {}, "/briarwood/drain/toton");
  EXPECT_EQ(drain.head.status, 307);
  ASSERT_NE(drain.head.headers.Find("Location"), nullptr);
  EXPECT_EQ(*drain.head.headers.Find("Location"), "http://10.0.0.4:8080/briarwood/drain/toton");
  leader.reset();
  EXPECT_EQ(Call("GET").head.status, 503);
  EXPECT_EQ(Drain("DELETE", "toton"), 503);
}

// Guards against an order that is refused because it was sent before, because its response was lost
// or because the domain is not configured.
TEST_F(OperatorApiTest, AcknowledgesRepeatedDrainOrders) {
  EXPECT_EQ(Drain("DELETE", "toton"), 200);
  backend_.DropNextResponse();
  EXPECT_EQ(Drain("POST", "toton"), 503);
  EXPECT_EQ(Drain("POST", "toton"), 200);
  EXPECT_EQ(Drain("POST", "toton"), 200);
  EXPECT_TRUE(IsDrained("toton"));
  EXPECT_FALSE(IsDrained("bescot"));
  EXPECT_EQ(Drain("DELETE", "toton"), 200);
  EXPECT_EQ(Drain("DELETE", "toton"), 200);
  EXPECT_FALSE(IsDrained("toton"));
}

// Guards against rows without a usable name, which no operator could remove.
TEST_F(OperatorApiTest, RejectsMalformedDrainOrders) {
  for (const char* name : {"", "a/b", "a%20b", "toton/"}) EXPECT_EQ(Drain("POST", name), 400);
  EXPECT_EQ(Drain("POST", std::string(200, 'a')), 400);
  EXPECT_EQ(Drain("GET", "toton"), 405);
  EXPECT_EQ(Call("POST", {}, "/briarwood/drain").head.status, 404);
}

// Guards against a process that was paused and afterwards carries out an order whose sender has
// given it up and has since sent the opposite to another process.
TEST_F(OperatorApiTest, LeavesOutAbandonedDrainOrders) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), api_->port()});
  const std::string order = "POST /briarwood/drain/toton HTTP/1.1\r\nHost: c\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(order));
  socket.close();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_FALSE(IsDrained("toton"));
}

// If the outcome of the proposal is unknown, the response must not state success or rejection.
TEST_F(OperatorApiTest, RespondsUnavailableWhenTheOutcomeIsUnknown) {
  backend_.DropNextResponse();
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 503);
  EXPECT_EQ(Call("PUT", Document(3)).head.status, 200);
}

}  // namespace
}  // namespace briarwood::platform
