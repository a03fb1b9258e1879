#include "briarwood/requests/idempotent_call.h"

#include <gtest/gtest.h>

namespace briarwood::requests {
namespace {

using std::chrono::seconds;

constexpr common::Time kStart{};
constexpr common::UnixMillis kWall{1000};

IdempotentCall MakeCall() {
  return IdempotentCall({.customer = common::CustomerId("c"),
                         .idempotency_key = "k",
                         .request_sha256 = "d",
                         .entry = common::Incarnation(7),
                         .sequence = 1},
                        kStart + seconds(10));
}

schema::CommandResult Result(schema::ResultCode code) {
  schema::CommandResult result;
  result.set_code(code);
  return result;
}

// Guards against a call that reaches a backend server without a committed claim (I10).
TEST(IdempotentCallTest, I10DispatchesOnceAndOnlyAfterTheClaim) {
  IdempotentCall call = MakeCall();
  EXPECT_TRUE(std::holds_alternative<ProposeCommand>(call.Start(kStart, kWall).at(0)));
  const CallActions again = call.OnProposalFailed(kStart);
  EXPECT_TRUE(std::holds_alternative<ProposeCommand>(again.at(0)));
  EXPECT_TRUE(
      std::holds_alternative<DispatchCall>(call.OnResult(Result(schema::RESULT_CODE_OK)).at(0)));
  EXPECT_TRUE(call.OnResult(Result(schema::RESULT_CODE_OK)).empty());
}

// Guards against a second run for a resend whose first call has not ended or has an unknown outcome
// (I10).
TEST(IdempotentCallTest, I10ResendIsNeverDispatched) {
  for (const auto code : {schema::RESULT_CODE_RUNNING, schema::RESULT_CODE_ANSWERED,
                          schema::RESULT_CODE_OUTCOME_UNKNOWN, schema::RESULT_CODE_CONFLICT,
                          schema::RESULT_CODE_EXPIRED}) {
    IdempotentCall call = MakeCall();
    static_cast<void>(call.Start(kStart, kWall));
    const CallActions actions = call.OnResult(Result(code));
    EXPECT_FALSE(std::holds_alternative<DispatchCall>(actions.at(0))) << code;
    EXPECT_EQ(call.state(), IdempotentCall::State::kEnded);
  }
}

// Guards against a claim that blocks its key although nothing ran, and against an answer that is
// not delivered.
TEST(IdempotentCallTest, CompletesTheClaimBeforeTheReply) {
  IdempotentCall call = MakeCall();
  static_cast<void>(call.Start(kStart, kWall));
  static_cast<void>(call.OnResult(Result(schema::RESULT_CODE_OK)));
  schema::StoredAnswer answer;
  answer.set_body(std::string(kMaxStoredAnswerBytes + 1, 'x'));
  const CallActions completing = call.OnOutcome(CallAnswered{answer}, kWall);
  const auto& command = std::get<ProposeCommand>(completing.at(0)).command;
  EXPECT_EQ(command.complete_claim().outcome(), schema::CompleteClaim::OUTCOME_ANSWERED);
  EXPECT_EQ(command.complete_claim().answer().status(), 409U);
  const CallActions reply = call.OnResult(Result(schema::RESULT_CODE_OK));
  EXPECT_EQ(std::get<ReplyAnswer>(reply.at(0)).answer.body().size(), kMaxStoredAnswerBytes + 1);
}

}  // namespace
}  // namespace briarwood::requests
