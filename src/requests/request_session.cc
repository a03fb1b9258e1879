#include "briarwood/requests/request_session.h"

#include <algorithm>
#include <utility>

namespace briarwood::requests {
namespace {

// Errors after which a retry does not count against the budget, as the attempt cost no engine time.
bool IsExemptFromBudget(schema::RunErrorCode code) noexcept {
  return code == schema::RUN_ERROR_CODE_FULL || code == schema::RUN_ERROR_CODE_LEAVING ||
         code == schema::RUN_ERROR_CODE_NOT_READY || code == schema::RUN_ERROR_CODE_PREEMPTED;
}

CallerErrorCode ToCallerCode(schema::RunErrorCode code) noexcept {
  switch (code) {
    case schema::RUN_ERROR_CODE_FULL:
    case schema::RUN_ERROR_CODE_PREEMPTED:
      return CallerErrorCode::kOverloaded;
    case schema::RUN_ERROR_CODE_LEAVING:
    case schema::RUN_ERROR_CODE_NOT_READY:
      return CallerErrorCode::kNoBackend;
    case schema::RUN_ERROR_CODE_DEADLINE:
      return CallerErrorCode::kDeadlineExceeded;
    case schema::RUN_ERROR_CODE_INVALID:
      return CallerErrorCode::kInvalidRequest;
    default:
      return CallerErrorCode::kBackendFailed;
  }
}

}  // namespace

SessionActions RequestSession::Enqueue() {
  state_ = State::kQueued;
  return {QueueRequest{.is_retry = false}};
}

std::uint32_t RequestSession::Place() {
  state_ = State::kPlaced;
  assembler_.BeginAttempt(++attempt_);
  return attempt_;
}

SessionActions RequestSession::OnEvent(const schema::RunEvent& event, common::Time now) {
  if (!AttemptRunning()) return {};
  StreamStep step = assembler_.Apply(event);
  if (std::holds_alternative<StreamAccepted>(step)) {
    state_ = State::kStreaming;
    return {};
  }
  if (auto* delivery = std::get_if<StreamDelivery>(&step)) {
    state_ = State::kStreaming;
    RecordRunState(schema::RUN_STATE_RAN);
    return {DeliverText{.index = delivery->index, .text = std::move(delivery->text)}};
  }
  if (auto* ended = std::get_if<StreamEnded>(&step)) {
    state_ = State::kEnded;
    RecordRunState(schema::RUN_STATE_RAN);
    return {FinishRequest{.end = ended->end, .answer = std::move(ended->answer)}};
  }
  if (auto* failed = std::get_if<StreamFailed>(&step)) return OnAttemptFailed(failed->error, now);
  return {};
}

SessionActions RequestSession::OnClosed(std::uint32_t attempt, common::Time now) {
  if (attempt != attempt_ || !AttemptRunning()) return {};
  const std::optional<StreamFailed> failed = assembler_.CloseAttempt();
  return failed ? OnAttemptFailed(failed->error, now) : SessionActions{};
}

SessionActions RequestSession::OnDispatchFailed(std::uint32_t attempt, DispatchFailure failure,
                                                const std::string& message, common::Time now) {
  if (attempt != attempt_ || !AttemptRunning()) return {};
  static_cast<void>(assembler_.CloseAttempt());
  schema::RunError error;
  error.set_code(schema::RUN_ERROR_CODE_BACKEND_UNREACHABLE);
  error.set_run(failure == DispatchFailure::kNotSent ? schema::RUN_STATE_NOT_RUN
                                                     : schema::RUN_STATE_UNKNOWN);
  error.set_message(message);
  return OnAttemptFailed(error, now);
}

void RequestSession::RetryGranted(common::Time retry_at) noexcept {
  if (state_ != State::kRetryRequested) return;
  state_ = State::kWaitingForRetry;
  retry_at_ = retry_at;
}

SessionActions RequestSession::RetryRejected() {
  if (state_ != State::kRetryRequested) return {};
  return Fail(ToCallerCode(last_error_.code()), last_error_.message());
}

SessionActions RequestSession::Tick(common::Time now) {
  if (state_ == State::kEnded) return {};
  if (now >= options_.deadline) {
    return Abort(CallerErrorCode::kDeadlineExceeded, "the deadline of the request has passed");
  }
  if (state_ != State::kWaitingForRetry || now < retry_at_) return {};
  state_ = State::kQueued;
  return {QueueRequest{.is_retry = true}};
}

SessionActions RequestSession::Abort(CallerErrorCode code, const std::string& message) {
  if (state_ == State::kEnded) return {};
  SessionActions actions;
  if (AttemptRunning()) {
    RecordRunState(schema::RUN_STATE_UNKNOWN);
    actions.emplace_back(CancelAttempt{.attempt = attempt_});
  }
  for (SessionAction& action : Fail(code, message)) actions.push_back(std::move(action));
  return actions;
}

SessionActions RequestSession::OnAttemptFailed(const schema::RunError& error, common::Time now) {
  // An error without a run state does not show whether the attempt ran.
  RecordRunState(error.run() == schema::RUN_STATE_UNSPECIFIED ? schema::RUN_STATE_UNKNOWN
                                                              : error.run());
  last_error_ = error;
  if (!MayRetry(error, now)) return Fail(ToCallerCode(error.code()), error.message());
  state_ = State::kRetryRequested;
  return {RequestRetry{.exempt_from_budget = IsExemptFromBudget(error.code())}};
}

SessionActions RequestSession::Fail(CallerErrorCode code, const std::string& message) {
  state_ = State::kEnded;
  return {FailRequest{CallerError{.code = code, .message = message, .run = run_}}};
}

bool RequestSession::MayRetry(const schema::RunError& error, common::Time now) const {
  if (now >= options_.deadline || attempt_ >= options_.max_attempts) return false;
  if (error.code() == schema::RUN_ERROR_CODE_INVALID ||
      error.code() == schema::RUN_ERROR_CODE_CANCELLED ||
      error.code() == schema::RUN_ERROR_CODE_DEADLINE) {
    return false;
  }
  return options_.repeatable || run_ == schema::RUN_STATE_NOT_RUN;
}

bool RequestSession::AttemptRunning() const noexcept {
  return state_ == State::kPlaced || state_ == State::kStreaming;
}

void RequestSession::RecordRunState(schema::RunState run) noexcept { run_ = std::max(run_, run); }

}  // namespace briarwood::requests
