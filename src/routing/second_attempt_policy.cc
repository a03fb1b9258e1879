#include "briarwood/routing/second_attempt_policy.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

constexpr double kDelayQuantile = 0.95;
/// A second attempt that starts earlier would often answer later than the first one, which has a
/// head start.
constexpr int kMinMedians = 2;
constexpr common::Duration kMinDelay = std::chrono::milliseconds(20);
/// Bounds the second attempts that follow each other directly, for example when many servers fall
/// silent at once.
constexpr double kMaxCredit = 3;
/// Time without a sign of load after which second attempts begin again.
constexpr common::Duration kQuietPeriod = std::chrono::seconds(2);
constexpr std::size_t kMaxRoutes = 256;

}  // namespace

std::string_view NameOf(LoadSign sign) {
  switch (sign) {
    case LoadSign::kQueue:
      return "queue";
    case LoadSign::kPromptLimit:
      return "prompt_limit";
    case LoadSign::kRejection:
      return "rejection";
    case LoadSign::kServerStatement:
      return "server_statement";
    case LoadSign::kRetryBudget:
      return "retry_budget";
  }
  return "unknown";
}

void SecondAttemptPolicy::OnRequest(const std::string& service) {
  if (!enabled()) return;
  double& credit = services_[service].credit;
  credit = std::min(credit + options_.ratio, kMaxCredit);
}

void SecondAttemptPolicy::OnAnswer(const std::string& route, common::Duration time,
                                   common::Time now) {
  if (!enabled()) return;
  if (routes_.size() >= kMaxRoutes && !routes_.contains(route)) {
    routes_.erase(std::min_element(
        routes_.begin(), routes_.end(),
        [](const auto& a, const auto& b) { return a.second.last_at() < b.second.last_at(); }));
  }
  routes_[route].Add(time, now);
}

std::optional<common::Duration> SecondAttemptPolicy::Delay(const std::string& route,
                                                           common::Duration max,
                                                           common::Time now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return std::nullopt;
  const auto median = found->second.Quantile(0.5, now);
  const auto high = found->second.Quantile(kDelayQuantile, now);
  if (!median || !high) return std::nullopt;
  return std::min(std::max({*high, kMinMedians * *median, kMinDelay}), max);
}

bool SecondAttemptPolicy::LeavesAttempts(std::uint32_t max_attempts,
                                         std::size_t used) const noexcept {
  return used + 1 + options_.reserved_attempts <= max_attempts;
}

bool SecondAttemptPolicy::OnLoadSign(const std::string& service, common::Time now) {
  if (!enabled()) return false;
  std::optional<common::Time>& loaded_at = services_[service].loaded_at;
  const bool begins = !loaded_at;
  loaded_at = now;
  return begins;
}

bool SecondAttemptPolicy::Resume(const std::string& service, common::Time now) {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.loaded_at) return false;
  if (now - *found->second.loaded_at < kQuietPeriod) return false;
  found->second.loaded_at.reset();
  return true;
}

bool SecondAttemptPolicy::MayStart(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && !found->second.loaded_at && found->second.credit >= 1;
}

void SecondAttemptPolicy::OnStarted(const std::string& service) { services_[service].credit -= 1; }

void SecondAttemptPolicy::Refund(const std::string& service) { services_[service].credit += 1; }

}  // namespace briarwood::routing
