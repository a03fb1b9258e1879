#include "platform/configuration_json.h"

#include <gtest/gtest.h>

#include "briarwood/common/digest.h"

namespace briarwood::platform {
namespace {

constexpr const char* kValid = R"({"version":7,
  "routes":[{"name":"r1","host":"h","pathPrefix":"/a/","type":"streaming","timeoutMs":3000,
             "sloMs":800,"priority":1,"service":"llm","attempts":1,"public":false,"affinity":true,
             "resumable":false,"itlTargetMs":200},
            {"name":"r2","host":"h","pathPrefix":"/b/","type":"unsafe","timeoutMs":5000,
             "backends":[{"service":"llm","weight":90},{"service":"app","weight":10}],
             "attempts":2}],
  "services":[{"name":"llm","healthPath":"/healthz","maxConns":390,"protocol":"h1","tls":false,
               "backend":{"slots":64,"kvCapacity":551278,"kvTokenBytes":35136,"stride":4,
                          "linkMbps":550000.0}},
              {"name":"app","healthPath":"/healthz","maxConns":130,"new_field":{"x":[1]}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000},
  "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},{"name":"t2","apiKeys":[]}]})";

std::size_t CountProblems(const std::string& content) {
  const control::ConfigurationParser parser = MakeParser(schema::PlatformSettings());
  const auto parsed = parser.parse("platform", content);
  return parsed.ok() ? parser.validate(parsed.value()).size() : parsed.error().size();
}

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Guards against JSON values that are stored in the wrong field.
TEST(ConfigurationJsonTest, ReadsADocument) {
  schema::PlatformSettings platform;
  platform.set_usage_window_ms(5000);
  const auto parsed = MakeParser(platform).parse("platform", kValid);
  ASSERT_TRUE(parsed.ok());
  const schema::Configuration& configuration = parsed.value();
  ASSERT_EQ(configuration.forward_routes_size(), 2);
  const schema::ForwardRoute& first = configuration.forward_routes(0);
  EXPECT_EQ(first.kind(), schema::CALL_KIND_STREAM);
  EXPECT_EQ(first.target_ms(), 800U);
  EXPECT_EQ(first.event_gap_target_ms(), 200U);
  EXPECT_TRUE(first.prefix_affinity());
  EXPECT_EQ(first.targets(0).service(), "llm");
  EXPECT_EQ(configuration.forward_routes(1).kind(), schema::CALL_KIND_ONCE);
  EXPECT_EQ(configuration.forward_routes(1).targets(1).weight(), 10U);
  EXPECT_EQ(configuration.services(0).engine().slots(), 64U);
  EXPECT_EQ(configuration.services(0).max_connections(), 390U);
  EXPECT_EQ(configuration.caller_limits().idle_timeout_ms(), 15000U);
  EXPECT_EQ(configuration.customers(0).key_sha256(1), common::ToHex(common::Sha256("k2")));
  EXPECT_EQ(configuration.customers(0).tier(), 1U);
  EXPECT_FALSE(configuration.customers(1).has_tier());
  EXPECT_EQ(configuration.usage().window_seconds(), 5U);
  EXPECT_EQ(CountProblems(kValid), 0U);
  EXPECT_EQ(ReadVersion(kValid).value(), 7U);
}

// Each of these documents is invalid and must be rejected.
TEST(ConfigurationJsonTest, RejectsInvalidDocuments) {
  EXPECT_GT(CountProblems(std::string(kValid).substr(0, 300)), 0U);
  EXPECT_GT(CountProblems(std::string(kValid) + "x"), 0U);
  EXPECT_GT(CountProblems("[]"), 0U);
  EXPECT_GT(CountProblems(std::string(100'000, '[')), 0U);
  EXPECT_GT(CountProblems(Replace(kValid, R"("service":"llm","attempts":1)",
                                  R"("service":"gone","attempts":1)")),
            0U);
  EXPECT_GT(CountProblems(Replace(kValid, "/b/", "/a/")), 0U);
  EXPECT_GT(CountProblems(Replace(Replace(kValid, R"("weight":90)", R"("weight":0)"),
                                  R"("weight":10)", R"("weight":0)")),
            0U);
  EXPECT_GT(CountProblems(Replace(kValid, R"("timeoutMs":3000)", R"("timeoutMs":0)")), 0U);
  EXPECT_GT(CountProblems(Replace(kValid, R"("apiKeys":[])", R"("apiKeys":["k1"])")), 0U);
  EXPECT_GT(CountProblems(Replace(kValid, R"("version":7)", R"("version":"7")")), 0U);
  EXPECT_GT(CountProblems(Replace(kValid, R"("type":"unsafe")", R"("type":"new")")), 0U);
  EXPECT_FALSE(ReadVersion("{}").ok());
}

}  // namespace
}  // namespace briarwood::platform
