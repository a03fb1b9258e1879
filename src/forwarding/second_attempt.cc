#include <utility>

#include "briarwood/observability/log_line.h"
#include "forwarding/impl/exchange.h"
#include "forwarding/impl/exchange_support.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;

namespace {

std::string_view NameOf(SecondAttempt::Outcome outcome) {
  switch (outcome) {
    case SecondAttempt::Outcome::kWon:
      return "won";
    case SecondAttempt::Outcome::kLost:
      return "lost";
    case SecondAttempt::Outcome::kFirstFailed:
      return "first_failed";
    case SecondAttempt::Outcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace

void Exchange::ScheduleSecondAttempt(common::Time now) {
  if (!owner_.second_attempts_.enabled() || !retryable() || is_trial_) return;
  // A stream that is resumed runs at a server that has its state.
  if (last_event_) return;
  second_attempt_.first_sent_at = now;
  const auto delay =
      owner_.second_attempts_.Delay(route_->id(), FirstEventStallTimeout(*route_), now);
  if (delay) second_attempt_.due_at = now + *delay;
}

void Exchange::StartSecondAttempt(common::Time now) {
  second_attempt_.due_at.reset();
  if (silent_attempt_ || sent_attempts_ != 1 || response_started_) return;
  if (attempt_->has_progress || !attempt_->IsExpectingProgress()) return;
  if (!MayRetry(/*may_have_run=*/true, now)) return;
  if (owner_.crash_guard_.HasEvidence(crash_properties_)) return;
  routing::SecondAttemptPolicy& policy = owner_.second_attempts_;
  if (!policy.LeavesAttempts(route_->max_attempts(), CountServersUsed())) return;
  if (!policy.MayStart(service_)) return;
  routing::PlacementRequest request = MakeReplacementRequest();
  request.may_preempt = false;
  if (request.work > 1 && !Prompts().Admits(request.work, request.tier)) {
    owner_.OnLoadSign(service_, routing::LoadSign::kPromptLimit, now);
    return;
  }
  request.avoid_domain = owner_.DomainOf(attempt_->backend_server);
  auto choice = PickReplacement(request, now);
  if (!choice) {
    request.avoid_domain = {};
    choice = PickReplacement(request, now);
  }
  if (!choice || !owner_.retry_budget_.TryRetry(service_, now)) return;
  policy.OnStarted(service_);
  if (!StartBeside(choice->id, request.work, now)) {
    policy.Refund(service_);
    return;
  }
  second_attempt_.open = true;
  second_attempt_.started_at = now;
  owner_.metrics_.CountEvent("second_attempt");
  owner_.log_.Info(LogLine("second_attempt")
                       .Add("request", facts_.id)
                       .Add("route", route_->id())
                       .Add("backend", silent_attempt_->backend_server.value())
                       .Add("second", choice->id.value())
                       .Add("delay_ms", Millis(now - second_attempt_.first_sent_at))
                       .text());
}

bool Exchange::EndSecondAttempt(SecondAttempt::Outcome outcome) {
  if (!std::exchange(second_attempt_.open, false)) return false;
  if (outcome == SecondAttempt::Outcome::kWon) owner_.metrics_.CountEvent("second_attempt_won");
  owner_.log_.Info(
      LogLine("second_attempt_end")
          .Add("request", facts_.id)
          .Add("outcome", NameOf(outcome))
          .Add("after_ms", Millis(common::BootClock::now() - *second_attempt_.started_at))
          .text());
  return true;
}

void Exchange::ObserveAnswerTime(common::Time now) {
  const std::uint32_t attempts = second_attempt_.started_at ? 2 : 1;
  // A retry does not show how long answers take.
  if (second_attempt_.first_sent_at == common::Time() || sent_attempts_ != attempts) return;
  if (!IsSuccess(attempt_->head.status)) return;
  owner_.second_attempts_.OnAnswer(route_->id(), now - second_attempt_.first_sent_at, now);
}

}  // namespace briarwood::forwarding::impl
