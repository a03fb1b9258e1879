#include "briarwood/control/control_state.h"

#include <gtest/gtest.h>

#include <optional>

#include "briarwood/common/random.h"
#include "control/control_state_fixture.h"

namespace briarwood::control {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

class ControlStateTest : public testing::Test {
 protected:
  schema::ResultCode Code(const schema::Command& command) { return log_.Apply(command).code(); }

  Log log_;
};

/// \returns an operator's command with ids and names from small ranges, so that operations collide.
schema::Command RandomOperatorCommand(common::Random& random, const ControlState& state) {
  const std::string number = std::to_string(random.Below(6));
  const std::string operation = "op" + std::to_string(random.Below(60));
  switch (random.Below(4)) {
    case 0:
      return Grant(operation, "c" + number, "key" + std::to_string(random.Below(8)));
    case 1:
      return Withdraw(operation, "key" + std::to_string(random.Below(8)));
    default: {
      const std::string document = "d" + std::to_string(random.Below(3));
      const std::uint64_t version =
          state.documents().CurrentVersion(document) + (random.Chance(0.8) ? 1 : random.Below(3));
      return Apply(document, version,
                   CustomerText(document + "c", random.Below(4)) +
                       (document == "d0" ? CustomerText("c" + number) : ""));
    }
  }
}

struct AppliedCommand {
  schema::Command command;
  schema::CommandResult result;
};

bool HasOperationId(const schema::Command& command) {
  return command.has_grant_key() || command.has_withdraw_key();
}

// I13: guards against a repeated command that gets another result, changes rows, or differs between
// a member that restored a snapshot and one that did not.
TEST(ControlStatePropertyTest, I13RepeatedCommandGetsItsFirstResultAfterAnyChanges) {
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    common::Random random(seed);
    Log log;
    Log restoring;
    std::vector<AppliedCommand> history;
    for (int step = 0; step < 250; ++step) {
      if (random.Chance(0.05)) restoring.RestoreFromSnapshot();
      const bool repeat = !history.empty() && random.Chance(0.4);
      const AppliedCommand* previous = repeat ? &history[random.Below(history.size())] : nullptr;
      const common::LogIndex last_change = log.state().table().last_change();
      const schema::Command command =
          previous != nullptr ? previous->command : RandomOperatorCommand(random, log.state());
      const schema::CommandResult result = log.Apply(command);
      ASSERT_EQ(restoring.Apply(command).SerializeAsString(), result.SerializeAsString());
      ASSERT_EQ(restoring.state().Serialize(), log.state().Serialize())
          << "seed " << seed << " step " << step;
      if (previous != nullptr) {
        ASSERT_EQ(result.SerializeAsString(), previous->result.SerializeAsString())
            << "seed " << seed << " step " << step;
        ASSERT_EQ(log.state().table().last_change(), last_change);
      } else if (result.code() == schema::RESULT_CODE_OK ||
                 (HasOperationId(command) &&
                  result.index() == log.state().applied_index().value() &&
                  result.message() != "the operation id was used with another command")) {
        history.push_back({command, result});
      }
    }
    EXPECT_GT(history.size(), 20U);
  }
}

// I13: guards against a published index that decreases, and against a replica that misses a change.
TEST(ControlStatePropertyTest, I13ReplicaThatFollowsHoldsThePublishedRows) {
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    common::Random random(seed);
    Log log;
    distribution::RowTable replica;
    for (int step = 0; step < 250; ++step) {
      log.Apply(RandomOperatorCommand(random, log.state()));
      if (random.Chance(0.1)) log.RestoreFromSnapshot();
      if (!random.Chance(0.3)) continue;
      const common::LogIndex before = replica.index();
      replica.Merge(log.state().table().DeltaSince(before, {}));
      ASSERT_GE(replica.index(), before);
      const auto expected = log.state().table().Snapshot().rows;
      const auto actual = replica.Snapshot().rows;
      ASSERT_EQ(actual.size(), expected.size()) << "seed " << seed << " step " << step;
      for (std::size_t i = 0; i < actual.size(); ++i) {
        ASSERT_EQ(actual[i].SerializeAsString(), expected[i].SerializeAsString());
      }
    }
  }
}

// I13: guards against two operators whose concurrent changes with the same version number are both
// accepted.
TEST_F(ControlStateTest, I13EqualVersionWithOtherContentIsAConflict) {
  EXPECT_EQ(Code(Apply("main", 1, CustomerText("a"))), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Apply("main", 1, CustomerText("b"))), schema::RESULT_CODE_CONFLICT);
  const schema::CommandResult stale = log_.Apply(Apply("main", 3, CustomerText("b")));
  EXPECT_EQ(stale.code(), schema::RESULT_CODE_STALE_VERSION);
  EXPECT_EQ(stale.current_version(), 1U);
  EXPECT_NE(log_.state().table().Find(schema::ROW_KIND_CUSTOMER, "a"), nullptr);
}

// Guards against a document that is valid by itself but makes the merged configuration invalid.
TEST_F(ControlStateTest, InvalidMergedConfigurationIsRejectedWithAllProblems) {
  EXPECT_EQ(Code(Apply("one", 1, CustomerText("a") + CustomerText("b"))), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Grant("op", "b", "key")), schema::RESULT_CODE_OK);
  const schema::CommandResult result =
      log_.Apply(Apply("two", 1, CustomerText("a") + CustomerText("b") + "usage {}"));
  EXPECT_EQ(result.code(), schema::RESULT_CODE_INVALID);
  EXPECT_EQ(result.message(), "duplicate a\nduplicate b");
  EXPECT_EQ(Code(Apply("one", 2, CustomerText("a"))), schema::RESULT_CODE_INVALID);
  EXPECT_EQ(log_.state().documents().CurrentVersion("two"), 0U);
}

// I5: guards against a withdrawn key that is granted again by a delayed copy of its grant.
TEST_F(ControlStateTest, I5WithdrawnKeyStaysWithdrawn) {
  Code(Apply("main", 1, CustomerText("a")));
  EXPECT_EQ(Code(Grant("op1", "a", "key")), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Withdraw("op2", "key")), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Grant("op1", "a", "key")), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Grant("op3", "a", "key")), schema::RESULT_CODE_CONFLICT);
  EXPECT_TRUE(log_.state().Keys().empty());
}

schema::Command Decide(std::uint64_t id, std::uint64_t fence) {
  schema::Command command;
  schema::Order& order = *command.mutable_decide_order()->mutable_order();
  order.set_id(id);
  order.set_kind(schema::ORDER_KIND_START_BACKEND);
  order.set_fence(fence);
  return command;
}

// I6: guards against orders of a previous leader, also after a restore.
TEST_F(ControlStateTest, I6OrderWithAnOldFencingTokenIsRejected) {
  EXPECT_EQ(Code(Decide(1, 5)), schema::RESULT_CODE_OK);
  log_.RestoreFromSnapshot();
  EXPECT_EQ(Code(Decide(2, 4)), schema::RESULT_CODE_REFUSED);
  EXPECT_EQ(Code(Decide(1, 5)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Decide(1, 6)), schema::RESULT_CODE_CONFLICT);
}

schema::Command Crash(const std::string& backend, std::uint64_t incarnation) {
  schema::Command command;
  command.mutable_record_crash()->set_backend_server(backend);
  command.mutable_record_crash()->set_backend_incarnation(incarnation);
  command.mutable_record_crash()->add_in_flight()->set_low(7);
  return command;
}

schema::Command Trial(std::uint64_t attempt, std::uint64_t now_unix_ms) {
  schema::Command command;
  schema::BeginTrial& trial = *command.mutable_begin_trial();
  trial.mutable_fingerprint()->set_low(7);
  trial.set_attempt_sequence(attempt);
  trial.set_now_unix_ms(now_unix_ms);
  trial.set_deadline_unix_ms(now_unix_ms + 1000);
  return command;
}

// Guards against a suspect that has two trials at the same time, or that is executed again after
// its second crash.
TEST_F(ControlStateTest, SuspectHasOneTrialAndIsRejectedAfterTheSecondCrash) {
  EXPECT_EQ(Code(Crash("e1", 1)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Crash("e1", 1)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Trial(1, 100)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Trial(2, 101)), schema::RESULT_CODE_RUNNING);
  log_.RestoreFromSnapshot();
  EXPECT_EQ(Code(Trial(1, 102)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Crash("e2", 1)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(Trial(3, 103)), schema::RESULT_CODE_REFUSED);
  EXPECT_EQ(Code(Trial(4, 102 + SuspectRegistry::kExpiryMs)), schema::RESULT_CODE_OK);
}

schema::Command PartEvidence(const std::vector<std::string>& servers, std::uint64_t ended,
                             const std::vector<std::string>& sound = {}) {
  schema::Command command;
  schema::RecordCrashEvidence& evidence = *command.mutable_record_crash_evidence();
  for (const std::string& server : servers) {
    schema::PropertyCrash& crash = *evidence.add_crashes();
    crash.add_properties("bad");
    crash.add_properties("shared");
    crash.set_backend_server(server);
    crash.set_backend_servers(8);
    crash.set_sent_unix_ms(ended - 500);
    crash.set_ended_unix_ms(ended);
  }
  for (const std::string& part : sound) evidence.add_sound_properties(part);
  evidence.set_now_unix_ms(ended);
  return command;
}

schema::Command PartTrial(std::uint64_t sequence, std::uint64_t now) {
  schema::Command command;
  command.mutable_begin_property_trial()->add_properties("bad");
  command.mutable_begin_property_trial()->set_entry_incarnation(1);
  command.mutable_begin_property_trial()->set_sequence(sequence);
  command.mutable_begin_property_trial()->set_now_unix_ms(now);
  return command;
}

std::optional<schema::CrashEvidence> PublishedPart(const ControlState& state,
                                                   const std::string& part) {
  const schema::Row* row = state.table().Find(schema::ROW_KIND_CRASH_EVIDENCE, part);
  schema::CrashEvidence evidence;
  if (row == nullptr || !evidence.ParseFromString(row->value())) return std::nullopt;
  return evidence;
}

// Guards against evidence of several entries that is not merged or not published, and that is lost
// when a member restarts or another one leads.
TEST_F(ControlStateTest, MergesAndPublishesTheEvidenceAgainstPromptParts) {
  EXPECT_EQ(Code(PartEvidence({"s1"}, 10'000)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(PartEvidence({"s1"}, 10'100, {"shared"})), schema::RESULT_CODE_OK);
  EXPECT_FALSE(PublishedPart(log_.state(), "shared"));
  log_.RestoreFromSnapshot();
  EXPECT_EQ(Code(PartEvidence({"s2"}, 20'000, {"shared"})), schema::RESULT_CODE_OK);
  ASSERT_TRUE(PublishedPart(log_.state(), "bad"));
  EXPECT_FALSE(PublishedPart(log_.state(), "bad")->held());
  log_.RestoreFromSnapshot();
  EXPECT_EQ(Code(PartEvidence({"s3"}, 30'000, {"shared"})), schema::RESULT_CODE_OK);
  EXPECT_TRUE(PublishedPart(log_.state(), "bad")->held());
  EXPECT_EQ(Code(PartTrial(1, 59'999)), schema::RESULT_CODE_REFUSED);
  EXPECT_EQ(Code(PartTrial(2, 60'000)), schema::RESULT_CODE_OK);
  log_.RestoreFromSnapshot();
  EXPECT_EQ(Code(PartTrial(2, 60'100)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(PartTrial(3, 60'200)), schema::RESULT_CODE_REFUSED);
  EXPECT_EQ(Code(PartEvidence({}, 61'000, {"bad"})), schema::RESULT_CODE_OK);
  EXPECT_FALSE(PublishedPart(log_.state(), "bad"));
}

// Guards against an entry whose clock is ahead and whose report keeps all later crashes from
// counting.
TEST_F(ControlStateTest, PropertyCrashIsNotInTheFuture) {
  schema::Command command = PartEvidence({"s1"}, 900'000);
  command.mutable_record_crash_evidence()->set_now_unix_ms(10'000);
  EXPECT_EQ(Code(command), schema::RESULT_CODE_OK);
  EXPECT_EQ(PublishedPart(log_.state(), "bad")->last_crash_unix_ms(), 10'000U);
}

// Guards against rows of expired evidence that stay published.
TEST_F(ControlStateTest, ExpiredCrashEvidenceIsRemoved) {
  EXPECT_EQ(Code(PartEvidence({"s1"}, 10'000)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(PartTrial(1, 610'000)), schema::RESULT_CODE_OK);
  EXPECT_FALSE(PublishedPart(log_.state(), "bad"));
}

// Guards against a part that no operator can release, and against a release without an audit
// record.
TEST_F(ControlStateTest, OperatorClearsAPromptPart) {
  Code(PartEvidence({"s1"}, 10'000));
  schema::Command clear;
  clear.mutable_clear_crash_evidence()->set_property("bad");
  clear.mutable_clear_crash_evidence()->set_operation_id("op");
  clear.mutable_clear_crash_evidence()->set_operator_name("ann");
  EXPECT_EQ(Code(clear), schema::RESULT_CODE_OK);
  EXPECT_FALSE(PublishedPart(log_.state(), "bad"));
  EXPECT_EQ(Code(clear), schema::RESULT_CODE_OK);
  clear.mutable_clear_crash_evidence()->set_operation_id("op2");
  EXPECT_EQ(Code(clear), schema::RESULT_CODE_NOT_FOUND);
  EXPECT_EQ(log_.state().records().audit().front().action(), "clear_crash_evidence");
  EXPECT_EQ(log_.state().records().audit().front().subject(), "bad");
}

// I11: guards against a drain that is not published, or that remains after its backend server was
// removed.
TEST_F(ControlStateTest, I11DrainIsPublishedWhileTheBackendServerExists) {
  schema::Command drain;
  drain.mutable_drain_backend()->set_operation_id("op");
  drain.mutable_drain_backend()->set_backend_server("e1");
  drain.mutable_drain_backend()->set_draining(true);
  Code(Apply("main", 1, "backend_servers { id: \"e1\" }"));
  EXPECT_EQ(Code(drain), schema::RESULT_CODE_OK);
  EXPECT_NE(log_.state().table().Find(schema::ROW_KIND_DRAINING, "e1"), nullptr);
  Code(Apply("main", 2, ""));
  EXPECT_EQ(log_.state().table().Find(schema::ROW_KIND_DRAINING, "e1"), nullptr);
}

schema::Command DrainDomain(const std::string& domain, bool draining,
                            const std::string& operation = {}) {
  schema::Command command;
  schema::DrainFailureDomain& drain = *command.mutable_drain_failure_domain();
  drain.set_operation_id(operation);
  drain.set_failure_domain(domain);
  drain.set_draining(draining);
  drain.set_operator_name("ann");
  return command;
}

bool IsDomainDrained(const ControlState& state, const std::string& domain) {
  return state.table().Find(schema::ROW_KIND_DRAINING_DOMAIN, domain) != nullptr;
}

// Guards against a drain that is lost by a snapshot or by a later configuration, and against a
// withdrawal that a snapshot undoes.
TEST_F(ControlStateTest, DomainDrainOutlivesSnapshotsAndConfigurations) {
  EXPECT_EQ(Code(DrainDomain("toton", true)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(DrainDomain("bescot", true)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(DrainDomain("bescot", false)), schema::RESULT_CODE_OK);
  Code(Apply("main", 1, "backend_servers { id: \"e1\" failure_domain: \"toton\" }"));
  log_.RestoreFromSnapshot();
  Code(Apply("main", 2, ""));
  EXPECT_TRUE(IsDomainDrained(log_.state(), "toton"));
  EXPECT_FALSE(IsDomainDrained(log_.state(), "bescot"));
}

// Guards against a repeated order that is refused, that changes the table, and so reaches every
// entry again, or that fills the audit records.
TEST_F(ControlStateTest, RepeatedDomainDrainChangesNothing) {
  EXPECT_EQ(Code(DrainDomain("toton", true)), schema::RESULT_CODE_OK);
  const common::LogIndex changed = log_.state().table().last_change();
  EXPECT_EQ(Code(DrainDomain("toton", true)), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(DrainDomain("bescot", false)), schema::RESULT_CODE_OK);
  EXPECT_EQ(log_.state().table().last_change(), changed);
  ASSERT_EQ(log_.state().records().audit().size(), 1U);
  EXPECT_EQ(log_.state().records().audit().front().action(), "drain_domain");
}

// Guards against a late repetition of an order that undoes the order after it.
TEST_F(ControlStateTest, LateRepetitionOfADomainDrainDoesNotUndoTheNextOrder) {
  EXPECT_EQ(Code(DrainDomain("toton", true, "first")), schema::RESULT_CODE_OK);
  EXPECT_EQ(Code(DrainDomain("toton", false, "second")), schema::RESULT_CODE_OK);
  log_.RestoreFromSnapshot();
  EXPECT_EQ(Code(DrainDomain("toton", true, "first")), schema::RESULT_CODE_OK);
  EXPECT_FALSE(IsDomainDrained(log_.state(), "toton"));
  EXPECT_EQ(Code(DrainDomain("bescot", true, "first")), schema::RESULT_CODE_CONFLICT);
}

// Guards against rows whose name no operator can write.
TEST_F(ControlStateTest, DomainDrainNeedsAName) {
  EXPECT_EQ(Code(DrainDomain("", true)), schema::RESULT_CODE_INVALID);
  EXPECT_EQ(Code(DrainDomain("to ton", true)), schema::RESULT_CODE_INVALID);
}

}  // namespace
}  // namespace briarwood::control
