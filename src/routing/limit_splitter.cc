#include "briarwood/routing/limit_splitter.h"

#include <algorithm>
#include <cmath>

namespace briarwood::routing {
namespace {

/// Minimum part of a limit that is split evenly, so that an entry does not start with a share of 0
/// when its demand begins.
constexpr double kMinEvenShare = 0.1;
constexpr double kSecondsPerMinute = 60;
constexpr common::Duration kRefreshInterval = std::chrono::milliseconds(250);

Limits Max(const Limits& left, const Limits& right) {
  return {.requests_per_minute = std::max(left.requests_per_minute, right.requests_per_minute),
          .tokens_per_minute = std::max(left.tokens_per_minute, right.tokens_per_minute),
          .concurrency = std::max(left.concurrency, right.concurrency)};
}

Limits Sum(const Limits& left, const Limits& right) {
  return {.requests_per_minute = left.requests_per_minute + right.requests_per_minute,
          .tokens_per_minute = left.tokens_per_minute + right.tokens_per_minute,
          .concurrency = left.concurrency + right.concurrency};
}

Limits Difference(const Limits& left, const Limits& right) {
  return {.requests_per_minute = left.requests_per_minute - right.requests_per_minute,
          .tokens_per_minute = left.tokens_per_minute - right.tokens_per_minute,
          .concurrency = left.concurrency - right.concurrency};
}

/// \returns the smaller of target and rest, but at least zero.
Limits Allowed(const Limits& target, const Limits& rest) {
  const auto bound = [](double wanted, double left) {
    return std::max(0.0, std::min(wanted, left));
  };
  return {.requests_per_minute = bound(target.requests_per_minute, rest.requests_per_minute),
          .tokens_per_minute = bound(target.tokens_per_minute, rest.tokens_per_minute),
          .concurrency = bound(target.concurrency, std::floor(rest.concurrency))};
}

bool Covers(const Limits& larger, const Limits& smaller) { return Max(larger, smaller) == larger; }

}  // namespace

void LimitSplitter::SetLimits(const common::CustomerId& customer, const Limits& limits) {
  CustomerState& state = customers_[customer];
  state.limits = limits;
  for (const common::NodeId& entry : entries_) state.entries[entry].in_entry_list = true;
  refreshed_at_.reset();
}

void LimitSplitter::SetEntries(const std::vector<common::NodeId>& entries) {
  entries_ = entries;
  for (auto& [id, state] : customers_) {
    for (auto& [entry, share] : state.entries) share.in_entry_list = false;
    for (const common::NodeId& entry : entries_) state.entries[entry].in_entry_list = true;
  }
  refreshed_at_.reset();
}

void LimitSplitter::ReportDemand(const common::NodeId& entry, const common::CustomerId& customer,
                                 const EntryDemand& demand) {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) return;
  const auto share = found->second.entries.find(entry);
  if (share != found->second.entries.end()) share->second.demand = demand;
}

void LimitSplitter::RefreshIfDue(common::Time now) {
  if (refreshed_at_ && now - *refreshed_at_ < kRefreshInterval) return;
  refreshed_at_ = now;
  for (auto& [id, state] : customers_) Refresh(state, now);
}

void LimitSplitter::Refresh(CustomerState& state, common::Time now) {
  state.total_granted = {};
  for (auto entry = state.entries.begin(); entry != state.entries.end();) {
    EntryShare& share = entry->second;
    std::erase_if(share.active, [&](const ActiveGrant& grant) { return grant.ends_at <= now; });
    share.granted = {};
    for (const ActiveGrant& grant : share.active) share.granted = Max(share.granted, grant.share);
    state.total_granted = Sum(state.total_granted, share.granted);
    const bool removed = !share.in_entry_list && share.active.empty();
    entry = removed ? state.entries.erase(entry) : std::next(entry);
  }
  SetTargets(state);
}

void LimitSplitter::SetTargets(CustomerState& state) {
  EntryDemand total;
  double entry_count = 0;
  for (const auto& [id, share] : state.entries) {
    if (!share.in_entry_list) continue;
    entry_count += 1;
    total.requests += share.demand.requests;
    total.tokens += share.demand.tokens;
    total.concurrent += share.demand.concurrent;
  }
  // Demand is covered first, and the unused rest is split evenly: the load balancer moves demand
  // between entries faster than leases expire, so shares equal to the demand would reject requests
  // that have moved.
  const auto part = [entry_count](double demand, double total_demand, double limit) {
    if (total_demand <= 0 || limit <= 0) return 1 / entry_count;
    const double unused = std::max(1 - total_demand / limit, kMinEvenShare);
    return unused / entry_count + (1 - unused) * demand / total_demand;
  };
  double concurrency_so_far = 0;
  for (auto& [id, share] : state.entries) {
    if (!share.in_entry_list) continue;
    // Rounding the running sum keeps the shares integral and their sum equal to the limit.
    constexpr double kRoundingError = 1e-9;
    const double before = std::floor(concurrency_so_far + kRoundingError);
    concurrency_so_far += state.limits.concurrency *
                          part(share.demand.concurrent, total.concurrent, state.limits.concurrency);
    share.target = {
        .requests_per_minute = state.limits.requests_per_minute *
                               part(share.demand.requests, total.requests,
                                    state.limits.requests_per_minute / kSecondsPerMinute),
        .tokens_per_minute = state.limits.tokens_per_minute *
                             part(share.demand.tokens, total.tokens,
                                  state.limits.tokens_per_minute / kSecondsPerMinute),
        .concurrency = std::floor(concurrency_so_far + kRoundingError) - before};
  }
}

void LimitSplitter::AddGrant(CustomerState& state, EntryShare& entry, const Limits& share,
                             common::Time ends_at) {
  // Earlier grants that are covered by the new one expire before it and never exceed it.
  while (!entry.active.empty() && Covers(share, entry.active.back().share)) entry.active.pop_back();
  entry.active.push_back({.share = share, .ends_at = ends_at});
  const Limits most = Max(entry.granted, share);
  state.total_granted = Sum(state.total_granted, Difference(most, entry.granted));
  entry.granted = most;
}

std::optional<Limits> LimitSplitter::GrantOne(CustomerState& state, const common::NodeId& entry,
                                              common::Time now) {
  const auto found = state.entries.find(entry);
  if (found == state.entries.end() || !found->second.in_entry_list) return std::nullopt;
  EntryShare& own = found->second;
  const Limits others = Difference(state.total_granted, own.granted);
  const Limits share = Allowed(own.target, Difference(state.limits, others));
  const bool exhausted = (state.limits.requests_per_minute > 0 && share.requests_per_minute <= 0) ||
                         (state.limits.tokens_per_minute > 0 && share.tokens_per_minute <= 0);
  if (own.active.empty() && exhausted) return std::nullopt;
  AddGrant(state, own, share, now + kLease);
  return share;
}

std::vector<LimitGrant> LimitSplitter::Grant(const common::NodeId& entry,
                                             const std::vector<common::CustomerId>& customers,
                                             common::Time now) {
  std::vector<LimitGrant> grants;
  if (now < grants_allowed_from_) return grants;
  RefreshIfDue(now);
  for (const common::CustomerId& customer : customers) {
    const auto state = customers_.find(customer);
    if (state == customers_.end()) continue;
    if (const auto share = GrantOne(state->second, entry, now)) {
      grants.push_back({.customer = customer, .share = *share, .lease = kLease});
    }
  }
  return grants;
}

}  // namespace briarwood::routing
