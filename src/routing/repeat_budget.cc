#include "briarwood/routing/repeat_budget.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

constexpr common::Duration kStep = std::chrono::milliseconds(100);
/// Part of the budget that is used: requests of an entry reach a service a little later than they
/// are counted here, and windows of the observer start at any moment.
constexpr double kUsedShare = 0.8;
/// Entries assumed while the number is not known.
constexpr std::uint32_t kUnknownEntries = 64;

}  // namespace

void RepeatBudget::Counter::Add(common::Time now) {
  ++sum;
  if (!steps.empty() && now - steps.back().first < kStep) {
    ++steps.back().second;
  } else {
    steps.emplace_back(now, 1);
  }
}

void RepeatBudget::Counter::Trim(common::Time oldest) {
  while (!steps.empty() && steps.front().first < oldest) {
    sum -= steps.front().second;
    steps.pop_front();
  }
}

void RepeatBudget::OnRequest(const std::string& service, common::Time now) {
  Counter& requests = services_[service].requests;
  requests.Add(now);
  requests.Trim(now - options_.window);
}

bool RepeatBudget::TryRepeat(const std::string& service, common::Time now) {
  ServiceState& state = services_[service];
  state.requests.Trim(now - options_.window);
  // A step holds repeats that are up to kStep younger than its time.
  state.repeats.Trim(now - options_.window - kStep);
  const double entries = entries_ == 0 ? kUnknownEntries : entries_;
  const double allowed = kUsedShare * (options_.ratio * static_cast<double>(state.requests.sum) +
                                       options_.burst / entries);
  if (static_cast<double>(state.repeats.sum) + 1 > allowed) return false;
  state.repeats.Add(now);
  return true;
}

}  // namespace briarwood::routing
