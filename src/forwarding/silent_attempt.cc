#include <algorithm>
#include <utility>

#include "briarwood/observability/log_line.h"
#include "forwarding/impl/exchange.h"
#include "forwarding/impl/exchange_support.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;

void Exchange::ReplaceSilentAttempt(common::Time now) {
  if (silent_attempt_) {
    NoteRun(*attempt_);
    attempt_->connection->Close();
    ReturnToSilentAttempt(AttemptResult::kFailure);
    return;
  }
  if (!replacement_pacer_.MayTry(now) || !MayRetry(/*may_have_run=*/true, now)) return;
  if (owner_.crash_guard_.HasEvidence(crash_properties_)) return;
  replacement_pacer_.OnTry(now);
  if (CountServersUsed() >= std::max(route_->max_attempts(), 1U)) return;
  const routing::PlacementRequest request = MakeReplacementRequest();
  if (request.work > 1 && !Prompts().Admits(request.work, request.tier)) return;
  const auto choice = PickReplacement(request, now);
  if (!choice || !owner_.retry_budget_.TryRetry(service_, now)) return;
  replacement_pacer_.OnReplaced();
  if (!StartBeside(choice->id, request.work, now)) return;
  owner_.metrics_.CountEvent("stalled");
  // "began" is true if the response has started, see Attempt::has_progress.
  owner_.log_.Warn(LogLine("attempt_stalled")
                       .Add("request", facts_.id)
                       .Add("backend", silent_attempt_->backend_server.value())
                       .Add("silent_ms", Millis(now - silent_attempt_->progress_at))
                       .Add("began", silent_attempt_->has_progress)
                       .Add("replacement", choice->id.value())
                       .text());
}

std::size_t Exchange::CountServersUsed() const {
  return may_have_run_on_.size() + (may_have_run_on_.contains(attempt_->backend_server) ? 0 : 1);
}

routing::PlacementRequest Exchange::MakeReplacementRequest() const {
  return {.capability = Capability(),
          .tier = attempt_->tier,
          .prefix_hash = PrefixHash(),
          .work = Work(),
          .memory = &memory_,
          .gap_target = GapTarget(),
          .first_event_target = PromptTarget(),
          .avoid = attempt_->backend_server};
}

std::optional<routing::PlacementChoice> Exchange::PickReplacement(
    const routing::PlacementRequest& request, common::Time now) {
  owner_.placement_.Refresh(now);
  return owner_.placement_.Pick(request, now);
}

bool Exchange::StartBeside(const common::BackendServerId& id, double work, common::Time now) {
  const common::Tier tier = attempt_->tier;
  owner_.placement_.OnSent(id, tier, /*alone=*/false, now, work, memory_);
  silent_attempt_ = std::exchange(attempt_, std::nullopt);
  if (StartAttempt(id, tier, work, now)) return true;
  owner_.retry_budget_.Refund(service_);
  attempt_ = std::exchange(silent_attempt_, std::nullopt);
  return false;
}

void Exchange::NoteRun(const Attempt& attempt) {
  if (attempt.connection->sent_at()) may_have_run_on_.insert(attempt.backend_server);
}

void Exchange::ReturnToSilentAttempt(AttemptResult result) {
  Release(*std::exchange(attempt_, std::nullopt), result);
  attempt_ = std::exchange(silent_attempt_, std::nullopt);
  if (EndSecondAttempt(SecondAttempt::Outcome::kLost)) return;
  owner_.log_.Info(LogLine("attempt_resumed")
                       .Add("request", facts_.id)
                       .Add("backend", attempt_->backend_server.value())
                       .Add("silent_ms", Millis(common::BootClock::now() - attempt_->progress_at))
                       .text());
}

void Exchange::ReleaseSilentAttempt(AttemptResult result) {
  EndSecondAttempt(state_ == State::kEnded ? SecondAttempt::Outcome::kCancelled
                                           : SecondAttempt::Outcome::kFirstFailed);
  silent_attempt_->connection->Close();
  Release(*std::exchange(silent_attempt_, std::nullopt), result);
}

void Exchange::GiveUpSilentAttempt() {
  if (EndSecondAttempt(SecondAttempt::Outcome::kWon)) {
    // A slow server is not at fault.
    NoteRun(*silent_attempt_);
    RecordSilence(*silent_attempt_);
    ReleaseSilentAttempt(AttemptResult::kInconclusive);
    return;
  }
  owner_.log_.Info(LogLine("attempt_replaced")
                       .Add("request", facts_.id)
                       .Add("backend", silent_attempt_->backend_server.value())
                       .Add("replacement", attempt_->backend_server.value())
                       .Add("after_ms", Millis(common::BootClock::now() - attempt_->started_at))
                       .text());
  NoteRun(*silent_attempt_);
  RecordSilence(*silent_attempt_);
  ReleaseSilentAttempt(AttemptResult::kFailure);
}

bool Exchange::IsDeliverable(const http::ResponseHead& head, const ResponseMetadata& facts) const {
  if (facts.not_executed || facts.is_misdirected) return false;
  if (IsSuccess(head.status)) {
    // A response that goes on with a stream is of the same type.
    return facts.has_signature && (!response_started_ || MediaTypeOf(head) == stream_media_type_);
  }
  return !response_started_ && !IsServerError(head.status) && !http::PromisesNotRun(head.status);
}

bool Exchange::OnSilentAttemptHead(const http::ResponseHead& head) {
  const ResponseMetadata facts = owner_.options_.codec.read_response(head);
  if (!BelongsToRequest(facts, *silent_attempt_)) {
    LogForeignResponse(facts, *silent_attempt_);
    return false;
  }
  if (!IsDeliverable(head, facts)) {
    RecordStatement(facts, *silent_attempt_);
    if (!facts.not_executed) may_have_run_on_.insert(silent_attempt_->backend_server);
    const bool full = facts.not_executed && !facts.is_misdirected;
    ReleaseSilentAttempt(full                   ? AttemptResult::kFull
                         : facts.is_misdirected ? AttemptResult::kFailure
                                                : AttemptResult::kSuccess);
    return true;
  }
  NoteRun(*attempt_);
  attempt_->connection->Close();
  ReturnToSilentAttempt(AttemptResult::kInconclusive);
  return OnHead(head);
}

void Exchange::OnSilentAttemptData(std::string_view data) {
  const std::uint64_t attempt = silent_attempt_->number;
  for (const StreamEvent& event : silent_attempt_->events.Feed(data)) {
    if (IsSilentAttempt(attempt)) {
      if (!IsProgress(event)) continue;
      NoteRun(*attempt_);
      attempt_->connection->Close();
      ReturnToSilentAttempt(AttemptResult::kInconclusive);
    }
    OnEvent(event);
    if (!IsCurrent(attempt)) return;
  }
  if (IsSilentAttempt(attempt) &&
      silent_attempt_->events.incomplete_event().size() > kMaxEventBytes) {
    OnSilentAttemptEnd(http::CallEnd::kOversized);
  }
}

void Exchange::OnSilentAttemptEnd(http::CallEnd end) {
  if (end == http::CallEnd::kNotSent) {
    owner_.placement_.OnNotSent(silent_attempt_->backend_server);
  } else {
    NoteRun(*silent_attempt_);
  }
  if (end == http::CallEnd::kComplete && silent_attempt_->streaming &&
      silent_attempt_->events.incomplete_event().empty()) {
    NoteRun(*attempt_);
    attempt_->connection->Close();
    ReturnToSilentAttempt(AttemptResult::kInconclusive);
    OnEnd(end);
    return;
  }
  owner_.metrics_.CountEvent(NameOf(end));
  LogFailedAttempt(*silent_attempt_, end);
  RecordCrash(*silent_attempt_, end);
  ReleaseSilentAttempt(AttemptResult::kFailure);
}

}  // namespace briarwood::forwarding::impl
