#include "briarwood/emulator/model_engine.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>

#include "briarwood/http/client.h"

namespace briarwood::emulator {
namespace {

using testing::HasSubstr;

std::unique_ptr<ModelEngine> StartEngine(ModelEngineOptions options = {}) {
  options.token_time = std::chrono::microseconds(500);
  auto engine = ModelEngine::Start(options);
  EXPECT_TRUE(engine.ok()) << engine.error();
  return std::move(engine).value();
}

/// Result of a call that may be aborted.
struct CallResult {
  std::uint16_t status = 0;
  std::string body;
  http::CallOutcome outcome;
};

CallResult Send(const ModelEngine& engine, const std::string& path, const std::string& body) {
  http::Client client({.base_url = engine.url()});
  CallResult result;
  std::promise<http::CallOutcome> ended;
  client.SendOnNewConnection(
      "POST", path, {{"Content-Type", "application/json"}}, body,
      {.on_head = [&](std::uint16_t status, const http::Headers&) { result.status = status; },
       .on_data = [&](std::string_view data) { result.body += data; },
       .on_end = [&](const http::CallOutcome& outcome) { ended.set_value(outcome); }});
  result.outcome = ended.get_future().get();
  return result;
}

// Streamed, complete and resumed responses must have the same text; otherwise tests cannot detect
// faults of the router.
TEST(ModelEngineTest, TextDependsOnThePromptOnly) {
  const auto engine = StartEngine();
  const CallResult whole = Send(*engine, "/v1/completions", R"({"prompt":"a b","max_tokens":5})");
  EXPECT_THAT(whole.body, HasSubstr(GenerateText("a b", 5)));
  EXPECT_THAT(whole.body, HasSubstr(R"("completion_tokens":5)"));
  const CallResult resumed =
      Send(*engine, "/v1/completions",
           R"({"prompt":"a b","max_tokens":5,"resume_from":3,"stream":true})");
  EXPECT_EQ(resumed.body.find(R"("token_index":2)"), std::string::npos);
  EXPECT_THAT(resumed.body, HasSubstr(R"("token_index":3)"));
  EXPECT_THAT(resumed.body, HasSubstr("\"text\":\"" + GenerateToken("a b", 4) + "\""));
  EXPECT_TRUE(resumed.body.ends_with("data: [DONE]\n\n")) << resumed.body;
  EXPECT_EQ(engine->counters().completions_finished, 2U);
}

// Guards against a crash that looks like a complete response, or after which the engine does not
// restart.
TEST(ModelEngineTest, MarkedPromptCrashesTheEngine) {
  const auto engine = StartEngine({.restart_delay = std::chrono::milliseconds(1)});
  const CallResult result =
      Send(*engine, "/v1/completions", R"({"prompt":"x [[crash]]","max_tokens":50,"stream":true})");
  EXPECT_FALSE(result.outcome.complete);
  while (engine->counters().crashes == 0 || !engine->up()) std::this_thread::yield();
  EXPECT_EQ(Send(*engine, "/v1/completions", R"({"prompt":"x","max_tokens":1})").status, 200);
  EXPECT_EQ(engine->counters().crashes, 1U);
}

// Guards against a response from an engine that crashed after it had read the request.
TEST(ModelEngineTest, CrashedEngineSendsNoResponse) {
  const auto engine = StartEngine({.restart_delay = std::chrono::milliseconds(0)});
  engine->CrashAfterReading();
  const CallResult result = Send(*engine, "/v1/completions", R"({"prompt":"x","max_tokens":1})");
  EXPECT_EQ(result.status, 0);
  EXPECT_FALSE(result.outcome.complete);
  EXPECT_FALSE(result.outcome.certainly_not_sent);
  EXPECT_EQ(engine->counters().completions_received, 1U);
  while (engine->up()) std::this_thread::yield();
  EXPECT_TRUE(Send(*engine, "/v1/completions", "{}").outcome.certainly_not_sent);
}

// The option decides whether the engine rejects lower fencing tokens. An engine that always rejects
// them would hide a second leader.
TEST(ModelEngineTest, ChecksOrIgnoresTheFencingToken) {
  for (const bool checks : {true, false}) {
    const auto engine = StartEngine({.checks_fencing_token = checks});
    const std::string order = R"({"id":1,"kind":"load_model","model":"m","fence":)";
    EXPECT_EQ(Send(*engine, "/orders", order + "5}").status, 200);
    EXPECT_EQ(Send(*engine, "/orders", order + "4}").status, checks ? 409 : 200);
    EXPECT_EQ(engine->orders().size(), 2U);
  }
}

// Guards against a cancellation that leaves the stream open.
TEST(ModelEngineTest, CancelEndsTheStream) {
  const auto engine = StartEngine();
  auto stream = std::async(std::launch::async, [&] {
    return Send(*engine, "/v1/completions",
                R"({"request_id":"r1","prompt":"x","max_tokens":1000000,"stream":true})");
  });
  while (engine->counters().tokens == 0) std::this_thread::yield();
  EXPECT_THAT(Send(*engine, "/cancel", R"({"request_id":"r1"})").body, HasSubstr("true"));
  EXPECT_THAT(stream.get().body, HasSubstr("cancelled"));
}

// Cache events must be delayed and have gaps in their sequence numbers that a client can detect.
TEST(PrefixCacheTest, EventsLagAndHaveGaps) {
  PrefixCache cache({.capacity_blocks = 2,
                     .block_tokens = 1,
                     .event_lag = std::chrono::seconds(1),
                     .event_loss = 0.5,
                     .seed = 3});
  const common::Time start{};
  EXPECT_EQ(cache.Use("a b", start), 0U);
  EXPECT_EQ(cache.Use("a b c", start), 2U);
  for (int i = 0; i < 50; ++i) cache.Use(std::to_string(i), start);
  EXPECT_TRUE(cache.EventsSince(0, 1000, start).empty());
  const auto events = cache.EventsSince(0, 1000, start + std::chrono::seconds(1));
  EXPECT_LT(events.size(), events.back().sequence);
  EXPECT_GT(events.size(), 10U);
}

}  // namespace
}  // namespace briarwood::emulator
