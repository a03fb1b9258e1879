#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "briarwood/requests/caller_request.h"
#include "briarwood/requests/engine_protocol.h"
#include "briarwood/requests/run_codec.h"
#include "briarwood/settings/settings.h"
#include "control/impl/admin_failure.h"
#include "control/impl/admin_json.h"
#include "mutation/allocation_meter.h"
#include "mutation/mutator.h"

namespace briarwood::mutation {
namespace {

constexpr int kInputCount = 3000;
/// Memory that a decoder may allocate: parsers keep a node of several hundred bytes for a few bytes
/// of text, and the repeated parts of mutated inputs result in some ten thousand nodes.
constexpr std::size_t kMaxBytesPerInputByte = 200;
constexpr std::size_t kMaxFixedBytes = std::size_t{4} * 1024 * 1024;

std::size_t MaxBytes(const std::string& input) {
  return kMaxFixedBytes + kMaxBytesPerInputByte * input.size();
}

std::string ReadExample(const std::string& name) {
  std::ifstream in(std::filesystem::path(BRIARWOOD_SOURCE_DIR) / "examples" / name);
  EXPECT_TRUE(in.good()) << name;
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

const std::vector<std::string>& TomlTokens() {
  static const std::vector<std::string> tokens{"[[",
                                               "]]",
                                               "\"",
                                               "\n",
                                               "=",
                                               "-1",
                                               "1e999",
                                               "nan",
                                               "[",
                                               "{",
                                               "99999999999999999999",
                                               "\"\"\"",
                                               "'''",
                                               "1979-05-27",
                                               "\\u0000",
                                               "true",
                                               "0x",
                                               "#",
                                               "."};
  return tokens;
}

void ExpectClearProblems(const std::vector<settings::Problem>& problems) {
  ASSERT_FALSE(problems.empty());
  for (const settings::Problem& problem : problems) {
    ASSERT_FALSE(problem.found.empty());
    ASSERT_FALSE(problem.expected.empty());
    for (const char c : problem.ToString()) {
      ASSERT_TRUE(static_cast<unsigned char>(c) >= 0x20) << problem.ToString();
    }
  }
}

// Guards against a configuration that crashes the reader, allocates unbounded memory, or is
// rejected without a reason.
TEST(MutationTest, TomlConfiguration) {
  Mutator mutator(
      1, {ReadExample("trentvale/configuration.toml"), ReadExample("pattam/configuration.toml")},
      TomlTokens());
  int accepted = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    const auto result = settings::ReadConfiguration("c.toml", input);
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
    if (!result.ok()) {
      ExpectClearProblems(result.error());
    } else {
      ++accepted;
      for (const auto& problem : settings::ValidateConfiguration(result.value())) {
        ASSERT_FALSE(problem.key.empty());
      }
    }
  }
  // Both accepted and rejected inputs must occur, so that both paths are checked.
  EXPECT_GT(accepted, kInputCount / 100);
  EXPECT_LT(accepted, kInputCount);
}

// Guards against settings that crash a process at its start without an error message.
TEST(MutationTest, ProcessSettings) {
  Mutator mutator(
      2,
      {ReadExample("trentvale/control-toton.toml"), ReadExample("trentvale/entry-toton.toml"),
       ReadExample("trentvale/agent-engine-toton-1.toml"), ReadExample("trentvale/client.toml")},
      TomlTokens());
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    const auto control = settings::ReadControlSettings("s.toml", input);
    if (!control.ok()) ExpectClearProblems(control.error());
    const auto entry = settings::ReadEntrySettings("s.toml", input);
    if (!entry.ok()) ExpectClearProblems(entry.error());
    const auto agent = settings::ReadAgentSettings("s.toml", input);
    if (!agent.ok()) ExpectClearProblems(agent.error());
    const auto client = settings::ReadClientSettings("s.toml", input);
    if (!client.ok()) ExpectClearProblems(client.error());
    ASSERT_LE(meter.peak_bytes(), 4 * MaxBytes(input)) << "input " << i;
  }
}

std::vector<std::string> CallerBodies() {
  return {R"({"model":"m","prompt":"Which siding is free?","max_tokens":16,"stream":true})",
          R"({"model":"m:a","class":"booking","user":"u","temperature":0.5,"messages":)"
          R"([{"role":"system","content":"be short"},{"role":"user","content":"hello \u00e9"}]})",
          R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]})"};
}

const std::vector<std::string>& JsonTokens() {
  static const std::vector<std::string> tokens{"{",
                                               "}",
                                               "[",
                                               "]",
                                               "\"",
                                               ",",
                                               ":",
                                               "null",
                                               "-1",
                                               "1e400",
                                               "18446744073709551616",
                                               "\\ud800",
                                               "\\u0000",
                                               "\"messages\":",
                                               "\"max_tokens\":",
                                               "true",
                                               "[[[[[[[["};
  return tokens;
}

// Guards against caller bodies that crash an entry, allocate unbounded memory, or are rejected
// without a reason.
TEST(MutationTest, CallerRequests) {
  Mutator mutator(3, CallerBodies(), JsonTokens());
  int accepted = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const auto kind =
        i % 2 == 0 ? requests::CompletionKind::kChat : requests::CompletionKind::kText;
    const AllocationMeter meter;
    const auto result = requests::ParseCompletion(kind, input);
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
    if (result.ok()) {
      ++accepted;
      ASSERT_FALSE(result.value().engine_body.empty());
    } else {
      ASSERT_FALSE(result.error().message.empty()) << input;
      ASSERT_EQ(result.error().run, schema::RUN_STATE_NOT_RUN);
    }
  }
  EXPECT_GT(accepted, kInputCount / 100);
  EXPECT_LT(accepted, kInputCount);
}

// Guards against a malformed engine stream that crashes the agent or is regarded as complete.
TEST(MutationTest, EngineStream) {
  const std::string stream =
      "data: {\"choices\":[{\"index\":0,\"text\":\" a\"}],\"token_index\":0}\n\n"
      "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
      "\"usage\":{\"prompt_tokens\":3}}\n\ndata: [DONE]\n\n";
  Mutator mutator(4, {stream}, JsonTokens());
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    requests::EngineStream decoder(0);
    const std::string_view text = input;
    static_cast<void>(decoder.Feed(text.substr(0, text.size() / 2)));
    static_cast<void>(decoder.Feed(text.substr(text.size() / 2)));
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
    if (decoder.done()) {
      ASSERT_NE(input.find("[DONE]"), std::string::npos) << input;
    }
    static_cast<void>(requests::ParseEngineLoad(input));
  }
}

// Guards against messages between entry and agent that crash either of them.
TEST(MutationTest, RunMessages) {
  schema::RunRequest request;
  request.set_request_id("r1");
  request.set_billing_sequence(7);
  request.set_body("{\"prompt\":\"a\"}");
  request.mutable_fingerprint()->set_high(1);
  schema::RunEvent event;
  event.set_request_id("r1");
  event.mutable_token()->set_text(" word");
  event.mutable_load()->set_running(3);
  schema::CancelRequest cancel;
  cancel.set_request_id("r1");
  Mutator mutator(5,
                  {requests::EncodeRunRequest(request), requests::EncodeRunEvent(event),
                   requests::EncodeCancelRequest(cancel)},
                  JsonTokens());
  int accepted = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    accepted += requests::DecodeRunRequest(input) ? 1 : 0;
    accepted += requests::DecodeRunEvent(input) ? 1 : 0;
    accepted += requests::DecodeCancelRequest(input) ? 1 : 0;
    ASSERT_LE(meter.peak_bytes(), 3 * MaxBytes(input)) << "input " << i;
  }
  EXPECT_GT(accepted, kInputCount / 100);
}

// Guards against a request body of the administration API that crashes a control member or is
// rejected without a reason.
TEST(MutationTest, AdminRequests) {
  Mutator mutator(6,
                  {R"({"version":"7","content":"[[models]]\nid = \"m\"\n"})",
                   R"({"version":3,"content":"\u00e9"})"},
                  JsonTokens());
  int accepted = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    const AllocationMeter meter;
    schema::ApplyDocumentRequest request;
    try {
      control::impl::FromJson(input, request);
      ++accepted;
    } catch (const control::impl::AdminFailure& failure) {
      ASSERT_EQ(failure.status(), 400);
      ASSERT_FALSE(failure.error().message().empty());
    }
    ASSERT_LE(meter.peak_bytes(), MaxBytes(input)) << "input " << i;
  }
  EXPECT_GT(accepted, kInputCount / 100);
  EXPECT_LT(accepted, kInputCount);
}

}  // namespace
}  // namespace briarwood::mutation
