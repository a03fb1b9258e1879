#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>

#include "briarwood/common/digest.h"
#include "briarwood/control/control_state.h"
#include "briarwood/distribution/replica.h"
#include "consensus.pb.h"
#include "control.pb.h"
#include "fleet.pb.h"
#include "mutation/allocation_meter.h"
#include "mutation/mutator.h"
#include "usage.pb.h"

namespace briarwood::mutation {
namespace {

constexpr int kInputCount = 3000;

// protobuf logs a line for each input that it rejects, which would hide the output of the tests.
[[maybe_unused]] google::protobuf::LogHandler* const kPreviousLogHandler =
    google::protobuf::SetLogHandler(nullptr);

constexpr std::size_t kMaxBytesPerInputByte = 200;
constexpr std::size_t kMaxFixedBytes = std::size_t{4} * 1024 * 1024;

std::size_t MaxBytes(const std::string& input) {
  return kMaxFixedBytes + kMaxBytesPerInputByte * input.size();
}

const std::vector<std::string>& WireTokens() {
  static const std::vector<std::string> tokens{
      std::string(1, '\0'),   "\x0a",    "\x12", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
      "\xff\xff\xff\xff\x0f", "\x0b\x0c"};
  return tokens;
}

std::vector<schema::Command> SampleCommands() {
  std::vector<schema::Command> commands(6);
  auto* document = commands[0].mutable_apply_configuration();
  document->set_document("site");
  document->set_version(1);
  document->set_content("[[customers]]\nid = \"east\"\n");
  document->set_operator_name("operator");
  auto* grant = commands[1].mutable_grant_key();
  grant->set_operation_id("g1");
  grant->set_customer("east");
  grant->set_key_sha256(common::Sha256("key"));
  auto* claim = commands[2].mutable_claim();
  claim->set_customer("east");
  claim->set_idempotency_key("booking-1");
  claim->set_request_sha256(common::Sha256("body"));
  claim->set_entry_incarnation(3);
  claim->set_attempt_sequence(1);
  claim->set_now_unix_ms(1'700'000'000'000);
  claim->set_deadline_unix_ms(1'700'000'020'000);
  auto* complete = commands[3].mutable_complete_claim();
  complete->set_customer("east");
  complete->set_idempotency_key("booking-1");
  complete->set_entry_incarnation(3);
  complete->set_attempt_sequence(1);
  complete->set_outcome(schema::CompleteClaim::OUTCOME_ANSWERED);
  complete->mutable_answer()->set_status(201);
  auto* crash = commands[4].mutable_record_crash();
  crash->set_backend_server("e1");
  crash->set_backend_incarnation(9);
  crash->add_in_flight()->set_high(5);
  auto* order = commands[5].mutable_decide_order()->mutable_order();
  order->set_id(1);
  order->set_fence(2);
  order->set_kind(schema::ORDER_KIND_START_BACKEND);
  return commands;
}

// Guards against a committed command that stops every control member at the same log entry.
TEST(MutationTest, CommandsAndTheStateMachine) {
  std::vector<std::string> samples;
  control::ControlState state;
  std::uint64_t index = 0;
  for (const schema::Command& command : SampleCommands()) {
    samples.push_back(command.SerializeAsString());
    state.Apply(common::LogIndex(++index), command);
  }
  Mutator mutator(6, samples, WireTokens());
  int applied = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    schema::Command command;
    if (command.ParseFromString(input)) {
      ++applied;
      const schema::CommandResult result = state.Apply(common::LogIndex(++index), command);
      ASSERT_NE(result.code(), schema::RESULT_CODE_UNSPECIFIED) << command.ShortDebugString();
    }
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
  }
  EXPECT_GT(applied, kInputCount / 100);
  const auto restored = control::ControlState::Restore(state.Serialize());
  ASSERT_TRUE(restored.ok()) << restored.error();
  EXPECT_EQ(restored.value().Serialize(), state.Serialize());
}

// Guards against a damaged snapshot that crashes a member or is accepted without an error.
TEST(MutationTest, Snapshots) {
  control::ControlState state;
  std::uint64_t index = 0;
  for (const schema::Command& command : SampleCommands()) {
    state.Apply(common::LogIndex(++index), command);
  }
  Mutator mutator(7, {state.Serialize()}, WireTokens());
  int rejected = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    const auto restored = control::ControlState::Restore(input);
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
    if (restored.ok()) continue;
    ++rejected;
    ASSERT_FALSE(restored.error().empty());
  }
  EXPECT_GT(rejected, 0);
}

// Guards against a response of a parent that crashes an entry or an agent.
TEST(MutationTest, SyncResponses) {
  schema::SyncResponse sample;
  sample.set_index(5);
  sample.set_confirmed(true);
  sample.set_fence(2);
  schema::KeyRow key;
  key.set_customer("east");
  schema::Row& row = *sample.add_rows();
  row.set_kind(schema::ROW_KIND_KEY);
  row.set_id(common::ToHex(common::Sha256("key")));
  row.set_value(key.SerializeAsString());
  row.set_modified_index(5);
  sample.add_limits()->set_customer("east");
  Mutator mutator(8, {sample.SerializeAsString()}, WireTokens());
  int applied = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    schema::SyncResponse response;
    if (response.ParseFromString(input)) {
      distribution::Replica replica;
      applied += replica.Apply(response, common::Time{}) ? 1 : 0;
      static_cast<void>(replica.Customers());
      static_cast<void>(replica.FindKey(row.id()));
      static_cast<void>(replica.Suspects());
    }
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
  }
  EXPECT_GT(applied, kInputCount / 100);
}

template <typename Message>
class WireFormatTest : public testing::Test {};

using InternalMessages =
    testing::Types<schema::ConsensusMessage, schema::SyncRequest, schema::ProposeRequest,
                   schema::ProposeResponse, schema::RunRequest, schema::UsageBatch>;

/// Sets the fields of a message, and of nested messages up to `depth` levels, to small values.
void FillFields(google::protobuf::Message& message, int depth) {
  const auto* type = message.GetDescriptor();
  const auto* reflection = message.GetReflection();
  for (int i = 0; i < type->field_count(); ++i) {
    const auto* field = type->field(i);
    using Field = google::protobuf::FieldDescriptor;
    if (field->cpp_type() == Field::CPPTYPE_MESSAGE) {
      if (depth == 0) continue;
      FillFields(field->is_repeated() ? *reflection->AddMessage(&message, field)
                                      : *reflection->MutableMessage(&message, field),
                 depth - 1);
    } else if (field->is_repeated()) {
      if (field->cpp_type() == Field::CPPTYPE_UINT64) reflection->AddUInt64(&message, field, 7);
    } else if (field->cpp_type() == Field::CPPTYPE_STRING) {
      reflection->SetString(&message, field, "value");
    } else if (field->cpp_type() == Field::CPPTYPE_UINT64) {
      reflection->SetUInt64(&message, field, 300);
    } else if (field->cpp_type() == Field::CPPTYPE_UINT32) {
      reflection->SetUInt32(&message, field, 300);
    }
  }
}

TYPED_TEST_SUITE(WireFormatTest, InternalMessages);

// Guards against bytes from another process that crash the parser or allocate unbounded memory.
TYPED_TEST(WireFormatTest, MutatedBytesAreParsedOrRejected) {
  TypeParam sample;
  FillFields(sample, 2);
  Mutator mutator(9, {sample.SerializeAsString()}, WireTokens());
  int parsed = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    TypeParam message;
    if (message.ParseFromString(input)) {
      ++parsed;
      static_cast<void>(message.SerializeAsString());
    }
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
  }
  EXPECT_GT(parsed, kInputCount / 100);
  EXPECT_LT(parsed, kInputCount);
}

}  // namespace
}  // namespace briarwood::mutation
