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

}  // namespace
}  // namespace briarwood::forwarding
