#include <algorithm>
#include <boost/asio/post.hpp>

#include "forwarding/impl/exchange.h"
#include "forwarding/impl/exchange_support.h"

namespace briarwood::forwarding::impl {

bool Exchange::TryRetry(bool may_have_run) {
  const common::Time now = common::BootClock::now();
  if (!MayRetry(may_have_run, now) || !HasServerToGoOn()) return false;
  // After an attempt that never arrived, a further one does not count against the retry budget,
  // which metrics and settings call the repeat budget.
  uncharged_retry_ = may_have_run || last_attempt_rejected_;
  if (!ChargeRetry(now)) {
    if (!response_started_) return false;
    WaitForRetry(now);
  } else if (sent_attempts_ < kMaxAttempts) {
    QueueRetry(now);
  } else {
    WaitForRetry(now);
  }
  return true;
}

bool Exchange::ChargeRetry(common::Time now) {
  if (!uncharged_retry_) return true;
  if (!owner_.retry_budget_.TryRetry(service_, now)) {
    owner_.metrics_.CountEvent("repeat_budget_spent");
    return false;
  }
  uncharged_retry_ = false;
  return true;
}

void Exchange::WaitForRetry(common::Time now) {
  state_ = State::kWaiting;
  retry_at_ = now + retry_interval_;
  // An attempt that reaches no server costs nothing, unlike a rejected one.
  if (last_attempt_rejected_ || uncharged_retry_) {
    retry_interval_ = std::min(2 * retry_interval_, kMaxRetryInterval);
  }
}

void Exchange::EndWait(common::Time now) {
  if (deadline_ - now < kMinTimeLeft) {
    Fail(kGatewayTimeout, "no_backend_in_time");
  } else if (!HasServerToGoOn()) {
    Fail(kBadGateway, "no_server_of_version");
  } else if (now >= retry_at_) {
    ChargeRetry(now) ? QueueRetry(now) : WaitForRetry(now);
  }
}

bool Exchange::MayRetry(bool may_have_run, common::Time now) const {
  if (state_ == State::kEnded || disconnected_) return false;
  // A response that has started is lost without a further attempt; other callers may go to another
  // entry at once.
  if (!response_started_ && sent_attempts_ >= kMaxAttempts) return false;
  // Without an id of the last event, the next server would start the stream again.
  if (response_started_ && !last_event_) return false;
  if (deadline_ - now < kMinTimeLeft) return false;
  if (may_have_run && !retryable()) return false;
  if (is_trial_ && (may_have_run || last_attempt_rejected_)) return false;
  return may_have_run_on_.size() < std::max(route_->max_attempts(), 1U);
}

common::Time Exchange::RetryQueueDeadline(common::Time now) const {
  // Giving up a response that has started loses it.
  if (response_started_) return deadline_ - kMinTimeLeft;
  return now + common::FromSeconds(common::ToSeconds(deadline_ - now) * kMaxQueueShare);
}

void Exchange::QueueRetry(common::Time now) {
  last_attempt_rejected_ = false;
  state_ = State::kQueued;
  queued_at_ = now;
  Forwarder::ServiceState& state = owner_.StateOf(service_);
  const std::uint64_t resume_from = last_event_.value_or(0);
  if (pinned_version_) {
    state.scheduler.Finish(id());
    routing::QueuedRequest queued = MakeQueuedRequest(RetryQueueDeadline(now));
    queued.resume_from = resume_from;
    queued.avoid = last_backend_;
    queued.interruptions = sent_attempts_;
    state.scheduler.SetClass(QueuePolicy());
    owner_.HandleDropped(state, state.scheduler.Enqueue(std::move(queued), now));
  } else {
    state.scheduler.Requeue(id(), resume_from, last_backend_, RetryQueueDeadline(now));
  }
  boost::asio::post(owner_.loop_, [weak = weak_from_this()] {
    if (const auto exchange = weak.lock()) exchange->owner_.DispatchQueued(exchange->service_);
  });
}

}  // namespace briarwood::forwarding::impl
