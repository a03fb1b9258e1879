#include "briarwood/control/claim_table.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <map>

#include "briarwood/common/random.h"

namespace briarwood::control {
namespace {

constexpr std::uint64_t kHourMs = 3'600'000;
constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kStartMs = std::uint64_t{1'700'000'000} * 1000;

std::string UuidV7(std::uint64_t millis, std::uint64_t tail) {
  char text[64];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(millis >> 16),
                static_cast<unsigned long long>(millis & 0xffff),
                static_cast<unsigned long long>(tail));
  return text;
}

struct Call {
  std::string key;
  std::uint64_t first_use = 0;
  bool opaque = false;
  int executions = 0;
  std::string answer;
  schema::ClaimRequest last_attempt;
};

/// Simulation of callers, entries and a log in virtual time. Every granted attempt is executed
/// unless the entry reports that it was not. Claims and outcomes are lost, repeated and delayed.
class ClaimSimulation {
 public:
  explicit ClaimSimulation(std::uint64_t seed) : random_(seed) {}

  void Step() {
    AdvanceTime();
    if (random_.Chance(0.03)) {
      schema::ClaimTableState state;
      table_.Save(state);
      ClaimTable restored;
      restored.Restore(state);
      table_ = std::move(restored);
    }
    if (calls_.size() < 4 || random_.Chance(0.05)) StartCall();
    Call& call = calls_[random_.Below(calls_.size())];
    // Callers must not send a request with an opaque key again after 7 days.
    if (call.opaque && now_ - call.first_use >= ClaimTable::kDigestRetentionMs) return;
    if (random_.Chance(0.2) && call.last_attempt.attempt_sequence() != 0) {
      Resend(call);
    } else {
      Attempt(call);
    }
  }

  [[nodiscard]] const std::vector<Call>& calls() const { return calls_; }
  [[nodiscard]] int wrong_answers() const { return wrong_answers_; }

 private:
  void AdvanceTime() {
    now_ += random_.Chance(0.02) ? random_.Below(30 * kHourMs) : random_.Below(60'000);
    if (calls_.empty() || !random_.Chance(0.05)) return;
    // Times around the end of retention reveal a claim that expires too early.
    const Call& call = calls_[random_.Below(calls_.size())];
    const std::uint64_t end = call.first_use + ClaimTable::kRetentionMs;
    now_ = std::max(now_, end + random_.Below(8 * kMinuteMs) - 4 * kMinuteMs);
  }

  void StartCall() {
    Call call;
    call.opaque = random_.Chance(0.5);
    call.first_use = now_;
    const std::uint64_t skewed = now_ + random_.Below(8 * kMinuteMs) - 4 * kMinuteMs;
    call.key = call.opaque ? "k" + std::to_string(calls_.size()) : UuidV7(skewed, calls_.size());
    calls_.push_back(call);
  }

  void Attempt(Call& call) {
    schema::ClaimRequest request;
    request.set_customer("c");
    request.set_idempotency_key(call.key);
    request.set_request_sha256(std::string(32, 'r'));
    request.set_attempt_sequence(++attempts_);
    request.set_deadline_unix_ms(now_ + 30'000);
    call.last_attempt = request;
    const schema::CommandResult result = table_.Claim(request, common::LogIndex(++index_), now_);
    CheckAnswer(call, result);
    if (result.code() == schema::RESULT_CODE_OK) ExecuteGranted(call, request);
  }

  /// Delivers a copy of the last claim. The entry does not execute the attempt a second time.
  void Resend(Call& call) {
    const schema::CommandResult result =
        table_.Claim(call.last_attempt, common::LogIndex(++index_), now_);
    CheckAnswer(call, result);
  }

  void ExecuteGranted(Call& call, const schema::ClaimRequest& request) {
    schema::CompleteClaim complete;
    complete.set_customer("c");
    complete.set_idempotency_key(call.key);
    complete.set_attempt_sequence(request.attempt_sequence());
    if (random_.Chance(0.3)) {
      complete.set_outcome(schema::CompleteClaim::OUTCOME_NOT_RUN);
    } else {
      ++call.executions;
      if (random_.Chance(0.3)) return;  // the entry fails before it reports the outcome
      call.answer = "answer " + std::to_string(request.attempt_sequence());
      complete.set_outcome(schema::CompleteClaim::OUTCOME_ANSWERED);
      complete.mutable_answer()->set_body(call.answer);
    }
    for (std::uint64_t copies = 1 + random_.Below(2); copies > 0; --copies) {
      EXPECT_EQ(table_.Complete(complete, common::LogIndex(++index_)).code(),
                schema::RESULT_CODE_OK);
    }
  }

  void CheckAnswer(const Call& call, const schema::CommandResult& result) {
    if (result.code() != schema::RESULT_CODE_ANSWERED) return;
    if (call.executions != 1 || result.answer().body() != call.answer) ++wrong_answers_;
  }

  common::Random random_;
  ClaimTable table_;
  std::uint64_t now_ = kStartMs;
  std::uint64_t attempts_ = 0;
  std::uint64_t index_ = 0;
  int wrong_answers_ = 0;
  std::vector<Call> calls_;
};

// I10: guards against a call that is executed twice or gets a different answer when messages are
// lost, repeated or delayed, or when the table is restored from a snapshot.
TEST(ClaimTablePropertyTest, I10CallIsExecutedAtMostOnceAndKeepsItsAnswer) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    ClaimSimulation sim(seed);
    for (int step = 0; step < 1500; ++step) sim.Step();
    EXPECT_EQ(sim.wrong_answers(), 0) << "seed " << seed;
    for (const Call& call : sim.calls()) EXPECT_LE(call.executions, 1) << seed << " " << call.key;
  }
}

schema::ClaimRequest Request(const std::string& key, char body, std::uint64_t attempt) {
  schema::ClaimRequest request;
  request.set_customer("c");
  request.set_idempotency_key(key);
  request.set_request_sha256(std::string(32, body));
  request.set_attempt_sequence(attempt);
  request.set_deadline_unix_ms(kStartMs + 1000);
  return request;
}

// Guards against result codes other than those in the table of section 7 of the design, from which
// entries derive their responses.
TEST(ClaimTableTest, CodesForRunningConflictUnknownAndExpired) {
  ClaimTable table;
  const auto claim = [&](const std::string& key, char body, std::uint64_t attempt,
                         std::uint64_t now) {
    return table.Claim(Request(key, body, attempt), common::LogIndex(attempt), now).code();
  };
  EXPECT_EQ(claim("k", 'a', 1, kStartMs), schema::RESULT_CODE_OK);
  EXPECT_EQ(claim("k", 'a', 1, kStartMs), schema::RESULT_CODE_OK);
  EXPECT_EQ(claim("k", 'a', 2, kStartMs), schema::RESULT_CODE_RUNNING);
  EXPECT_EQ(claim("k", 'b', 3, kStartMs), schema::RESULT_CODE_CONFLICT);
  EXPECT_EQ(claim("k", 'a', 4, kStartMs + 1000), schema::RESULT_CODE_OUTCOME_UNKNOWN);
  EXPECT_EQ(claim("k", 'a', 5, kStartMs + 25 * kHourMs), schema::RESULT_CODE_EXPIRED);
  EXPECT_EQ(claim(UuidV7(kStartMs, 1), 'a', 6, kStartMs + 24 * kHourMs),
            schema::RESULT_CODE_EXPIRED);
  EXPECT_EQ(claim(UuidV7(kStartMs + 900 * kHourMs, 1), 'a', 7, kStartMs + 30 * kHourMs),
            schema::RESULT_CODE_INVALID);
}

// Guards against a large answer that is stored in the snapshot, whole or truncated.
TEST(ClaimTableTest, AnswerAboveTheLimitIsNotKeptInPart) {
  ClaimTable table;
  table.Claim(Request("k", 'a', 1), common::LogIndex(1), kStartMs);
  schema::CompleteClaim complete;
  complete.set_customer("c");
  complete.set_idempotency_key("k");
  complete.set_attempt_sequence(1);
  complete.set_outcome(schema::CompleteClaim::OUTCOME_ANSWERED);
  complete.mutable_answer()->set_body(std::string(ClaimTable::kMaxAnswerBytes + 1, 'x'));
  table.Complete(complete, common::LogIndex(2));
  const auto result = table.Claim(Request("k", 'a', 2), common::LogIndex(3), kStartMs);
  EXPECT_EQ(result.code(), schema::RESULT_CODE_ANSWERED);
  EXPECT_FALSE(result.has_answer());
}

}  // namespace
}  // namespace briarwood::control
