#include "briarwood/settings/process_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::settings {
namespace {

using testing::ElementsAre;

template <typename Result>
std::vector<std::string> Keys(const Result& result) {
  std::vector<std::string> keys;
  for (const Problem& problem : result.error()) {
    keys.push_back(std::to_string(problem.line) + " " + problem.key);
  }
  return keys;
}

// Guards against a process that starts without a required setting.
TEST(ProcessSettingsTest, NamesEveryMissingKey) {
  const auto result = ReadAgentSettings("agent.toml", "[node]\nid = \"a1\"\n");
  ASSERT_FALSE(result.ok());
  EXPECT_THAT(Keys(result), ElementsAre("1 node.failure_domain", "1 node.rpc_listen", "1 listen",
                                        "1 backend_server", "1 entry_rpc", "1 control_rpc"));
}

// Guards against a control member that is missing from its list of initial voters, and against two
// peers with the same id.
TEST(ProcessSettingsTest, ChecksControlPeers) {
  const auto result = ReadControlSettings("control.toml", R"(member_id = 3
data_folder = "data"
admin_listen = "127.0.0.1:1"
[node]
id = "c3"
failure_domain = "toton"
rpc_listen = "127.0.0.1:2"
[[peers]]
member_id = 1
rpc_address = "127.0.0.1:3"
[[peers]]
member_id = 1
rpc_address = "127.0.0.1:4"
)");
  ASSERT_FALSE(result.ok());
  EXPECT_THAT(Keys(result), ElementsAre("8 peers", "12 peers[1].member_id"));
}

// Guards against a value of the wrong type that is reported a second time, as missing.
TEST(ProcessSettingsTest, ReportsWrongTypeOnce) {
  const auto result = ReadClientSettings("client.toml", "admin = 7\n");
  ASSERT_FALSE(result.ok());
  EXPECT_THAT(Keys(result), ElementsAre("1 admin"));
}

// Guards against an entry that doubles the load of its servers because the share of second attempts
// was written in percent.
TEST(ProcessSettingsTest, ChecksTheShareOfSecondAttempts) {
  const auto read = [](const std::string& ratio) {
    return ReadEntrySettings("entry.toml",
                             "listen = \"127.0.0.1:1\"\n"
                             "control_rpc = [\"127.0.0.1:2\"]\n"
                             "[node]\nid = \"e1\"\nfailure_domain = \"toton\"\n"
                             "rpc_listen = \"127.0.0.1:3\"\n"
                             "[forwarding]\nsecond_attempt_ratio = " +
                                 ratio + "\n");
  };
  EXPECT_TRUE(read("0.05").ok());
  for (const char* ratio : {"5.0", "-0.1", "nan"}) {
    const auto result = read(ratio);
    ASSERT_FALSE(result.ok()) << ratio;
    EXPECT_THAT(Keys(result), ElementsAre("8 forwarding.second_attempt_ratio"));
  }
}

}  // namespace
}  // namespace briarwood::settings
