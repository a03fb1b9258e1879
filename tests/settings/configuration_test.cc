#include "briarwood/settings/configuration.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::settings {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

std::vector<std::string> ReadProblems(std::string_view text) {
  std::vector<std::string> lines;
  const auto result = ReadConfiguration("a.toml", text);
  if (result.ok()) return lines;
  for (const Problem& problem : result.error()) lines.push_back(problem.ToString());
  return lines;
}

std::vector<std::string> ValidationProblems(std::string_view text) {
  const auto result = ReadConfiguration("a.toml", text);
  EXPECT_TRUE(result.ok()) << ToString(result.error());
  std::vector<std::string> lines;
  for (const Problem& problem : ValidateConfiguration(result.value())) {
    lines.push_back(problem.ToString());
  }
  return lines;
}

// Guards against a reader that stops at the first problem, or reports it without file, line or key.
TEST(ConfigurationTest, ReportsEveryProblemWithItsLocation) {
  EXPECT_THAT(
      ReadProblems(R"([[customers]]
id = "east"
requests_per_minute = -5
colour = "red"

[[classes]]
id = "booking"
tier = 5000000000
first_token_target_ms = "fast"
floor_share = 1.5
)"),
      ElementsAre("a.toml:3: customers[0].requests_per_minute: found -5, expected an integer from "
                  "0 to 9223372036854775807",
                  "a.toml:4: customers[0]: found unknown key \"colour\", expected one of id, "
                  "weight, requests_per_minute, tokens_per_minute, max_concurrency, "
                  "default_class, allowed_classes, key_sha256, tier",
                  "a.toml:8: classes[0].tier: found 5000000000, expected an integer from 0 to "
                  "4294967295",
                  "a.toml:9: classes[0].first_token_target_ms: found \"fast\", expected an integer "
                  "from 0 to 9223372036854775807",
                  "a.toml:10: classes[0].floor_share: found 1.5, expected a number from 0 to 1"));
}

// Guards against an unknown enum name that is read as the default value.
TEST(ConfigurationTest, RejectsUnknownEnumName) {
  EXPECT_THAT(ReadProblems(R"([[backend_servers]]
id = "e1"
kind = "engin"
agent_address = "127.0.0.1:1"
url = "http://127.0.0.1:2"
max_concurrency = 1
)"),
              ElementsAre("a.toml:3: backend_servers[0].kind: found \"engin\", expected one of "
                          "\"engine\", \"service\""));
}

// Guards against two rows with the same id, of which one would be overwritten.
TEST(ConfigurationTest, RejectsDuplicateIds) {
  EXPECT_THAT(
      ReadProblems("[[models]]\nid = \"m\"\n[[models]]\nid = \"m\"\n"),
      ElementsAre("a.toml:4: models[1].id: found duplicate id \"m\", expected an id that no "
                  "other row of models has"));
}

// Guards against a host name, which would need name resolution, where an IP address is expected.
TEST(ConfigurationTest, RejectsAddressWithoutIpNumber) {
  EXPECT_THAT(ReadProblems(R"([[backend_servers]]
id = "e1"
kind = "engine"
model = "m"
agent_address = "localhost:1"
url = "http://127.0.0.1"
max_concurrency = 1
)"),
              ElementsAre("a.toml:5: backend_servers[0].agent_address: found \"localhost:1\", "
                          "expected an address of the form ip:port",
                          "a.toml:6: backend_servers[0].url: found \"http://127.0.0.1\", expected "
                          "a URL of the form http://ip:port or https://ip:port"));
}

// Guards against a syntax error that is reported without its line.
TEST(ConfigurationTest, ReportsLineOfSyntaxError) {
  const auto result = ReadConfiguration("a.toml", "[[models]]\nid = \n");
  ASSERT_FALSE(result.ok());
  ASSERT_EQ(result.error().size(), 1U);
  EXPECT_EQ(result.error()[0].line, 2U);
  EXPECT_EQ(result.error()[0].expected, "valid TOML");
}

constexpr std::string_view kReferences = R"([[failure_domains]]
id = "toton"
[[customers]]
id = "east"
default_class = "gold"
[[classes]]
id = "a"
first_token_target_ms = 1
floor_share = 0.6
[[classes]]
id = "b"
first_token_target_ms = 1
floor_share = 0.6
[[routes]]
path = "/bookings"
service = "bookings"
class = "silver"
[[backend_servers]]
id = "e1"
kind = "engine"
failure_domain = "bescot"
model = "m"
agent_address = "127.0.0.1:1"
url = "http://127.0.0.1:2"
max_concurrency = 1
)";

// Guards against references to missing rows, and against floors that cannot all be guaranteed.
TEST(ConfigurationTest, ValidationFindsBrokenReferences) {
  EXPECT_THAT(
      ValidationProblems(kReferences),
      ElementsAre("customers[east].default_class: found \"gold\", expected the id of a class",
                  "routes[/bookings].class: found \"silver\", expected the id of a class",
                  "backend_servers[e1].failure_domain: found \"bescot\", expected the id of a "
                  "failure domain",
                  "backend_servers[e1].model: found \"m\", expected the id of a model",
                  "classes.floor_share: found floors whose sum is 1.2, expected floors whose sum "
                  "is at most 1"));
}

// Guards against a rounding error that rejects floors with a sum of exactly 1.
TEST(ConfigurationTest, AcceptsFloorsThatAddUpToOne) {
  std::string text;
  for (int i = 0; i < 10; ++i) {
    text += "[[classes]]\nid = \"c" + std::to_string(i) +
            "\"\nfirst_token_target_ms = 1\nfloor_share = 0.1\n";
  }
  EXPECT_THAT(ValidationProblems(text), IsEmpty());
}

}  // namespace
}  // namespace briarwood::settings
