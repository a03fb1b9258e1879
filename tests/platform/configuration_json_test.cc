#include "platform/configuration_json.h"

#include <gtest/gtest.h>

#include <map>

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

// Guards against text that is no UTF-8 once its escapes are decoded, which protobuf cannot read
// back, and against rejecting text that is.
TEST(ConfigurationJsonTest, RejectsHalfCharacters) {
  EXPECT_EQ(CountProblems(Replace(kValid, "\"t2\"", R"("\ud83d\ude00 \\ud800")")), 0U);
  for (const char* half : {R"("\udc00-night")", R"("\ud800")", R"("\ud800\u0041")"}) {
    EXPECT_GT(CountProblems(Replace(kValid, "\"t2\"", half)), 0U) << half;
    EXPECT_GT(CountProblems(Replace(kValid, "\"new_field\"", half)), 0U) << half;
    EXPECT_GT(CountProblems(Replace(kValid, "\"k2\"", half)), 0U) << half;
  }
  EXPECT_FALSE(ReadVersion(R"({"version":1,"\udc00":1})").ok());
}

// Guards against values that this parser accepts and another reader of the document refuses.
TEST(ConfigurationJsonTest, RejectsValuesThatReadersDisagreeOn) {
  for (const char* weight : {"1e400", "-1e400", "18446744073709551616", "NaN", "Infinity"}) {
    EXPECT_GT(CountProblems(Replace(kValid, "\"weight\":90", std::string("\"weight\":") + weight)),
              0U)
        << weight;
  }
  EXPECT_GT(CountProblems(Replace(kValid, "\"version\":7", "\"version\":7,\"version\":8")), 0U);
}

// Guards against an empty list of customers that is taken for a missing one, or the other way
// round.
TEST(ConfigurationJsonTest, DistinguishesAnEmptyListOfCustomersFromAMissingOne) {
  const control::ConfigurationParser parser = MakeParser(schema::PlatformSettings());
  const std::string start = R"({"version":1,"routes":[],"services":[])";
  const auto key_check = [&](const std::string& rest) {
    const auto parsed = parser.parse("platform", start + rest);
    return parsed.ok() ? parsed.value().caller_limits().key_check() : schema::KEY_CHECK_UNSPECIFIED;
  };
  EXPECT_EQ(key_check(R"(,"tenants":[]})"), schema::KEY_CHECK_REQUIRED);
  EXPECT_EQ(key_check(R"(,"tenants":[{"name":"t1","apiKeys":[]}],"limits":{}})"),
            schema::KEY_CHECK_REQUIRED);
  EXPECT_EQ(key_check("}"), schema::KEY_CHECK_NONE);
  EXPECT_FALSE(parser.parse("platform", start + R"(,"tenants":null})").ok());
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

// Guards against a document that is not JSON and is accepted nevertheless, because the parser
// allows more than the format does. Other readers of the document would read something else.
TEST(ConfigurationJsonTest, RejectsDocumentsThatAreNotJson) {
  const std::map<std::string, std::string> documents = {
      {"a comment", "/* note */" + std::string(kValid)},
      {"a line comment at the end", std::string(kValid) + "// note"},
      {"a trailing comma in an object",
       Replace(kValid, R"("version":7,)", R"("z":{"a":1,},"version":7,)")},
      {"a trailing comma in a list",
       Replace(kValid, R"("apiKeys":["k1","k2"])", R"("apiKeys":["k1","k2",])")},
      {"a missing element",
       Replace(kValid, R"("apiKeys":["k1","k2"])", R"("apiKeys":["k1",,"k2"])")},
      {"a value without a name", Replace(kValid, R"("version":7,)", R"("version":7,5:1,)")},
      {"a name in single quotes", Replace(kValid, R"("version":7,)", R"('z':1,"version":7,)")},
      {"a number that is none", Replace(kValid, R"("version":7,)", R"("version":7,"z":NaN,)")},
      {"a number without an end", Replace(kValid, R"("version":7,)", R"("version":7,"z":1e,)")},
      {"a key twice", Replace(kValid, R"("version":7,)", R"("version":7,"version":8,)")},
      {"a text without an end", Replace(kValid, R"("name":"t2")", "\"name\":\"t2")},
      {"a line break in a text", Replace(kValid, R"("name":"t2")", "\"name\":\"t\n2\"")},
      {"half a surrogate pair", Replace(kValid, R"("name":"t2")", R"("name":"t\ud800")")},
      {"bytes that are no text", Replace(kValid, R"("name":"t2")", "\"name\":\"t\xff\"")},
      {"a second document", std::string(kValid) + "{}"}};
  for (const auto& [name, document] : documents) {
    EXPECT_GT(CountProblems(document), 0U) << name;
    EXPECT_FALSE(ReadVersion(document).ok()) << name;
  }
}

// Guards against numbers that are cut to the width of a field and mean something else, such as a
// weight of 2^32 that becomes 0.
TEST(ConfigurationJsonTest, KeepsTheMeaningOfLargeNumbers) {
  const auto read = [](const std::string& from, const std::string& to) {
    const auto parsed =
        MakeParser(schema::PlatformSettings()).parse("platform", Replace(kValid, from, to));
    EXPECT_TRUE(parsed.ok()) << to;
    return parsed.ok() ? parsed.value() : schema::Configuration();
  };
  const auto weighted = read(R"("weight":90)", R"("weight":4294967296)");
  EXPECT_EQ(weighted.forward_routes(1).targets(0).weight(), 4294967296U);
  EXPECT_EQ(CountProblems(Replace(Replace(kValid, R"("weight":90)", R"("weight":4294967296)"),
                                  R"("weight":10)", R"("weight":4294967296)")),
            0U);
  EXPECT_EQ(
      CountProblems(Replace(Replace(kValid, R"("weight":90)", R"("weight":9223372036854775808)"),
                            R"("weight":10)", R"("weight":9223372036854775808)")),
      0U);
  EXPECT_GT(read(R"("attempts":2)", R"("attempts":4294967296)").forward_routes(1).max_attempts(),
            1000U);
  EXPECT_GT(read(R"("priority":1,"service")", R"("priority":4294967296,"service")")
                .forward_routes(0)
                .tier(),
            1000U);
  EXPECT_GT(read(R"("maxConns":130)", R"("maxConns":4294967297)").services(1).max_connections(),
            1000U);
  EXPECT_GT(read(R"("slots":64)", R"("slots":4294967296)").services(0).engine().slots(), 1000U);
  // The time limit of a route is added to points in time.
  EXPECT_LE(read(R"("timeoutMs":3000)", R"("timeoutMs":18446744073709551615)")
                .forward_routes(0)
                .timeout_ms(),
            std::uint64_t{1} << 40U);
}

// Guards against a start-up time that no integer can hold.
TEST(ConfigurationJsonTest, RejectsStartUpTimesOutOfRange) {
  for (const char* boot : {"-1", "1e300"}) {
    EXPECT_GT(CountProblems(Replace(kValid, R"("protocol":"h1")",
                                    R"("scaling":{"min":1,"max":2,"bootS":)" + std::string(boot) +
                                        R"(},"protocol":"h1")")),
              0U)
        << boot;
  }
}

// Guards against two routes for one place, of which the later would win: the port of a host does
// not select a route.
TEST(ConfigurationJsonTest, RejectsTwoRoutesOfOneHostWithAndWithoutPort) {
  EXPECT_GT(CountProblems(Replace(Replace(kValid, "/b/", "/a/"), R"("name":"r2","host":"h")",
                                  R"("name":"r2","host":"H:80")")),
            0U);
}

// Guards against a rate of cold servers that is lost, or that is no rate.
TEST(ConfigurationJsonTest, ReadsTheRateOfColdServers) {
  const auto with_rate = [](const std::string& rate) {
    return Replace(kValid, R"("maxConns":390)", R"("maxConns":390,"coldPerS":)" + rate);
  };
  const auto parsed = MakeParser(schema::PlatformSettings()).parse("platform", with_rate("17.5"));
  ASSERT_TRUE(parsed.ok());
  EXPECT_EQ(parsed.value().services(0).cold_requests_per_second(), 17.5);
  EXPECT_EQ(parsed.value().services(1).cold_requests_per_second(), 0);
  EXPECT_EQ(CountProblems(with_rate("-1")), 1U);
  EXPECT_EQ(CountProblems(with_rate(R"("17")")), 1U);
}

}  // namespace
}  // namespace briarwood::platform
