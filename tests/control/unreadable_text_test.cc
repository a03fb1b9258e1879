#include <gmock/gmock.h>

#include "briarwood/common/message_text.h"
#include "control/impl/applier.h"
#include "control_state_fixture.h"

namespace briarwood::control {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using testing_support::Apply;
using testing_support::CustomerText;
using testing_support::TextParser;

constexpr const char* kNoText = "\xed\xb0\x80-night";

/// \returns a parser that lets text through that is no UTF-8, as some JSON parsers do.
ConfigurationParser CarelessParser() {
  ConfigurationParser parser = TextParser();
  parser.parse = [](const std::string& /*document*/, const std::string& content) {
    schema::Configuration configuration;
    configuration.add_customers()->set_id(content);
    return common::Result<schema::Configuration, Problems>::Success(std::move(configuration));
  };
  return parser;
}

// Guards against a configuration that is acknowledged and then makes syncs and snapshots
// unreadable: entries take no change any more, and no member starts again.
TEST(UnreadableTextTest, IsRejectedWithTheNameOfItsField) {
  ControlState state(CarelessParser());
  const schema::CommandResult refused = state.Apply(common::LogIndex(1), Apply("main", 1, kNoText));
  EXPECT_EQ(refused.code(), schema::RESULT_CODE_INVALID);
  EXPECT_THAT(refused.message(), HasSubstr("customers[0].id"));
  EXPECT_EQ(state.Apply(common::LogIndex(2), Apply("main", 1, "day")).code(),
            schema::RESULT_CODE_OK);
  const auto restored = ControlState::Restore(state.Serialize(), CarelessParser());
  ASSERT_TRUE(restored.ok()) << restored.error();
  EXPECT_THAT(restored.value().repaired_fields(), IsEmpty());
}

// Guards against members that do not start with a snapshot in which an earlier version has saved
// such a text, and against entries that cannot read the rows made of it.
TEST(UnreadableTextTest, InASnapshotIsRepaired) {
  testing_support::Log log;
  ASSERT_EQ(log.Apply(Apply("main", 1, CustomerText("day") + CustomerText("night"))).code(),
            schema::RESULT_CODE_OK);
  schema::ControlSnapshot snapshot;
  ASSERT_TRUE(snapshot.ParseFromString(log.state().Serialize()));
  schema::Configuration& configuration = *snapshot.mutable_documents(0)->mutable_configuration();
  configuration.mutable_customers(1)->set_id(kNoText);
  for (schema::Row& row : *snapshot.mutable_table()->mutable_rows()) {
    if (row.id() != "night") continue;
    row.set_id(kNoText);
    row.set_value(configuration.customers(1).SerializeAsString());
  }
  const auto restored = ControlState::Restore(snapshot.SerializeAsString(), TextParser());
  ASSERT_TRUE(restored.ok()) << restored.error();
  EXPECT_EQ(restored.value().repaired_fields().size(), 2U);
  schema::ControlSnapshot again;
  EXPECT_TRUE(again.ParseFromString(restored.value().Serialize()));
  std::vector<std::string> ids;
  restored.value().table().ForEach(schema::ROW_KIND_CUSTOMER, [&](const schema::Row& row) {
    schema::Customer customer;
    if (customer.ParseFromString(row.value())) ids.push_back(customer.id());
  });
  EXPECT_THAT(ids, ElementsAre("\\xed\\xb0\\x80-night", "day"));
}

/// State whose snapshots are readable as the test decides.
class FakeState : public StateMachine {
 public:
  explicit FakeState(bool& readable) : readable_(readable) {}
  schema::CommandResult Apply(common::LogIndex /*index*/,
                              const schema::Command& /*command*/) override {
    schema::CommandResult result;
    result.set_code(schema::RESULT_CODE_OK);
    return result;
  }
  void Advance(common::LogIndex /*index*/) override {}
  [[nodiscard]] std::string Serialize() const override { return "state"; }
  [[nodiscard]] std::optional<std::string> Restore(std::string_view /*bytes*/) override {
    return std::nullopt;
  }
  [[nodiscard]] std::optional<std::string> CheckSnapshot(
      std::string_view /*bytes*/) const override {
    return readable_ ? std::nullopt : std::optional<std::string>("no state");
  }

 private:
  bool& readable_;
};

class UnreadableEntryTest : public testing::Test {
 protected:
  void Start(std::uint64_t snapshot_every_entries) {
    applier_ = std::make_unique<Applier>(std::make_unique<FakeState>(readable_), proposals_,
                                         snapshot_every_entries);
    applier_->Start({.applied = {},
                     .snapshot_taken = [this](common::LogIndex, const auto&) { ++snapshots_; },
                     .failed = [this](const std::string& reason) { failures_.push_back(reason); },
                     .warning = [this](const std::string& text) { warnings_.push_back(text); }});
  }

  void ApplyPayload(std::uint64_t index, const std::string& payload) {
    schema::LogEntry entry;
    entry.set_index(index);
    entry.set_kind(schema::ENTRY_KIND_COMMAND);
    entry.set_payload(payload);
    applier_->Push(consensus::ApplyEntries{{entry}});
    const bool applied = applier_->WaitApplied(common::LogIndex(index),
                                               common::BootClock::now() + std::chrono::seconds(10));
    ASSERT_TRUE(applied || !failures_.empty());
  }

  bool readable_ = true;
  ProposalTable proposals_;
  std::unique_ptr<Applier> applier_;
  int snapshots_ = 0;
  std::vector<std::string> failures_;
  std::vector<std::string> warnings_;
};

// Guards against a committed command that no member can read and that ends them all, at each start.
TEST_F(UnreadableEntryTest, IsSkipped) {
  Start(1000);
  schema::Command command;
  command.mutable_record_action()->set_detail(kNoText);
  ApplyPayload(1, command.SerializeAsString());
  ApplyPayload(2, schema::Command().SerializeAsString());
  applier_->Stop();
  EXPECT_THAT(failures_, IsEmpty());
  EXPECT_THAT(warnings_, ElementsAre(HasSubstr("command 1 ")));
  EXPECT_EQ(applier_->applied_index(), common::LogIndex(2));
}

// Guards against a snapshot that replaces the last one and the log and cannot be restored.
TEST_F(UnreadableEntryTest, DoesNotReplaceASnapshot) {
  readable_ = false;
  Start(1);
  ApplyPayload(1, schema::Command().SerializeAsString());
  applier_->Stop();
  EXPECT_EQ(snapshots_, 0);
  EXPECT_THAT(warnings_, ElementsAre(HasSubstr("no state")));
}

}  // namespace
}  // namespace briarwood::control
