#include "briarwood/routing/customer_limits.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

constexpr double kSecondsPerMinute = 60;
/// Bucket size in seconds of the share: large enough for short bursts, small enough that little
/// unused allowance accumulates when a share moves between entries.
constexpr double kBurstSeconds = 10;

double BucketSize(double per_minute) {
  return std::max(1.0, per_minute / kSecondsPerMinute * kBurstSeconds);
}

double RefilledLevel(double level, double per_minute, double elapsed_s) {
  return std::min(level + per_minute / kSecondsPerMinute * elapsed_s, BucketSize(per_minute));
}

common::Duration TimeToReach(double level, double target, double per_minute) {
  constexpr double kMaxSeconds = 60;
  if (per_minute <= 0) return common::FromSeconds(kMaxSeconds);
  const double seconds = (target - level) / per_minute * kSecondsPerMinute;
  return common::FromSeconds(std::clamp(seconds, 0.0, kMaxSeconds));
}

}  // namespace

void CustomerLimits::SetLimits(const common::CustomerId& customer, const Limits& limits) {
  customers_[customer].limits = limits;
}

void CustomerLimits::SetShare(const common::CustomerId& customer, const Limits& share,
                              common::Time lease_end) {
  CustomerState& state = customers_[customer];
  state.share = share;
  state.lease_end = lease_end;
}

Limits CustomerLimits::EffectiveOf(const CustomerState& state, common::Time now) const {
  if (state.lease_end && now < *state.lease_end) return state.share;
  const auto parts = static_cast<double>(std::max<std::size_t>(entries_, 1));
  return {.requests_per_minute = state.limits.requests_per_minute / parts,
          .tokens_per_minute = state.limits.tokens_per_minute / parts,
          .concurrency = state.limits.concurrency / parts};
}

Limits CustomerLimits::Effective(const common::CustomerId& customer, common::Time now) const {
  const auto found = customers_.find(customer);
  return found == customers_.end() ? Limits{} : EffectiveOf(found->second, now);
}

void CustomerLimits::Refill(CustomerState& state, const Limits& effective, common::Time now) {
  const double elapsed_s = state.refilled_at ? common::ToSeconds(now - *state.refilled_at) : 0;
  state.refilled_at = now;
  state.request_level =
      RefilledLevel(state.request_level, effective.requests_per_minute, elapsed_s);
  state.token_level = RefilledLevel(state.token_level, effective.tokens_per_minute, elapsed_s);
}

LimitDecision CustomerLimits::TryAdmit(const common::CustomerId& customer, double estimated_tokens,
                                       common::Time now) {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) return {};
  CustomerState& state = found->second;
  const Limits effective = EffectiveOf(state, now);
  Refill(state, effective, now);
  if (state.limits.concurrency > 0 &&
      static_cast<double>(state.running) + 1 > std::max(effective.concurrency, 0.0)) {
    return {.verdict = LimitVerdict::kConcurrency, .retry_after = std::chrono::seconds(1)};
  }
  if (state.limits.requests_per_minute > 0 && state.request_level < 1) {
    return {.verdict = LimitVerdict::kRequestRate,
            .retry_after = TimeToReach(state.request_level, 1, effective.requests_per_minute)};
  }
  // A request may make the level negative; otherwise a request larger than the bucket would never
  // be admitted.
  if (state.limits.tokens_per_minute > 0 && state.token_level <= 0) {
    return {.verdict = LimitVerdict::kTokenRate,
            .retry_after = TimeToReach(state.token_level, 1, effective.tokens_per_minute)};
  }
  ++state.running;
  if (state.limits.requests_per_minute > 0) state.request_level -= 1;
  if (state.limits.tokens_per_minute > 0) state.token_level -= estimated_tokens;
  return {};
}

void CustomerLimits::Finish(const common::CustomerId& customer, double estimated_tokens,
                            double served_tokens) {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) return;
  CustomerState& state = found->second;
  if (state.running > 0) --state.running;
  if (state.limits.tokens_per_minute > 0) state.token_level += estimated_tokens - served_tokens;
}

}  // namespace briarwood::routing
