#include "briarwood/control/fleet_view.h"

#include <algorithm>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/distribution/engine_divisions.h"

namespace briarwood::control {
namespace {

// Less than a third of the lease, so that a lease does not expire when one response is lost.
constexpr std::chrono::milliseconds kRenewalPeriod{1500};

/// Interval between two updates of the divisions of engines.
constexpr std::chrono::milliseconds kDivisionInterval{500};
/// Age from which a follower passes divisions on no more, because its leader may be another one.
constexpr std::chrono::milliseconds kMaxDivisionAge{3000};

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::uint32_t ToMs(common::Duration duration) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(duration_cast<milliseconds>(duration).count(), 0));
}

schema::LimitShare ToShare(const routing::LimitGrant& grant) {
  schema::LimitShare share;
  share.set_customer(grant.customer.value());
  share.set_requests_per_minute(grant.share.requests_per_minute);
  share.set_tokens_per_minute(grant.share.tokens_per_minute);
  share.set_concurrency(grant.share.concurrency);
  share.set_lease_ms(ToMs(grant.lease));
  return share;
}

schema::Heartbeat ToHeartbeat(const membership::NodeView& view, common::Time now) {
  schema::Heartbeat heartbeat;
  *heartbeat.mutable_node() = view.identity;
  heartbeat.set_index(view.index.value());
  heartbeat.set_ready(view.ready);
  heartbeat.set_age_ms(ToMs(now - view.heard_at));
  if (view.load) {
    *heartbeat.mutable_load() = *view.load;
    heartbeat.mutable_load()->set_age_ms(view.load->age_ms() + heartbeat.age_ms());
  }
  return heartbeat;
}

bool IsLimited(const schema::Customer& customer) {
  return customer.requests_per_minute() != 0 || customer.tokens_per_minute() != 0 ||
         customer.max_concurrency() != 0;
}

}  // namespace

void FleetView::OnSync(const schema::SyncRequest& request, common::Time now) {
  const std::lock_guard lock(mutex_);
  for (const schema::Heartbeat& heartbeat : request.heartbeats()) {
    children_.Record(heartbeat, now);
    liveness_.Record(heartbeat, now);
    RecordStreams(heartbeat, now);
  }
  if (request.node().role() == schema::NODE_ROLE_ENTRY) {
    RecordDemand(request.node().id(), request.demand(), now);
  }
}

void FleetView::RecordStreams(const schema::Heartbeat& heartbeat, common::Time now) {
  if (!planner_) return;
  for (const schema::StreamDemand& streams : heartbeat.streams()) {
    planner_->Report(common::NodeId(heartbeat.node().id()), streams.service(),
                     distribution::ReadStreams(streams), now);
  }
}

void FleetView::UpdateDivisions(common::Time now) {
  if (!planner_ || now - planned_at_ < kDivisionInterval) return;
  planned_at_ = now;
  planner_->Update(now);
}

void FleetView::AddDivisions(schema::SyncResponse& response, common::Time now) const {
  if (planner_ && planner_->known(now)) {
    response.set_divisions_known(true);
    *response.mutable_divisions() = distribution::ToMessages(planner_->divisions());
  } else if (!planner_ && cached_divisions_ &&
             now - cached_divisions_->received_at < kMaxDivisionAge) {
    response.set_divisions_known(true);
    *response.mutable_divisions() = distribution::ToMessages(cached_divisions_->divisions);
  }
}

void FleetView::RecordDemand(
    const std::string& entry,
    const google::protobuf::RepeatedPtrField<schema::CustomerDemand>& demand, common::Time now) {
  if (!splitter_) {
    unreported_demand_[entry].assign(demand.begin(), demand.end());
    return;
  }
  auto& active = active_customers_[entry];
  for (const schema::CustomerDemand& item : demand) {
    active[common::CustomerId(item.customer())].last_demand = now;
    splitter_->ReportDemand(common::NodeId(entry), common::CustomerId(item.customer()),
                            {.requests = static_cast<double>(item.requests()),
                             .tokens = static_cast<double>(item.tokens()),
                             .concurrent = static_cast<double>(item.concurrent())});
  }
}

void FleetView::SetPosition(const std::string& entry, std::vector<common::NodeId> entries,
                            schema::SyncResponse& response) {
  response.set_entry_count(static_cast<std::uint32_t>(entries.size()));
  // All members use the same order, so that an entry keeps its position with another parent.
  std::sort(entries.begin(), entries.end());
  const auto found = std::lower_bound(entries.begin(), entries.end(), common::NodeId(entry));
  if (found == entries.end() || *found != common::NodeId(entry)) return;
  response.set_entry_index_plus_one(static_cast<std::uint32_t>(found - entries.begin()) + 1);
}

void FleetView::Complete(const schema::SyncRequest& request, schema::SyncResponse& response,
                         common::Time now) {
  if (request.node().role() != schema::NODE_ROLE_ENTRY) return;
  const std::lock_guard lock(mutex_);
  SetPosition(request.node().id(), Entries(now), response);
  AddLoads(request, response, now);
  AddShares(request, response, now);
  UpdateDivisions(now);
  AddDivisions(response, now);
}

void FleetView::AddShares(const schema::SyncRequest& request, schema::SyncResponse& response,
                          common::Time now) {
  const std::string& entry = request.node().id();
  if (splitter_) {
    splitter_->SetEntries(Entries(now));
    for (const schema::LimitShare& share : Grant(entry, now)) *response.add_limits() = share;
    return;
  }
  const auto cached = cached_shares_.find(entry);
  if (cached == cached_shares_.end() || std::exchange(cached->second.sent, true)) return;
  const std::uint32_t age = ToMs(now - cached->second.granted_at);
  for (const schema::LimitShare& share : cached->second.shares) {
    if (share.lease_ms() <= age) continue;
    schema::LimitShare& copy = *response.add_limits();
    copy = share;
    copy.set_lease_ms(share.lease_ms() - age);
  }
}

void FleetView::AddLoads(const schema::SyncRequest& request, schema::SyncResponse& response,
                         common::Time now) {
  std::vector<std::pair<std::uint64_t, schema::LoadReport>> loads;
  const std::uint64_t seed = common::Hash64(request.node().id());
  for (const membership::NodeView& view : liveness_.Nodes(now)) {
    if (!view.load || view.liveness == membership::Liveness::kDead) continue;
    schema::Heartbeat heartbeat = ToHeartbeat(view, now);
    loads.emplace_back(common::Hash64(view.load->backend_server(), seed), heartbeat.load());
  }
  common::Time& sent = loads_sent_[request.node().id()];
  if (loads.size() > kMaxUnthrottledLoads && now - sent < kThrottledLoadPeriod) return;
  sent = now;
  if (loads.size() > kMaxLoadsPerResponse) {
    // Rendezvous hashing keeps the selection stable when backend servers are added or removed.
    const auto end = loads.begin() + static_cast<std::ptrdiff_t>(kMaxLoadsPerResponse);
    std::nth_element(loads.begin(), end, loads.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    loads.erase(end, loads.end());
  }
  for (auto& [hash, load] : loads) *response.add_loads() = std::move(load);
}

void FleetView::BecomeLeader(common::Time now) {
  const std::lock_guard lock(mutex_);
  splitter_.emplace(now);
  planner_.emplace(now);
  active_customers_.clear();
  liveness_.StartGrace(now);
  cached_shares_.clear();
}

void FleetView::SetCustomers(const std::vector<schema::Customer>& customers) {
  const std::lock_guard lock(mutex_);
  if (!splitter_) return;
  for (const schema::Customer& customer : customers) {
    const common::CustomerId id(customer.id());
    if (!IsLimited(customer)) {
      splitter_->RemoveCustomer(id);
      continue;
    }
    splitter_->SetLimits(
        id, {.requests_per_minute = static_cast<double>(customer.requests_per_minute()),
             .tokens_per_minute = static_cast<double>(customer.tokens_per_minute()),
             .concurrency = static_cast<double>(customer.max_concurrency())});
  }
}

void FleetView::StopLeading() {
  const std::lock_guard lock(mutex_);
  splitter_.reset();
  planner_.reset();
  cached_divisions_.reset();
}

std::vector<common::NodeId> FleetView::Entries(common::Time now) const {
  std::vector<common::NodeId> entries;
  for (const membership::NodeView& view : liveness_.Nodes(now)) {
    if (view.identity.role() == schema::NODE_ROLE_ENTRY &&
        view.liveness != membership::Liveness::kDead) {
      entries.emplace_back(view.identity.id());
    }
  }
  return entries;
}

std::vector<schema::LimitShare> FleetView::Grant(const std::string& entry, common::Time now) {
  auto& active = active_customers_[entry];
  std::erase_if(active, [&](const auto& item) {
    return now - item.second.last_demand > routing::LimitSplitter::kLease;
  });
  std::vector<common::CustomerId> due;
  for (const auto& [customer, state] : active) {
    if (!state.granted_at || now - *state.granted_at >= kRenewalPeriod) due.push_back(customer);
  }
  std::vector<schema::LimitShare> shares;
  for (const routing::LimitGrant& grant : splitter_->Grant(common::NodeId(entry), due, now)) {
    active[grant.customer].granted_at = now;
    shares.push_back(ToShare(grant));
  }
  return shares;
}

schema::MemberReport FleetView::MakeReport(common::MemberId member, common::Time now) {
  schema::MemberReport report;
  report.set_member_id(member.value());
  const std::lock_guard lock(mutex_);
  for (schema::Heartbeat& heartbeat : children_.Aggregate(now)) {
    *report.add_heartbeats() = std::move(heartbeat);
  }
  for (auto& [entry, demand] : unreported_demand_) {
    schema::EntryDemand& item = *report.add_entries();
    item.set_entry(entry);
    for (const schema::CustomerDemand& customer : demand) *item.add_demand() = customer;
  }
  unreported_demand_.clear();
  return report;
}

schema::MemberReportResponse FleetView::HandleReport(const schema::MemberReport& report,
                                                     common::Time now) {
  schema::MemberReportResponse response;
  const std::lock_guard lock(mutex_);
  if (!splitter_) return response;
  response.set_leading(true);
  for (const schema::Heartbeat& heartbeat : report.heartbeats()) {
    liveness_.Record(heartbeat, now);
    RecordStreams(heartbeat, now);
  }
  UpdateDivisions(now);
  if (planner_->known(now)) {
    response.set_divisions_known(true);
    *response.mutable_divisions() = distribution::ToMessages(planner_->divisions());
  }
  splitter_->SetEntries(Entries(now));
  for (const schema::EntryDemand& item : report.entries()) {
    RecordDemand(item.entry(), item.demand(), now);
    schema::EntryLimits& limits = *response.add_entries();
    limits.set_entry(item.entry());
    for (const schema::LimitShare& share : Grant(item.entry(), now)) *limits.add_limits() = share;
  }
  for (const membership::NodeView& view : liveness_.Nodes(now)) {
    if (view.liveness != membership::Liveness::kDead) {
      *response.add_heartbeats() = ToHeartbeat(view, now);
    }
  }
  return response;
}

void FleetView::HandleReportResponse(const schema::MemberReportResponse& response,
                                     common::Time sent_at, common::Time now) {
  if (!response.leading()) return;
  const std::lock_guard lock(mutex_);
  for (const schema::Heartbeat& heartbeat : response.heartbeats()) {
    liveness_.Record(heartbeat, now);
  }
  if (response.divisions_known()) {
    cached_divisions_ = {.divisions = distribution::ReadDivisions(response.divisions()),
                         .received_at = now};
  }
  // Counted from the send time, so that a lease never expires later than on the leader.
  for (const schema::EntryLimits& limits : response.entries()) {
    cached_shares_[limits.entry()] = {.shares = {limits.limits().begin(), limits.limits().end()},
                                      .granted_at = sent_at};
  }
}

std::vector<membership::NodeView> FleetView::Nodes(common::Time now) const {
  const std::lock_guard lock(mutex_);
  return liveness_.Nodes(now);
}

std::vector<membership::DeadIncarnation> FleetView::TakeDead(common::Time now) {
  const std::lock_guard lock(mutex_);
  return liveness_.TakeDead(now);
}

}  // namespace briarwood::control
