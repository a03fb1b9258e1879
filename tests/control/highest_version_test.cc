#include <gtest/gtest.h>

#include "control_state_fixture.h"

namespace briarwood::control {
namespace {

using testing_support::Apply;
using testing_support::CustomerText;

/// Control state that accepts any document version above the current one.
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

// Guards against versions that are rejected because they are not consecutive.
TEST_F(HighestVersionTest, AcceptsAnyHigherVersion) {
  EXPECT_EQ(Put(3, CustomerText("a")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Put(70, CustomerText("b")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Content(), CustomerText("b"));
  EXPECT_EQ(state_.documents().CurrentVersion("site"), 70U);
}

// Guards against a repeated or superseded change that is rejected, or that takes effect.
TEST_F(HighestVersionTest, AcknowledgesAnOlderVersionWithoutEffect) {
  static_cast<void>(Put(5, CustomerText("a")));
  static_cast<void>(Put(9, CustomerText("b")));
  const schema::CommandResult resent = Put(5, CustomerText("a"));
  EXPECT_EQ(resent.code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(resent.current_version(), 9U);
  EXPECT_EQ(Content(), CustomerText("b"));
}

// Guards against other content of the current version that takes effect.
TEST_F(HighestVersionTest, KeepsTheFirstContentOfAVersion) {
  static_cast<void>(Put(5, CustomerText("a")));
  EXPECT_EQ(Put(5, CustomerText("b")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Content(), CustomerText("a"));
}

// Guards against an invalid document that is acknowledged, of a higher or a lower version.
TEST_F(HighestVersionTest, RejectsAnInvalidDocument) {
  static_cast<void>(Put(5, CustomerText("a")));
  EXPECT_EQ(Put(9, "no text format").code(), schema::RESULT_CODE_INVALID);
  EXPECT_EQ(Put(3, "no text format").code(), schema::RESULT_CODE_INVALID);
  EXPECT_EQ(Content(), CustomerText("a"));
}

// Guards against a version rule that does not apply after a member has started from a snapshot.
TEST_F(HighestVersionTest, RuleAppliesAfterASnapshot) {
  static_cast<void>(Put(7, CustomerText("a")));
  auto restored = ControlState::Restore(state_.Serialize(), Parser());
  ASSERT_TRUE(restored.ok());
  state_ = std::move(restored).value();
  EXPECT_EQ(Put(6, CustomerText("b")).code(), schema::RESULT_CODE_OK);
  EXPECT_EQ(Content(), CustomerText("a"));
}

// Guards against a snapshot of an earlier version, which did not record whether keys are required:
// the document still tells it.
TEST(KeyCheckUpgradeTest, TakesTheKeyCheckOfAnEarlierSnapshotFromItsDocument) {
  using testing_support::Apply;
  testing_support::Log log;
  const std::string content = "caller_limits { key_check: KEY_CHECK_REQUIRED }";
  ASSERT_EQ(log.Apply(Apply("main", 1, content)).code(), schema::RESULT_CODE_OK);
  schema::ControlSnapshot snapshot;
  ASSERT_TRUE(snapshot.ParseFromString(log.state().Serialize()));
  snapshot.mutable_documents(0)->mutable_configuration()->mutable_caller_limits()->Clear();
  for (schema::Row& row : *snapshot.mutable_table()->mutable_rows()) {
    if (row.kind() == schema::ROW_KIND_CALLER_LIMITS) row.clear_value();
  }
  auto restored =
      ControlState::Restore(snapshot.SerializeAsString(), testing_support::TextParser());
  ASSERT_TRUE(restored.ok());
  const schema::Row* row =
      restored.value().table().Find(schema::ROW_KIND_CALLER_LIMITS, "caller_limits");
  ASSERT_NE(row, nullptr);
  schema::CallerLimits limits;
  ASSERT_TRUE(limits.ParseFromString(row->value()));
  EXPECT_EQ(limits.key_check(), schema::KEY_CHECK_REQUIRED);
}

}  // namespace
}  // namespace briarwood::control
