#include <gtest/gtest.h>

#include "control_state_fixture.h"

namespace briarwood::control {
namespace {

using testing_support::Apply;
using testing_support::CustomerText;

/// Applies documents under the rule that the highest version is in force.
class HighestVersionTest : public testing::Test {
 protected:
  static ConfigurationParser Parser() {
    ConfigurationParser parser = testing_support::TextParser();
    parser.rule = ApplyRule::kHighestVersion;
    return parser;
  }

  schema::CommandResult Put(std::uint64_t version, const std::string& content) {
    return state_.Apply(common::LogIndex(++index_), Apply("site", version, content));
  }

  [[nodiscard]] std::string Content() const {
    return state_.documents().documents().at("site").content();
  }

  ControlState state_{Parser()};
  std::uint64_t index_ = 0;
};

// Guards against rejection of versions that increase by more than one.
TEST_F(HighestVersionTest, AppliesAnyHigherVersion) {
  EXPECT_EQ(Put(3, CustomerText("a")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Put(70, CustomerText("b")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Content(), CustomerText("b"));
  EXPECT_EQ(state_.documents().CurrentVersion("site"), 70U);
}

// Guards against rejecting or applying a resent or outdated change.
TEST_F(HighestVersionTest, AcknowledgesAnOlderVersionWithoutEffect) {
  static_cast<void>(Put(5, CustomerText("a")));
  static_cast<void>(Put(9, CustomerText("b")));
  const schema::CommandResult resent = Put(5, CustomerText("a"));
  EXPECT_EQ(resent.code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(resent.current_version(), 9U);
  EXPECT_EQ(Content(), CustomerText("b"));
}

// Guards against applying different content under the version in force.
TEST_F(HighestVersionTest, KeepsTheFirstContentOfAVersion) {
  static_cast<void>(Put(5, CustomerText("a")));
  EXPECT_EQ(Put(5, CustomerText("b")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Content(), CustomerText("a"));
}

// Guards against acknowledging an invalid document, whatever its version.
TEST_F(HighestVersionTest, RejectsAnInvalidDocument) {
  static_cast<void>(Put(5, CustomerText("a")));
  EXPECT_EQ(Put(9, "no text format").code(), schema::RESULT_CODE_INVALID);
  EXPECT_EQ(Put(3, "no text format").code(), schema::RESULT_CODE_INVALID);
  EXPECT_EQ(Content(), CustomerText("a"));
}

// Guards against a rule that is lost when a member starts from a snapshot.
TEST_F(HighestVersionTest, RuleSurvivesASnapshot) {
  static_cast<void>(Put(7, CustomerText("a")));
  auto restored = ControlState::Restore(state_.Serialize(), Parser());
  ASSERT_TRUE(restored.ok());
  state_ = std::move(restored).value();
  EXPECT_EQ(Put(6, CustomerText("b")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Content(), CustomerText("a"));
}

}  // namespace
}  // namespace briarwood::control
