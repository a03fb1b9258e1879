#include "entry/impl/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace briarwood::entry::impl {
namespace {

// Over a shorter interval a single request would count as a high rate.
constexpr double kMinIntervalS = 0.1;

std::uint32_t PerSecond(std::uint64_t count, double seconds) {
  return static_cast<std::uint32_t>(std::lround(static_cast<double>(count) / seconds));
}

}  // namespace

void DemandMeter::OnRequest(const common::CustomerId& customer) {
  const std::lock_guard lock(mutex_);
  Counts& counts = customers_[customer.value()];
  ++counts.requests;
  ++counts.concurrent;
}

void DemandMeter::OnTokens(const common::CustomerId& customer, std::uint64_t tokens) {
  const std::lock_guard lock(mutex_);
  customers_[customer.value()].tokens += tokens;
}

void DemandMeter::OnEnd(const common::CustomerId& customer) {
  const std::lock_guard lock(mutex_);
  Counts& counts = customers_[customer.value()];
  if (counts.concurrent > 0) --counts.concurrent;
}

std::vector<schema::CustomerDemand> DemandMeter::Take(common::Time now) {
  const std::lock_guard lock(mutex_);
  const double seconds =
      taken_at_ == common::Time{} ? 1 : std::max(common::ToSeconds(now - taken_at_), kMinIntervalS);
  taken_at_ = now;
  std::vector<schema::CustomerDemand> result;
  for (auto& [customer, counts] : customers_) {
    schema::CustomerDemand& demand = result.emplace_back();
    demand.set_customer(customer);
    demand.set_requests(PerSecond(counts.requests, seconds));
    demand.set_tokens(PerSecond(counts.tokens, seconds));
    demand.set_concurrent(counts.concurrent);
    counts.requests = 0;
    counts.tokens = 0;
  }
  std::erase_if(customers_, [](const auto& item) { return item.second.concurrent == 0; });
  return result;
}

}  // namespace briarwood::entry::impl
