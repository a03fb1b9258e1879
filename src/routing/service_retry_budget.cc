#include "briarwood/routing/service_retry_budget.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

constexpr common::Duration kStep = std::chrono::milliseconds(100);
/// Part of the budget that is used. The margin is needed because requests reach the service
/// slightly later than they are counted here, and because the platform may count the retries
/// in a window that starts at any time.
constexpr double kUsableShare = 0.8;
/// Number of entries assumed while the actual number is unknown.
constexpr std::uint32_t kAssumedEntries = 64;

}  // namespace

void ServiceRetryBudget::Counter::Add(common::Time now) {
  ++sum;
  if (!steps.empty() && now - steps.back().first < kStep) {
    ++steps.back().second;
  } else {
    steps.emplace_back(now, 1);
  }
}

void ServiceRetryBudget::Counter::RemoveLatest() {
  if (steps.empty()) return;
  --sum;
  if (--steps.back().second == 0) steps.pop_back();
}

void ServiceRetryBudget::Counter::Trim(common::Time oldest) {
  while (!steps.empty() && steps.front().first < oldest) {
    sum -= steps.front().second;
    steps.pop_front();
  }
}

void ServiceRetryBudget::OnRequest(const std::string& service, common::Time now) {
  Counter& requests = services_[service].requests;
  requests.Add(now);
  requests.Trim(now - options_.window);
}

double ServiceRetryBudget::Allowed(ServiceState& state, common::Time now) const {
  state.requests.Trim(now - options_.window);
  // A step contains retries up to kStep later than its time.
  state.retries.Trim(now - options_.window - kStep);
  const double entries = entries_ == 0 ? kAssumedEntries : entries_;
  return kUsableShare *
         (options_.ratio * static_cast<double>(state.requests.sum) + options_.burst / entries);
}

bool ServiceRetryBudget::TryRetry(const std::string& service, common::Time now) {
  ServiceState& state = services_[service];
  const double allowed = Allowed(state, now);
  if (static_cast<double>(state.retries.sum) + 1 > allowed) return false;
  state.retries.Add(now);
  return true;
}

double ServiceRetryBudget::SpentShare(const std::string& service, common::Time now) {
  ServiceState& state = services_[service];
  const double allowed = Allowed(state, now);
  const auto spent = static_cast<double>(state.retries.sum);
  return allowed > spent ? spent / allowed : 1;
}

void ServiceRetryBudget::Refund(const std::string& service) {
  services_[service].retries.RemoveLatest();
}

}  // namespace briarwood::routing
