#include "forwarding/forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

class StaleConfigurationTest : public ForwardingTest {
 protected:
  [[nodiscard]] std::string Metrics() const {
    return RawCall(node_->ready_port(),
                   "GET /metrics HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
        .Finish();
  }
};

// Guards against an entry whose metrics do not show how old its configuration is.
TEST_F(StaleConfigurationTest, MetricsShowTheAgeOfTheConfiguration) {
  StartReadyEntryWithOneBackend();
  const auto age = [this] {
    const std::string text = Metrics();
    const std::size_t at = text.find("\nbriarwood_configuration_age_seconds ");
    return at == std::string::npos ? -2.0 : std::stod(text.substr(text.find(' ', at) + 1));
  };
  EXPECT_GE(age(), 0.0);
  control_.SetReachable(false);
  EXPECT_TRUE(Eventually([&] { return age() > 1.5; }));
}

// Guards against an entry that refuses a new key by a configuration that is older than the one that
// the control members hold.
TEST_F(StaleConfigurationTest, NewKeyIsNotRefusedByAnOlderConfiguration) {
  StartReadyEntryWithOneBackend();
  control_.SetReachable(false);
  Configure(2, "new-key");
  const std::string answer = Call("GET /read/x", "Briarwood-Deadline-Ms: 600\r\n", "", "new-key");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("\r\nRetry-After: "), std::string::npos) << answer;
}

// Guards against the same for a route.
TEST_F(StaleConfigurationTest, UnknownRouteIsNotRefusedByAnOlderConfiguration) {
  StartReadyEntryWithOneBackend();
  control_.SetReachable(false);
  const std::string answer = Call("GET /new/x", "Briarwood-Deadline-Ms: 600\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
}

// Guards against a request that is rejected though the configuration that allows it arrives in
// time.
TEST_F(StaleConfigurationTest, RequestIsServedOnceTheConfigurationIsConfirmed) {
  StartReadyEntryWithOneBackend();
  control_.SetReachable(false);
  Configure(2, "new-key");
  RawCall call(node_->port(), Request("GET /read/x", "", "", "new-key"));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  control_.SetReachable(true);
  const std::string answer = call.Finish();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

// Guards against an entry that answers 503 for good where the configuration refuses the request.
TEST_F(StaleConfigurationTest, ConfirmedConfigurationRefuses) {
  StartReadyEntryWithOneBackend();
  EXPECT_TRUE(Call("GET /nowhere/x").starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(Call("GET /read/x", "", "", "wrong").starts_with("HTTP/1.1 401 "));
  EXPECT_TRUE(Call("GET /read/x", "", "", "").starts_with("HTTP/1.1 401 "));
}

}  // namespace
}  // namespace briarwood::forwarding
