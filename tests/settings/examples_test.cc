#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "briarwood/settings/settings.h"

namespace briarwood::settings {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path);
  EXPECT_TRUE(in.good()) << path;
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

class ExamplesTest : public testing::TestWithParam<std::string> {
 protected:
  [[nodiscard]] static fs::path Folder() {
    return fs::path(BRIARWOOD_SOURCE_DIR) / "examples" / GetParam();
  }

  [[nodiscard]] static schema::Configuration Configuration() {
    const fs::path path = Folder() / "configuration.toml";
    auto result = ReadConfiguration(path.filename(), ReadFile(path));
    if (!result.ok()) ADD_FAILURE() << ToString(result.error());
    return result.ok() ? result.value() : schema::Configuration();
  }

  template <typename Result>
  static void ExpectValid(const Result& result) {
    EXPECT_TRUE(result.ok()) << ToString(result.error());
  }
};

// Guards against an example configuration that the control members would reject.
TEST_P(ExamplesTest, ConfigurationIsValid) {
  const auto problems = ValidateConfiguration(Configuration());
  EXPECT_TRUE(problems.empty()) << ToString(problems);
}

// Guards against example settings that the process would reject at start.
TEST_P(ExamplesTest, SettingsOfEachProcessAreValid) {
  for (const auto& file : fs::directory_iterator(Folder())) {
    const std::string name = file.path().filename();
    const std::string text = ReadFile(file.path());
    if (name.starts_with("control-")) ExpectValid(ReadControlSettings(name, text));
    if (name.starts_with("entry-")) ExpectValid(ReadEntrySettings(name, text));
    if (name.starts_with("agent-")) ExpectValid(ReadAgentSettings(name, text));
    if (name.starts_with("client")) ExpectValid(ReadClientSettings(name, text));
  }
}

// Guards against a backend server without an agent, or whose agent listens on another address.
TEST_P(ExamplesTest, EachBackendServerHasItsAgent) {
  const schema::Configuration configuration = Configuration();
  for (const schema::BackendServer& server : configuration.backend_servers()) {
    const std::string name = "agent-" + server.id() + ".toml";
    const auto settings = ReadAgentSettings(name, ReadFile(Folder() / name));
    ASSERT_TRUE(settings.ok()) << ToString(settings.error());
    EXPECT_EQ(settings.value().backend_server(), server.id());
    EXPECT_EQ(settings.value().listen(), server.agent_address());
    EXPECT_EQ(settings.value().node().rpc_listen(), server.agent_rpc_address());
    EXPECT_EQ(settings.value().node().failure_domain(), server.failure_domain());
  }
}

INSTANTIATE_TEST_SUITE_P(Sites, ExamplesTest, testing::Values("trentvale", "pattam"),
                         [](const auto& site) { return site.param; });

}  // namespace
}  // namespace briarwood::settings
