#include "briarwood/requests/idempotent_call.h"

#include <algorithm>
#include <utility>

namespace briarwood::requests {
namespace {

std::uint64_t ToUnsigned(common::UnixMillis wall) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(wall.count(), 0));
}

CallAction MakeError(CallerErrorCode code, std::string message, schema::RunState run) {
  return ReplyError{CallerError{.code = code, .message = std::move(message), .run = run}};
}

// \returns an answer that reports to resends that the call ran. Stored in place of an answer that
// is too large.
schema::StoredAnswer AnswerNotKept() {
  const CallerError error{.code = CallerErrorCode::kAnswerNotKept,
                          .message = "the call ran; its answer is larger than 64 KiB and not kept",
                          .run = schema::RUN_STATE_RAN};
  schema::StoredAnswer answer;
  answer.set_status(HttpStatus(error.code));
  answer.set_content_type("application/json");
  answer.set_body(ToJson(error, common::RequestId{}));
  return answer;
}

}  // namespace

CallActions IdempotentCall::Start(common::Time now, common::UnixMillis wall) {
  state_ = State::kClaiming;
  schema::ClaimRequest& claim = *last_command_.mutable_claim();
  claim.set_customer(identity_.customer.value());
  claim.set_idempotency_key(identity_.idempotency_key);
  claim.set_request_sha256(identity_.request_sha256);
  claim.set_entry_incarnation(identity_.entry.value());
  claim.set_attempt_sequence(identity_.sequence);
  claim.set_now_unix_ms(ToUnsigned(wall));
  const auto left = std::chrono::duration_cast<common::UnixMillis>(deadline_ - now);
  claim.set_deadline_unix_ms(ToUnsigned(wall + left));
  return {ProposeCommand{last_command_}};
}

CallActions IdempotentCall::OnResult(const schema::CommandResult& result) {
  if (state_ == State::kClaiming) return OnClaimResult(result);
  if (state_ == State::kCompleting) return End(*std::exchange(reply_, std::nullopt));
  return {};
}

CallActions IdempotentCall::OnClaimResult(const schema::CommandResult& result) {
  switch (result.code()) {
    case schema::RESULT_CODE_OK:
      state_ = State::kDispatched;
      return {DispatchCall{}};
    case schema::RESULT_CODE_ANSWERED:
      return End(ReplyAnswer{result.answer()});
    case schema::RESULT_CODE_RUNNING:
      return End(MakeError(CallerErrorCode::kStillRunning,
                           "a call with this idempotency key is still running",
                           schema::RUN_STATE_UNKNOWN));
    case schema::RESULT_CODE_OUTCOME_UNKNOWN:
      return End(MakeError(CallerErrorCode::kOutcomeUnknown,
                           "it is not known whether the call with this idempotency key ran",
                           schema::RUN_STATE_UNKNOWN));
    case schema::RESULT_CODE_CONFLICT:
      return End(MakeError(CallerErrorCode::kIdempotencyConflict,
                           "the idempotency key was used for a different request",
                           schema::RUN_STATE_NOT_RUN));
    case schema::RESULT_CODE_EXPIRED:
      // The first call with this key may have run, so the run state is not "not_run".
      return End(MakeError(CallerErrorCode::kIdempotencyKeyExpired,
                           "the idempotency key is older than 24 hours; nothing ran now",
                           schema::RUN_STATE_UNKNOWN));
    default:
      return End(MakeError(CallerErrorCode::kInvalidRequest,
                           "the claim was refused: " + result.message(),
                           schema::RUN_STATE_NOT_RUN));
  }
}

CallActions IdempotentCall::OnProposalFailed(common::Time now) {
  if (state_ != State::kClaiming && state_ != State::kCompleting) return {};
  if (now < deadline_) return {ProposeCommand{last_command_}};
  if (state_ == State::kCompleting) return End(*std::exchange(reply_, std::nullopt));
  // The claim may still be committed later; a resend with the same key then finds it without an
  // outcome.
  return End(MakeError(CallerErrorCode::kControlUnavailable,
                       "the control leader did not confirm the claim in time",
                       schema::RUN_STATE_NOT_RUN));
}

CallActions IdempotentCall::OnOutcome(const CallOutcome& outcome, common::UnixMillis wall) {
  if (state_ != State::kDispatched) return {};
  if (const auto* answered = std::get_if<CallAnswered>(&outcome)) {
    reply_ = ReplyAnswer{answered->answer};
    if (answered->answer.body().size() <= kMaxStoredAnswerBytes) {
      return Complete(schema::CompleteClaim::OUTCOME_ANSWERED, &answered->answer, wall);
    }
    const schema::StoredAnswer not_kept = AnswerNotKept();
    return Complete(schema::CompleteClaim::OUTCOME_ANSWERED, &not_kept, wall);
  }
  if (const auto* not_run = std::get_if<CallNotRun>(&outcome)) {
    reply_ = ReplyError{not_run->error};
    return Complete(schema::CompleteClaim::OUTCOME_NOT_RUN, nullptr, wall);
  }
  reply_ = MakeError(CallerErrorCode::kOutcomeUnknown,
                     std::get<CallOutcomeUnknown>(outcome).message, schema::RUN_STATE_UNKNOWN);
  return Complete(schema::CompleteClaim::OUTCOME_UNKNOWN, nullptr, wall);
}

CallActions IdempotentCall::Complete(schema::CompleteClaim::Outcome outcome,
                                     const schema::StoredAnswer* answer, common::UnixMillis wall) {
  state_ = State::kCompleting;
  schema::CompleteClaim& complete = *last_command_.mutable_complete_claim();
  complete.set_customer(identity_.customer.value());
  complete.set_idempotency_key(identity_.idempotency_key);
  complete.set_entry_incarnation(identity_.entry.value());
  complete.set_attempt_sequence(identity_.sequence);
  complete.set_outcome(outcome);
  if (answer != nullptr) *complete.mutable_answer() = *answer;
  complete.set_now_unix_ms(ToUnsigned(wall));
  return {ProposeCommand{last_command_}};
}

CallActions IdempotentCall::End(CallAction reply) {
  state_ = State::kEnded;
  CallActions actions;
  actions.push_back(std::move(reply));
  return actions;
}

}  // namespace briarwood::requests
