#include "briarwood/requests/request_session.h"

#include <gtest/gtest.h>

#include "briarwood/common/random.h"

namespace briarwood::requests {
namespace {

using std::chrono::seconds;

constexpr common::Time kStart{};

RequestSession MakeSession(bool repeatable) {
  return RequestSession({.request = common::RequestId("r1"),
                         .entry = common::Incarnation(7),
                         .deadline = kStart + seconds(10),
                         .repeatable = repeatable});
}

schema::RunEvent Event(std::uint32_t attempt) {
  schema::RunEvent event;
  event.set_request_id("r1");
  event.set_entry_incarnation(7);
  event.set_attempt(attempt);
  return event;
}

schema::RunEvent Error(std::uint32_t attempt, schema::RunErrorCode code, schema::RunState run) {
  schema::RunEvent event = Event(attempt);
  event.mutable_error()->set_code(code);
  event.mutable_error()->set_run(run);
  return event;
}

// Guards against a stream that restarts from the beginning after a crash.
TEST(RequestSessionTest, ResumesAfterCrashAtTheNextToken) {
  RequestSession session = MakeSession(true);
  static_cast<void>(session.Enqueue());
  EXPECT_EQ(session.Place(), 1U);
  schema::RunEvent token = Event(1);
  token.mutable_token()->set_text("a");
  static_cast<void>(session.OnEvent(token, kStart));
  const SessionActions crashed = session.OnClosed(1, kStart);
  ASSERT_TRUE(std::holds_alternative<RequestRetry>(crashed.at(0)));
  session.RetryGranted(kStart + seconds(1));
  EXPECT_TRUE(session.Tick(kStart).empty());
  EXPECT_TRUE(std::holds_alternative<QueueRequest>(session.Tick(kStart + seconds(1)).at(0)));
  EXPECT_EQ(session.Place(), 2U);
  EXPECT_EQ(session.assembler().next_index(), 1U);
}

// Guards against "not_run" in an error if a previous attempt may have run (I9).
TEST(RequestSessionTest, I9RunStateCoversAllAttempts) {
  RequestSession session = MakeSession(true);
  static_cast<void>(session.Enqueue());
  static_cast<void>(session.Place());
  static_cast<void>(session.OnDispatchFailed(1, DispatchFailure::kUnknown, "reset", kStart));
  session.RetryGranted(kStart);
  static_cast<void>(session.Tick(kStart));
  static_cast<void>(session.Place());
  static_cast<void>(
      session.OnEvent(Error(2, schema::RUN_ERROR_CODE_FULL, schema::RUN_STATE_NOT_RUN), kStart));
  const SessionActions denied = session.RetryRejected();
  EXPECT_EQ(std::get<FailRequest>(denied.at(0)).error.run, schema::RUN_STATE_UNKNOWN);
}

// Guards against "not_run" for a request that is aborted while a backend server may hold it (I9).
TEST(RequestSessionTest, I9AbortAfterPlacementIsNotReportedAsNotRun) {
  RequestSession session = MakeSession(true);
  static_cast<void>(session.Enqueue());
  static_cast<void>(session.Place());
  const SessionActions actions = session.Tick(kStart + seconds(10));
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<CancelAttempt>(actions.at(0)));
  EXPECT_EQ(std::get<FailRequest>(actions.at(1)).error.run, schema::RUN_STATE_UNKNOWN);
}

// Guards against a wrong "not_run" after any order of rejections, failures and retries (I9), and
// against a second run of a non-retryable request (I10).
TEST(RequestSessionTest, I9I10RandomFailuresAreReportedCorrectly) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    common::Random random(seed);
    const bool repeatable = random.Chance(0.5);
    RequestSession session = MakeSession(repeatable);
    SessionActions actions = session.Enqueue();
    int may_have_run = 0;
    while (session.state() != RequestSession::State::kEnded) {
      const std::uint32_t attempt = session.Place();
      const std::uint64_t outcome = random.Below(4);
      if (outcome == 0) {
        actions = session.OnEvent(
            Error(attempt, schema::RUN_ERROR_CODE_FULL, schema::RUN_STATE_NOT_RUN), kStart);
      } else if (outcome == 1) {
        actions =
            session.OnDispatchFailed(attempt, DispatchFailure::kNotSent, "no connection", kStart);
      } else if (outcome == 2) {
        ++may_have_run;
        actions = session.OnDispatchFailed(attempt, DispatchFailure::kUnknown, "reset", kStart);
      } else {
        ++may_have_run;
        actions = session.Abort(CallerErrorCode::kKeyWithdrawn, "withdrawn");
      }
      if (session.state() == RequestSession::State::kRetryRequested) {
        session.RetryGranted(kStart);
        actions = session.Tick(kStart);
      }
    }
    const CallerError& error = std::get<FailRequest>(actions.back()).error;
    EXPECT_EQ(error.run == schema::RUN_STATE_NOT_RUN, may_have_run == 0) << "seed " << seed;
    EXPECT_TRUE(repeatable || may_have_run <= 1) << "seed " << seed;
  }
}

// Guards against a retry of a non-retryable request that may have run (I10).
TEST(RequestSessionTest, I10NonRetryableRequestIsAttemptedAgainOnlyIfItDidNotRun) {
  RequestSession session = MakeSession(false);
  static_cast<void>(session.Enqueue());
  static_cast<void>(session.Place());
  const SessionActions rejected =
      session.OnEvent(Error(1, schema::RUN_ERROR_CODE_FULL, schema::RUN_STATE_NOT_RUN), kStart);
  EXPECT_TRUE(std::get<RequestRetry>(rejected.at(0)).exempt_from_budget);
  session.RetryGranted(kStart);
  static_cast<void>(session.Tick(kStart));
  static_cast<void>(session.Place());
  const SessionActions unreachable =
      session.OnDispatchFailed(2, DispatchFailure::kUnknown, "reset", kStart);
  EXPECT_EQ(std::get<FailRequest>(unreachable.at(0)).error.run, schema::RUN_STATE_UNKNOWN);
}

}  // namespace
}  // namespace briarwood::requests
