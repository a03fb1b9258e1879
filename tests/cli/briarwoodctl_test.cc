#include "briarwood/cli/briarwoodctl.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "briarwood/common/digest.h"
#include "briarwood/control/admin_api.h"
#include "control/fake_admin_backend.h"

namespace briarwood::cli {
namespace {

const std::string kGolden = std::string(BRIARWOOD_SOURCE_DIR) + "/tests/golden/";
constexpr char kCredential[] = "operator-credential";

std::string ReadText(const std::string& file_name) {
  std::ifstream file(file_name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Runs the command lines of a session file against the administration API. A line "$ arguments"
/// runs briarwoodctl, "! event" changes the state of the member, and other lines are the output.
class SessionTest : public testing::TestWithParam<std::string> {
 protected:
  void SetUp() override {
    folder_ = std::filesystem::path(testing::TempDir()) /
              ("briarwoodctl_" + GetParam() + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "credential") << kCredential << "\n";
    std::ofstream(folder_ / "operators")
        << "# name and SHA-256\nann " << common::ToHex(common::Sha256(kCredential)) << "\n";
    auto api = control::AdminApi::Start(
        {.listen = "127.0.0.1:0", .operators_file = folder_ / "operators"}, backend_);
    ASSERT_TRUE(api.ok()) << api.error();
    api_ = std::move(api).value();
  }

  void TearDown() override { std::filesystem::remove_all(folder_); }

  std::string Replay(const std::string& session) {
    std::ostringstream replayed;
    std::istringstream lines(session);
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("! ")) {
        replayed << line << "\n";
        ApplyEvent(line.substr(2));
      } else if (line.starts_with("$ ")) {
        replayed << line << "\n" << RunLine(line.substr(2));
      }
    }
    return replayed.str();
  }

 private:
  void ApplyEvent(const std::string& name) {
    if (name == "drop the next response") return backend_.DropNextResponse();
    if (name == "restore from snapshot") return backend_.RestoreFromSnapshot();
    if (name == "entry lags") return backend_.SetLagging(true);
    if (name == "entry catches up") return backend_.SetLagging(false);
    if (name == "a window closes") return CloseWindow();
    if (name == "servers crash on a prompt part") return CrashServers();
    if (name == "operator is removed") {
      std::ofstream(folder_ / "operators") << "# nobody\n";
      return;
    }
    FAIL() << "unknown event " << name;
  }

  void CloseWindow() {
    constexpr std::uint64_t kStart = control::testing_support::FakeAdminBackend::kStartUnixMs;
    schema::Command commit;
    schema::BillingRecord& record = *commit.mutable_commit_usage()->mutable_batch()->add_records();
    record.mutable_id()->set_sequence(1);
    record.set_customer("east-haulage");
    record.set_class_("booking");
    record.set_model("m1");
    record.set_output_tokens(40);
    record.set_calls(1);
    record.set_ended_unix_ms(kStart + 1);
    schema::Command close;
    close.mutable_close_window()->set_window_id(kStart);
    EXPECT_EQ(backend_.Propose(commit, {}).result().code(), schema::RESULT_CODE_OK);
    EXPECT_EQ(backend_.Propose(close, {}).result().code(), schema::RESULT_CODE_OK);
  }

  void CrashServers() {
    constexpr std::uint64_t kStart = control::testing_support::FakeAdminBackend::kStartUnixMs;
    for (const std::uint64_t second : {1U, 2U, 3U}) {
      schema::Command command;
      schema::PropertyCrash& crash = *command.mutable_record_crash_evidence()->add_crashes();
      crash.add_properties("5c1e07a2");
      if (second == 3) crash.add_properties("91bd3f06");
      crash.set_backend_server("i-" + std::to_string(second));
      crash.set_backend_servers(8);
      crash.set_sent_unix_ms(kStart + 1000 * second - 200);
      crash.set_ended_unix_ms(kStart + 1000 * second);
      EXPECT_EQ(backend_.Propose(command, {}).result().code(), schema::RESULT_CODE_OK);
    }
  }

  std::string RunLine(const std::string& line) {
    std::vector<std::string> arguments{"--admin",
                                       "http://127.0.0.1:" + std::to_string(api_->port()),
                                       "--credential-file", folder_ / "credential"};
    std::istringstream words(line);
    for (std::string word; words >> word;) {
      arguments.push_back(word.ends_with(".toml") ? kGolden + word : word);
    }
    std::ostringstream output;
    const CtlEnvironment environment{
        .make_operation_id = [this] { return "operation-" + std::to_string(++operations_); },
        .make_key = [this] { return "bw-key-" + std::to_string(++keys_); }};
    const ExitCode code = RunBriarwoodctl(arguments, "0", environment, output, output);
    std::string text = output.str();
    for (std::size_t at = text.find(kGolden); at != std::string::npos; at = text.find(kGolden)) {
      text.erase(at, kGolden.size());
    }
    return text + "exit " + std::to_string(static_cast<int>(code)) + "\n";
  }

  std::filesystem::path folder_;
  control::testing_support::FakeAdminBackend backend_;
  std::unique_ptr<control::AdminApi> api_;
  int operations_ = 0;
  int keys_ = 0;
};

// Guards against unintended changes of the output, order, index or exit code of a session.
// BRIARWOOD_UPDATE_GOLDEN=1 rewrites the session files.
TEST_P(SessionTest, MatchesGoldenFile) {
  const std::string file = kGolden + GetParam() + ".session";
  const std::string expected = ReadText(file);
  const std::string replayed = Replay(expected);
  if (std::getenv("BRIARWOOD_UPDATE_GOLDEN") != nullptr) std::ofstream(file) << replayed;
  EXPECT_EQ(replayed, expected);
}

INSTANTIATE_TEST_SUITE_P(Golden, SessionTest,
                         testing::Values("ctl_apply", "ctl_conflict", "ctl_keys", "ctl_drain",
                                         "ctl_domain_drain", "ctl_crash_evidence", "ctl_members",
                                         "ctl_usage", "ctl_errors"),
                         [](const auto& parameter) { return parameter.param; });

}  // namespace
}  // namespace briarwood::cli
