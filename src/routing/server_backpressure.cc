#include "briarwood/routing/server_backpressure.h"

#include <algorithm>
#include <utility>

namespace briarwood::routing {
namespace {

/// Requests per second of all entries at a server that states a lower limit. Without any request,
/// no entry would learn that the limit has ended.
constexpr double kMinLimit = 0.25;
/// Requests beyond the rate that a server bears at once: a fixed number, and those of a period at
/// the rate of the limit.
constexpr double kToleratedBurst = 5;
constexpr double kToleratedBurstSeconds = 1.5;
/// An entry that was idle may send the requests of this period at once.
constexpr common::Duration kBurstPeriod = std::chrono::milliseconds(100);
/// Length of a window, and its maximum share of the interval.
constexpr common::Duration kWindow = std::chrono::seconds(1);
constexpr int kMinIntervalWindows = 4;

/// Share of what a cold server tolerates beyond its rate within a second that the windows use; the
/// rest covers errors of the shared clock.
constexpr double kColdToleranceShare = 0.8;
/// Several times the interval at which queued requests are dispatched.
constexpr common::Duration kMinWindow = std::chrono::milliseconds(50);

/// \returns the requests beyond its rate that a cold server tolerates within one second.
double ToleratedBurst(const ColdLimit& limit) {
  return std::max(0.0, limit.overage - 1) * limit.requests_per_second + limit.slack;
}

}  // namespace

bool ServerBackpressure::OnStatement(const ServerStatement& statement, common::Time sent_at,
                                     const FleetPosition& position, common::Time now,
                                     common::Random& random) {
  bool changed = ApplyLimit(statement, sent_at, position, now, random);
  if (statement.leaving) changed = !std::exchange(leaving_, true) || changed;
  if (statement.back_off && now + *statement.back_off > back_off_until_) {
    back_off_until_ = now + *statement.back_off;
    changed = true;
  }
  return changed;
}

bool ServerBackpressure::ApplyLimit(const ServerStatement& statement, common::Time sent_at,
                                    const FleetPosition& position, common::Time now,
                                    common::Random& random) {
  if (statement.requests_per_second) {
    const bool is_new = !Limit();
    const bool changed = limit_ != statement.requests_per_second;
    limit_ = statement.requests_per_second;
    limit_stated_at_ = now;
    if (is_new) BeginSpacing(position, now, random);
    next_permit_at_ = std::min(next_permit_at_, now + Interval(position));
    return changed;
  }
  if (!limit_ || sent_at <= limit_stated_at_) return false;
  limit_.reset();
  return true;
}

void ServerBackpressure::SetColdLimit(const std::optional<ColdLimit>& limit,
                                      const FleetPosition& position, common::Time now,
                                      common::Random& random) {
  if (limit == cold_limit_) return;
  const bool is_new = limit && !Limit();
  cold_limit_ = limit;
  if (is_new) BeginSpacing(position, now, random);
  if (Limit()) next_permit_at_ = std::min(next_permit_at_, now + Interval(position));
}

void ServerBackpressure::BeginSpacing(const FleetPosition& position, common::Time now,
                                      common::Random& random) {
  // Entries that learn of a limit at the same time do not start at the same time.
  const double turn = random.Uniform() * common::ToSeconds(Interval(position));
  random_window_ = now + common::FromSeconds(turn);
  next_permit_at_ = KeepsPermits(position) ? random_window_ : now;
}

std::optional<double> ServerBackpressure::Limit() const {
  if (!cold_limit_) return limit_;
  return std::min(limit_.value_or(cold_limit_->requests_per_second),
                  cold_limit_->requests_per_second);
}

std::optional<double> ServerBackpressure::Rate(const FleetPosition& position) const {
  const std::optional<double> limit = Limit();
  if (!limit) return std::nullopt;
  return std::max(*limit, kMinLimit) / std::max(position.entries, 1U);
}

common::Duration ServerBackpressure::WindowLength(common::Duration interval) const {
  const common::Duration window = std::min(kWindow, interval / kMinIntervalWindows);
  if (!cold_limit_) return window;
  // A window may begin just before the second, and another end just after it.
  const double tolerated_s =
      (ToleratedBurst(*cold_limit_) - 1) / std::max(cold_limit_->requests_per_second, kMinLimit);
  return std::min(window,
                  std::max(kMinWindow, common::FromSeconds(kColdToleranceShare * tolerated_s)));
}

common::Duration ServerBackpressure::Interval(const FleetPosition& position) const {
  return common::FromSeconds(1 / Rate(position).value_or(kMinLimit));
}

bool ServerBackpressure::KeepsPermits(const FleetPosition& position) const {
  if (cold_limit_ && position.entries > kColdToleranceShare * ToleratedBurst(*cold_limit_)) {
    return false;
  }
  return !limit_ || position.entries <= kToleratedBurst + kToleratedBurstSeconds * *limit_;
}

common::Time ServerBackpressure::WindowStart(const FleetPosition& position,
                                             common::Time now) const {
  const common::Duration interval = Interval(position);
  common::Duration since_window = now - random_window_;
  if (position.index && position.shared_clock_offset) {
    const double turn = static_cast<double>(*position.index) / position.entries;
    const auto shift = common::Duration(static_cast<common::Duration::rep>(
        server_hash_ % static_cast<std::uint64_t>(interval.count())));
    since_window = now.time_since_epoch() + *position.shared_clock_offset - shift -
                   common::FromSeconds(turn * common::ToSeconds(interval));
  }
  since_window %= interval;
  if (since_window < common::Duration(0)) since_window += interval;
  return now - since_window;
}

std::optional<common::Time> ServerBackpressure::AdmitsAt(const FleetPosition& position,
                                                         common::Time now) const {
  if (leaving_) return std::nullopt;
  const common::Time earliest = std::max(now, back_off_until_);
  if (!Limit()) return earliest;
  const common::Time at = std::max(earliest, next_permit_at_);
  if (KeepsPermits(position)) return at;
  const common::Duration interval = Interval(position);
  const common::Time window = WindowStart(position, at);
  return at - window < WindowLength(interval) ? at : window + interval;
}

bool ServerBackpressure::Admits(const FleetPosition& position, common::Time now) const {
  const std::optional<common::Time> at = AdmitsAt(position, now);
  return at && *at <= now;
}

void ServerBackpressure::OnSending(const FleetPosition& position, common::Time now) {
  if (!Limit()) return;
  taken_permit_at_ = next_permit_at_;
  const common::Duration interval = Interval(position);
  // The middle between two windows, as the shared clock is known with a small error only.
  next_permit_at_ = KeepsPermits(position)
                        ? std::max(next_permit_at_, now - kBurstPeriod) + interval
                        : WindowStart(position, now) + interval / 2;
}

void ServerBackpressure::OnNotSent() {
  if (taken_permit_at_) next_permit_at_ = *taken_permit_at_;
  taken_permit_at_.reset();
}

}  // namespace briarwood::routing
