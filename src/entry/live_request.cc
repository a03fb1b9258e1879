#include "entry/impl/live_request.h"

#include <algorithm>
#include <utility>

#include "briarwood/http/heads.h"
#include "briarwood/requests/run_codec.h"

namespace briarwood::entry::impl {
namespace {

using requests::CallerError;
using requests::CallerErrorCode;

// Agents respond immediately, whatever their backend servers do, so a missing response means that
// the agent or its VM is unreachable.
constexpr std::chrono::seconds kAcceptTimeout{3};
// Also bounds the retries that are not charged to the retry budget: a request that this many full
// servers have rejected fails.
constexpr std::uint32_t kMaxAttempts = 64;
// Time for storing the answer of a call after the deadline of the request.
constexpr std::chrono::seconds kCompletionGracePeriod{2};
constexpr std::chrono::milliseconds kTrialRetryDelay{200};
constexpr std::chrono::seconds kRetryAfterDelay{1};
// Size of the range of trial numbers of one request. The trials of a request need distinct numbers,
// and no request needs more trials.
constexpr std::uint64_t kMaxTrialsPerRequest = 256;
// A caller that reads more slowly than the engine writes is treated as disconnected when this many
// bytes are buffered for it.
constexpr std::size_t kMaxBufferedBytes = std::size_t{4} * 1024 * 1024;

common::Time Now() { return common::BootClock::now(); }

common::UnixMillis WallNow() {
  return common::UnixMillis(static_cast<std::int64_t>(proposals::WallClockMillis()));
}

bool ShouldRetryLater(CallerErrorCode code) {
  return requests::HttpStatus(code) == http::ToNumber(http::Status::kUnavailable) ||
         code == CallerErrorCode::kStillRunning;
}

}  // namespace

LiveRequest::LiveRequest(RequestPlan plan, std::shared_ptr<http::Exchange> exchange,
                         std::shared_ptr<const RequestServices> services)
    : plan_(std::move(plan)),
      exchange_(std::move(exchange)),
      services_(std::move(services)),
      series_(services_->metrics->Series(plan_.customer, plan_.queued.class_id)),
      session_({.request = plan_.id,
                .entry = services_->incarnation,
                .deadline = plan_.deadline,
                .repeatable = !plan_.identity.has_value(),
                .max_attempts = kMaxAttempts}) {}

void LiveRequest::Start() {
  exchange_->OnFinished([weak = weak_from_this()](bool delivered) {
    const auto self = weak.lock();
    if (self && !delivered) self->HandleCallerDisconnected();
  });
  const std::lock_guard lock(mutex_);
  if (!plan_.identity) {
    Begin();
    return;
  }
  call_.emplace(*plan_.identity, plan_.deadline);
  ApplyCall(call_->Start(Now(), WallNow()));
}

void LiveRequest::Begin() {
  if (plan_.suspect) {
    ProposeTrial();
  } else {
    Apply(session_.Enqueue());
  }
}

void LiveRequest::OnPlaced(const PlacedRequest& placed) {
  const std::lock_guard lock(mutex_);
  const common::Time now = Now();
  if (session_.state() != requests::RequestSession::State::kQueued) {
    services_->dispatcher->EndAttempt(plan_.id, AttemptOutcome::kInconclusive, now);
    services_->dispatcher->Finish(plan_.id);
    return;
  }
  const std::uint32_t attempt = session_.Place();
  if (attempt == 1) series_.QueueTime(now - plan_.arrived);
  placed_at_ = now;
  billing_sequence_ = services_->next_billing_sequence();
  server_ = placed.server;
  agent_address_ = services_->agent_address(placed.server);
  if (agent_address_.empty()) {
    Apply(session_.OnDispatchFailed(attempt, requests::DispatchFailure::kNotSent,
                                    "the backend server has left", now));
    return;
  }
  DispatchAttempt(agent_address_, MakeAttempt(attempt, placed.floor_protected));
}

void LiveRequest::OnDropped(routing::DropReason reason) {
  const std::lock_guard lock(mutex_);
  if (session_.state() != requests::RequestSession::State::kQueued) return;
  switch (reason) {
    case routing::DropReason::kQueueFull:
      Apply(session_.Abort(CallerErrorCode::kOverloaded, "the queue of the class is full"));
      return;
    case routing::DropReason::kFirstTokenLate:
      Apply(session_.Abort(CallerErrorCode::kOverloaded,
                           "the first token would come later than the target of the class"));
      return;
    case routing::DropReason::kDeadline:
      Apply(session_.Abort(CallerErrorCode::kDeadlineExceeded,
                           "the deadline of the request has passed"));
      return;
  }
}

void LiveRequest::Tick(common::Time now) {
  const std::lock_guard lock(mutex_);
  if (ended_) return;
  if (trial_retry_at_ && now >= *trial_retry_at_) {
    trial_retry_at_.reset();
    ProposeTrial();
  }
  CheckAgent(now);
  // Until its claim is decided, the deadline of the proposal ends the call.
  if (call_ && call_->state() != requests::IdempotentCall::State::kDispatched) return;
  Apply(session_.Tick(now));
}

void LiveRequest::Abort(CallerErrorCode code, const std::string& message) {
  const std::lock_guard lock(mutex_);
  if (ended_) return;
  if (call_) {
    const auto state = session_.state();
    if (call_->state() == requests::IdempotentCall::State::kClaiming) {
      abort_before_dispatch_ = CallerError{.code = code, .message = message};
      return;
    }
    // Aborting a call that has been dispatched to a backend server would make its outcome unknown.
    if (call_->state() != requests::IdempotentCall::State::kDispatched ||
        state == requests::RequestSession::State::kPlaced ||
        state == requests::RequestSession::State::kStreaming) {
      return;
    }
  }
  Apply(session_.Abort(code, message));
}

void LiveRequest::HandleCallerDisconnected() {
  const std::lock_guard lock(mutex_);
  if (ended_ || std::exchange(caller_disconnected_, true) || call_) return;
  services_->metrics->CountEvent("caller_gone");
  Apply(session_.Abort(CallerErrorCode::kBackendFailed, "the caller is gone"));
}

// Claims of non-idempotent calls.

void LiveRequest::ApplyCall(requests::CallActions actions) {
  for (requests::CallAction& action : actions) {
    std::visit([this](const auto& value) { ApplyCallAction(value); }, action);
  }
}

void LiveRequest::ApplyCallAction(const requests::ProposeCommand& action) {
  const bool completing = action.command.has_complete_claim();
  const common::Time deadline =
      completing ? std::max(plan_.deadline, Now() + kCompletionGracePeriod) : plan_.deadline;
  services_->proposer->Propose(
      action.command, deadline,
      [self = shared_from_this()](const schema::ProposeResponse& response) {
        self->HandleProposal(response);
      });
}

void LiveRequest::ApplyCallAction(const requests::DispatchCall& /*action*/) {
  if (abort_before_dispatch_) {
    ApplyCall(call_->OnOutcome(requests::CallNotRun{*abort_before_dispatch_}, WallNow()));
    return;
  }
  Begin();
}

void LiveRequest::ApplyCallAction(const requests::ReplyAnswer& action) {
  RespondWhole(action.answer);
  End();
}

void LiveRequest::ApplyCallAction(const requests::ReplyError& action) {
  RespondError(action.error);
  End();
}

void LiveRequest::HandleProposal(const schema::ProposeResponse& response) {
  const std::lock_guard lock(mutex_);
  if (response.status() == schema::ProposeResponse::STATUS_APPLIED) {
    ApplyCall(call_->OnResult(response.result()));
  } else {
    // A proposal fails only at its deadline or when the process stops.
    ApplyCall(call_->OnProposalFailed(std::max(Now(), plan_.deadline)));
  }
}

// Trials of requests that are suspected of crashing engines.

void LiveRequest::ProposeTrial() {
  if (session_.state() == requests::RequestSession::State::kEnded) return;
  schema::Command command;
  schema::BeginTrial& trial = *command.mutable_begin_trial();
  *trial.mutable_fingerprint() = plan_.run.fingerprint();
  trial.set_entry_incarnation(services_->incarnation.value());
  trial_sequence_ = std::max(trial_sequence_, plan_.sequence * kMaxTrialsPerRequest) + 1;
  trial.set_attempt_sequence(trial_sequence_);
  const common::UnixMillis wall = WallNow();
  const auto remaining = std::chrono::duration_cast<common::UnixMillis>(plan_.deadline - Now());
  trial.set_now_unix_ms(static_cast<std::uint64_t>(wall.count()));
  trial.set_deadline_unix_ms(static_cast<std::uint64_t>((wall + remaining).count()));
  services_->proposer->Propose(
      std::move(command), plan_.deadline,
      [self = shared_from_this()](const schema::ProposeResponse& response) {
        self->HandleTrial(response);
      });
}

void LiveRequest::HandleTrial(const schema::ProposeResponse& response) {
  const std::lock_guard lock(mutex_);
  const bool ended = session_.state() == requests::RequestSession::State::kEnded;
  if (response.status() != schema::ProposeResponse::STATUS_APPLIED) {
    Apply(session_.Abort(CallerErrorCode::kControlUnavailable,
                         "the control leader did not grant the trial in time"));
    return;
  }
  switch (response.result().code()) {
    case schema::RESULT_CODE_OK:
      trial_granted_ = true;
      if (ended) {
        EndTrial(false);
        return;
      }
      plan_.queued.alone = true;
      plan_.queued.resume_from = session_.assembler().next_index();
      if (session_.state() == requests::RequestSession::State::kAdmitted) {
        Apply(session_.Enqueue());
      } else {
        EnqueueNow();
      }
      return;
    case schema::RESULT_CODE_RUNNING:
      trial_retry_at_ = Now() + kTrialRetryDelay;
      return;
    default:
      Apply(session_.Abort(CallerErrorCode::kRequestCrashesEngines,
                           "the request has crashed two engines and is refused for an hour"));
  }
}

void LiveRequest::EndTrial(bool cleared) {
  if (!std::exchange(trial_granted_, false)) return;
  schema::Command command;
  schema::EndTrial& trial = *command.mutable_end_trial();
  *trial.mutable_fingerprint() = plan_.run.fingerprint();
  trial.set_entry_incarnation(services_->incarnation.value());
  trial.set_attempt_sequence(trial_sequence_);
  trial.set_cleared(cleared);
  trial.set_now_unix_ms(proposals::WallClockMillis());
  // If the command is lost, other trials of the request wait until the deadline of this one.
  services_->proposer->Propose(std::move(command), Now() + kCompletionGracePeriod,
                               [](const schema::ProposeResponse&) {});
}

// Session.

void LiveRequest::Apply(requests::SessionActions actions) {
  for (requests::SessionAction& action : actions) {
    std::visit([this](const auto& value) { ApplyAction(value); }, action);
  }
}

void LiveRequest::ApplyAction(const requests::QueueRequest& action) {
  if (!action.is_retry) {
    EnqueueNow();
    return;
  }
  const schema::RunErrorCode code = session_.last_error().code();
  if (code == schema::RUN_ERROR_CODE_BACKEND_CRASHED) {
    // The crash ended the trial, if one was granted.
    trial_granted_ = false;
    services_->dispatcher->Finish(plan_.id);
    ProposeTrial();
    return;
  }
  const common::Time now = Now();
  const bool rejected = session_.last_error().run() == schema::RUN_STATE_NOT_RUN;
  if (rejected) {
    services_->dispatcher->PutBack(plan_.id, now);
  } else {
    services_->dispatcher->Requeue(plan_.id, session_.assembler().next_index(), now);
  }
  services_->request_dispatch();
}

void LiveRequest::EnqueueNow() {
  std::vector<routing::DroppedRequest> dropped =
      services_->dispatcher->Enqueue(plan_.queued, Now());
  if (!dropped.empty()) services_->notify_dropped(std::move(dropped));
  services_->request_dispatch();
}

void LiveRequest::ApplyAction(const requests::RequestRetry& action) {
  const common::Time now = Now();
  CloseAttempt(OutcomeOfFailure());
  Bill(nullptr);
  if (action.exempt_from_budget) {
    session_.RetryGranted(now);
    Apply(session_.Tick(now));
    return;
  }
  const std::optional<common::Duration> delay =
      services_->dispatcher->TryRetry(plan_.queued.class_id, session_.attempt(), now);
  if (!delay) {
    services_->metrics->CountEvent("retry_budget_spent");
    Apply(session_.RetryRejected());
    return;
  }
  services_->metrics->CountEvent("retry");
  session_.RetryGranted(now + *delay);
}

AttemptOutcome LiveRequest::OutcomeOfFailure() const {
  switch (session_.last_error().code()) {
    case schema::RUN_ERROR_CODE_FULL:
      return AttemptOutcome::kFull;
    case schema::RUN_ERROR_CODE_LEAVING:
    case schema::RUN_ERROR_CODE_NOT_READY:
    case schema::RUN_ERROR_CODE_PREEMPTED:
    case schema::RUN_ERROR_CODE_CANCELLED:
    case schema::RUN_ERROR_CODE_DEADLINE:
      return AttemptOutcome::kInconclusive;
    default:
      return AttemptOutcome::kFailure;
  }
}

void LiveRequest::ApplyAction(const requests::DeliverText& action) {
  RecordToken();
  if (!plan_.streamed || caller_disconnected_) return;
  if (!std::exchange(stream_started_, true)) {
    exchange_->StartStream(http::ToNumber(http::Status::kOk),
                           {{"Content-Type", "text/event-stream"},
                            {"Cache-Control", "no-cache"},
                            {"Briarwood-Request-Id", plan_.id.value()}});
  }
  if (!exchange_->Write(plan_.completion->Chunk(action.text)) ||
      exchange_->buffered_bytes() > kMaxBufferedBytes) {
    HandleCallerDisconnected();
  }
}

void LiveRequest::RecordToken() {
  const common::Time now = Now();
  if (last_token_at_ == common::Time{}) {
    series_.FirstToken(now - plan_.arrived);
    std::string version = services_->dispatcher->OnFirstToken(plan_.id, now - placed_at_);
    if (!version.empty()) plan_.queued.capability.model_version = std::move(version);
  } else {
    series_.TokenGap(now - last_token_at_);
  }
  last_token_at_ = now;
  services_->dispatcher->OnToken(plan_.id, now);
  services_->on_tokens(plan_.customer, 1);
}

void LiveRequest::ApplyAction(const requests::FinishRequest& action) {
  CloseAttempt(AttemptOutcome::kSuccess);
  Bill(&action.end);
  series_.Total(Now() - plan_.arrived);
  EndTrial(true);
  if (call_) {
    services_->dispatcher->Finish(plan_.id);
    services_->request_dispatch();
    ApplyCall(call_->OnOutcome(
        requests::CallAnswered{action.answer.value_or(schema::StoredAnswer{})}, WallNow()));
    return;
  }
  if (!plan_.completion) {
    RespondWhole(action.answer.value_or(schema::StoredAnswer{}));
  } else {
    services_->dispatcher->ObserveOutput(plan_.customer, plan_.queued.class_id,
                                         plan_.queued.capability.model, action.end.output_tokens());
    schema::RunEnd end = action.end;
    if (end.input_tokens() == 0) end.set_input_tokens(plan_.queued.input_tokens);
    if (stream_started_) {
      static_cast<void>(exchange_->Write(plan_.completion->LastChunk(end)));
      exchange_->End();
    } else if (plan_.streamed) {
      exchange_->StartStream(
          http::ToNumber(http::Status::kOk),
          {{"Content-Type", "text/event-stream"}, {"Briarwood-Request-Id", plan_.id.value()}});
      static_cast<void>(exchange_->Write(plan_.completion->LastChunk(end)));
      exchange_->End();
    } else {
      schema::StoredAnswer answer;
      answer.set_status(http::ToNumber(http::Status::kOk));
      answer.set_content_type("application/json");
      answer.set_body(plan_.completion->CompleteBody(session_.assembler().text(), end));
      RespondWhole(answer);
    }
  }
  End();
}

void LiveRequest::ApplyAction(const requests::FailRequest& action) {
  CloseAttempt(OutcomeOfFailure());
  Bill(nullptr);
  EndTrial(false);
  if (call_) {
    services_->dispatcher->Finish(plan_.id);
    services_->request_dispatch();
    if (action.error.run == schema::RUN_STATE_NOT_RUN) {
      ApplyCall(call_->OnOutcome(requests::CallNotRun{action.error}, WallNow()));
    } else {
      ApplyCall(call_->OnOutcome(requests::CallOutcomeUnknown{action.error.message}, WallNow()));
    }
    return;
  }
  RespondError(action.error);
  End();
}

void LiveRequest::ApplyAction(const requests::CancelAttempt& action) {
  CloseAttempt(AttemptOutcome::kInconclusive);
  if (agent_address_.empty() || call_) return;
  schema::CancelRequest cancel;
  cancel.set_request_id(plan_.id.value());
  cancel.set_entry_incarnation(services_->incarnation.value());
  cancel.set_attempt(action.attempt);
  services_->agents->Cancel(agent_address_, cancel);
  if (agent_call_) agent_call_->Cancel();
}

void LiveRequest::CloseAttempt(AttemptOutcome outcome) {
  services_->dispatcher->EndAttempt(plan_.id, outcome, Now());
}

void LiveRequest::Bill(const schema::RunEnd* end) {
  if (billing_sequence_ == 0) return;
  schema::BillingRecord record;
  record.mutable_id()->set_entry_incarnation(services_->incarnation.value());
  record.mutable_id()->set_sequence(std::exchange(billing_sequence_, 0));
  record.mutable_id()->set_attempt(session_.attempt());
  record.set_customer(plan_.customer.value());
  record.set_class_(plan_.queued.class_id.value());
  const routing::Capability& capability = plan_.queued.capability;
  record.set_model(plan_.completion ? capability.model.value() : capability.service);
  // Tokens of earlier attempts are in the records of those attempts.
  const std::uint64_t delivered = session_.assembler().next_index();
  record.set_output_tokens(delivered - std::exchange(billed_tokens_, delivered));
  const bool last = session_.state() == requests::RequestSession::State::kEnded;
  if (end != nullptr || (last && delivered != 0)) {
    const bool counted = end != nullptr && end->input_tokens() != 0;
    record.set_input_tokens(counted ? end->input_tokens() : plan_.queued.input_tokens);
    record.set_calls(1);
  }
  record.set_ended_unix_ms(proposals::WallClockMillis());
  services_->bill(record);
}

// Attempts.

schema::RunRequest LiveRequest::MakeAttempt(std::uint32_t attempt, bool floor_protected) const {
  schema::RunRequest request = plan_.run;
  request.set_request_id(plan_.id.value());
  request.set_entry_incarnation(services_->incarnation.value());
  request.set_attempt(attempt);
  request.set_billing_sequence(billing_sequence_);
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(plan_.deadline - placed_at_);
  request.set_deadline_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 1)));
  request.set_resume_from(session_.assembler().next_index());
  request.set_delivered_text(session_.assembler().text());
  request.set_alone(plan_.queued.alone);
  request.set_floor_protected(floor_protected);
  return request;
}

void LiveRequest::DispatchAttempt(const std::string& address, const schema::RunRequest& request) {
  const auto connection = std::make_shared<AttemptConnection>();
  connection->number = request.attempt();
  connection_ = connection;
  const auto self = shared_from_this();
  agent_call_ = services_->agents->Dispatch(
      address, request,
      {.on_head = [self, connection](
                      std::uint16_t status,
                      const http::Headers&) { self->HandleHead(connection, status); },
       .on_data = [self, connection](std::string_view data) { self->HandleData(connection, data); },
       .on_end = [self, connection](
                     const http::CallOutcome& outcome) { self->HandleEnd(connection, outcome); }});
}

void LiveRequest::CheckAgent(common::Time now) {
  const auto state = session_.state();
  const bool running = state == requests::RequestSession::State::kPlaced ||
                       state == requests::RequestSession::State::kStreaming;
  if (!running || !connection_ || !agent_call_) return;
  // A call that has been dispatched cannot be retried, and giving it up makes its outcome unknown.
  const bool unresponsive = !call_ && !connection_->responded && now - placed_at_ >= kAcceptTimeout;
  if (!unresponsive && !services_->dispatcher->IsDead(server_)) return;
  services_->metrics->CountEvent("agent_silent");
  connection_.reset();
  // HandleEnd reports the failure of the attempt.
  agent_call_->Cancel();
}

void LiveRequest::HandleHead(const ConnectionPtr& connection, std::uint16_t status) {
  connection->responded = true;
  connection->rejected = status != http::ToNumber(http::Status::kOk);
  if (!connection->rejected) return;
  // The agent streams events with status 200. It sends any other status before it forwards anything
  // to the backend server.
  const std::lock_guard lock(mutex_);
  Apply(session_.OnDispatchFailed(connection->number, requests::DispatchFailure::kNotSent,
                                  "the agent answered with status " + std::to_string(status),
                                  Now()));
}

void LiveRequest::HandleData(const ConnectionPtr& connection, std::string_view data) {
  if (connection->rejected) return;
  for (const std::string& line : connection->lines.Feed(data)) {
    const std::optional<schema::RunEvent> event = requests::DecodeRunEvent(line);
    if (event) HandleEvent(*event);
  }
}

void LiveRequest::HandleEvent(const schema::RunEvent& event) {
  const common::Time now = Now();
  if (event.has_load()) services_->dispatcher->Report(event.load(), now);
  const std::lock_guard lock(mutex_);
  Apply(session_.OnEvent(event, now));
}

void LiveRequest::HandleEnd(const ConnectionPtr& connection, const http::CallOutcome& outcome) {
  const std::lock_guard lock(mutex_);
  if (connection->rejected) return;
  if (connection->responded) {
    Apply(session_.OnClosed(connection->number, Now()));
    return;
  }
  const auto failure = outcome.certainly_not_sent ? requests::DispatchFailure::kNotSent
                                                  : requests::DispatchFailure::kUnknown;
  Apply(session_.OnDispatchFailed(connection->number, failure, "the agent did not answer", Now()));
}

// Replies.

void LiveRequest::RespondWhole(const schema::StoredAnswer& answer) {
  http::Headers headers = {{"Briarwood-Request-Id", plan_.id.value()}};
  if (!answer.content_type().empty()) headers["Content-Type"] = answer.content_type();
  const auto status = answer.status() == 0 ? http::ToNumber(http::Status::kBadGateway)
                                           : static_cast<std::uint16_t>(answer.status());
  if (http::PromisesNotRun(status)) {
    RespondError({.code = CallerErrorCode::kBackendFailed,
                  .message = "the service ran the request and answered with status " +
                             std::to_string(status),
                  .run = schema::RUN_STATE_RAN});
    return;
  }
  exchange_->Respond({.status = status, .headers = std::move(headers), .body = answer.body()});
}

void LiveRequest::RespondError(const CallerError& error) {
  services_->metrics->CountRefusal(requests::CodeName(error.code));
  if (stream_started_) {
    static_cast<void>(exchange_->Write(requests::ErrorEvent(error, plan_.id)));
    exchange_->End();
    return;
  }
  http::Headers headers = {{"Content-Type", "application/json"},
                           {"Briarwood-Request-Id", plan_.id.value()}};
  if (error.retry_after || ShouldRetryLater(error.code)) {
    headers["Retry-After"] = std::to_string(error.retry_after.value_or(kRetryAfterDelay).count());
  }
  exchange_->Respond({.status = requests::HttpStatus(error.code),
                      .headers = std::move(headers),
                      .body = requests::ToJson(error, plan_.id)});
}

void LiveRequest::End() {
  if (std::exchange(ended_, true)) return;
  const auto served = static_cast<double>(
      session_.assembler().next_index() +
      (session_.run() == schema::RUN_STATE_RAN ? plan_.queued.input_tokens : 0));
  services_->dispatcher->Finish(plan_.id);
  services_->dispatcher->Release(plan_.customer, plan_.estimated_tokens, served);
  services_->request_dispatch();
  services_->on_ended(plan_.id);
}

}  // namespace briarwood::entry::impl
