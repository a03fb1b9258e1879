#include <gtest/gtest.h>

#include <algorithm>

#include "support/test_fleet.h"

namespace briarwood::entry {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

class CrashTest : public testing::Test {
 protected:
  void AddEngines(std::uint64_t count) {
    for (std::uint64_t i = 1; i <= count; ++i) {
      engines_.push_back(std::make_unique<ScriptedBackend>(
          ScriptedBackend::Options{.incarnation = i,
                                   .tokens = 200,
                                   .token_delay = std::chrono::milliseconds(2),
                                   .crash_marker = "[[crash]]"}));
      fleet_.AddEngine("engine-" + std::to_string(i), *engines_.back());
    }
  }

  [[nodiscard]] std::ptrdiff_t Crashes() const {
    return std::count_if(engines_.begin(), engines_.end(),
                         [](const auto& engine) { return engine->crashed(); });
  }

  TestFleet fleet_;
  std::vector<std::unique_ptr<ScriptedBackend>> engines_;
};

// Guards against a request that crashes one engine after another through retries, and against the
// loss of other requests that were in flight on the crashed engines.
TEST_F(CrashTest, RequestThatCrashesEnginesCrashesAtMostTwo) {
  EntryNode& entry = fleet_.AddEntry();
  AddEngines(4);
  fleet_.Configure();
  std::vector<std::unique_ptr<RawCall>> calls;
  for (int i = 0; i < 6; ++i) {
    calls.push_back(std::make_unique<RawCall>(
        entry.port(), MakePost("/v1/completions", R"({"model":"planner","prompt":"plan )" +
                                                      std::to_string(i) + R"(","stream":true})")));
    ASSERT_TRUE(calls.back()->WaitFor("data: "));
  }
  const std::string crashing =
      MakePost("/v1/completions", R"({"model":"planner","prompt":"[[crash]]"})");
  const std::string response = RawCall(entry.port(), crashing).Finish();
  EXPECT_NE(response.find("request_crashes_engines"), std::string::npos) << response;
  EXPECT_EQ(response.find("not_run"), std::string::npos) << response;
  EXPECT_EQ(Crashes(), 2);
  const std::string again = RawCall(entry.port(), crashing).Finish();
  EXPECT_NE(again.find("request_crashes_engines"), std::string::npos) << again;
  EXPECT_NE(again.find("\"run\":\"not_run\""), std::string::npos) << again;
  EXPECT_EQ(Crashes(), 2);
  for (const auto& call : calls) {
    const std::string answer = call->Finish();
    EXPECT_NE(answer.find("\"completion_tokens\":200"), std::string::npos)
        << answer.substr(answer.size() - std::min<std::size_t>(answer.size(), 500));
  }
}

}  // namespace
}  // namespace briarwood::entry
