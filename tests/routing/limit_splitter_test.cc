#include "briarwood/routing/limit_splitter.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "briarwood/common/random.h"

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr double kPerMinute = 600;

// Simulates entries that synchronise with the leader every 500 ms while they are connected, and a
// customer that sends far more requests than its limit.
class LimitsOverEntries : public ::testing::Test {
 protected:
  struct Entry {
    CustomerLimits limits{3};
    bool connected = true;
    bool serving = true;
    bool reports_demand = true;
    double weight = 1;
    double due = 0;
  };

  LimitsOverEntries() {
    splitter_.SetLimits(customer_, {.requests_per_minute = kPerMinute});
    now_ += LimitSplitter::kLease;
  }

  void AddEntry(const std::string& name, double weight) {
    Entry& entry = entries_[common::NodeId(name)];
    entry.weight = weight;
    entry.limits.SetLimits(customer_, {.requests_per_minute = kPerMinute});
    UpdateEntryList();
  }

  void UpdateEntryList() {
    std::vector<common::NodeId> names;
    for (const auto& [name, entry] : entries_) {
      if (entry.connected) names.push_back(name);
    }
    splitter_.SetEntries(names);
  }

  // \returns the total number of requests admitted by all entries.
  double RunFor(common::Duration time) {
    double admitted = 0;
    const common::Time end = now_ + time;
    for (int step = 0; now_ < end; ++step, now_ += milliseconds(10)) {
      for (auto& [name, entry] : entries_) {
        if (step % 50 == 0 && entry.connected) Sync(name, entry);
        if (!entry.serving) continue;
        // Weight 1 is a demand of 50 requests/s, five times the total limit.
        for (entry.due += entry.weight / 2; entry.due >= 1; entry.due -= 1) {
          const LimitDecision decision = entry.limits.TryAdmit(customer_, 1, now_);
          if (decision.verdict != LimitVerdict::kAdmitted) continue;
          entry.limits.Finish(customer_, 1, 1);
          admitted += 1;
        }
      }
    }
    return admitted;
  }

  void Sync(const common::NodeId& name, Entry& entry) {
    if (entry.reports_demand) {
      splitter_.ReportDemand(name, customer_, {.requests = entry.weight * 50});
    }
    for (const LimitGrant& grant : splitter_.Grant(name, {customer_}, now_)) {
      entry.limits.SetShare(grant.customer, grant.share, now_ + grant.lease);
    }
  }

  const common::CustomerId customer_{"c"};
  LimitSplitter splitter_{kStart};
  common::Time now_ = kStart;
  std::map<common::NodeId, Entry> entries_;
};

constexpr double kPerSecond = kPerMinute / 60;

// Guards against entries that together admit more than the limit, or much less.
TEST_F(LimitsOverEntries, EntriesTogetherKeepTheLimitWithUnevenDemand) {
  // In total 12 requests/s, slightly more than the limit.
  AddEntry("a", 0.2);
  AddEntry("b", 0.02);
  AddEntry("c", 0.02);
  (void)RunFor(seconds(30));
  const double admitted = RunFor(seconds(60));
  EXPECT_LE(admitted, kPerMinute * 1.02);
  EXPECT_GE(admitted, kPerMinute * 0.9);
}

// Guards against a share of a new entry that grows before the previous leases have expired.
TEST_F(LimitsOverEntries, NewEntryAddsAtMostOneShareForOneLease) {
  AddEntry("a", 1);
  AddEntry("b", 1);
  (void)RunFor(seconds(30));
  AddEntry("c", 4);
  // Worst case: the other entries keep their shares, because the demand of the new one is unknown.
  entries_.at(common::NodeId("c")).reports_demand = false;
  const double first_lease = RunFor(LimitSplitter::kLease);
  // During this time the new entry uses a third of the limit without a lease.
  const double lease_s = common::ToSeconds(LimitSplitter::kLease);
  EXPECT_LE(first_lease, kPerSecond * lease_s + kPerSecond / 3 * lease_s + 2);
  entries_.at(common::NodeId("c")).reports_demand = true;
  EXPECT_LE(RunFor(seconds(60)), kPerMinute + 5);
}

// Guards against shares that grow at other entries while a disconnected entry still uses its lease.
TEST_F(LimitsOverEntries, DisconnectedEntryDoesNotRaiseTheTotal) {
  AddEntry("a", 6);
  AddEntry("b", 1);
  AddEntry("c", 1);
  (void)RunFor(seconds(30));
  Entry& disconnected = entries_.at(common::NodeId("a"));
  disconnected.connected = false;
  UpdateEntryList();
  double admitted = RunFor(LimitSplitter::kLease);
  disconnected.serving = false;  // its copy of the keys has expired
  admitted += RunFor(seconds(55));
  const double previous_share = 0.1 / 3 + 0.9 * 6 / 8;
  // The other shares grow only after the lease has expired, so no part of the limit is used twice.
  EXPECT_LE(admitted, kPerMinute + 5);
  EXPECT_GE(admitted, kPerMinute - kPerSecond * previous_share * 5 - 5);
}

// Guards against the share of a removed entry being lost or counted twice.
TEST_F(LimitsOverEntries, ShareOfRemovedEntryIsReusedAfterOneLease) {
  AddEntry("a", 1);
  AddEntry("b", 1);
  (void)RunFor(seconds(30));
  entries_.erase(common::NodeId("b"));
  UpdateEntryList();
  (void)RunFor(seconds(10));
  EXPECT_NEAR(RunFor(seconds(60)), kPerMinute, kPerMinute * 0.05);
}

// Guards against the sum of unexpired grants exceeding the limit at any moment.
TEST_F(LimitsOverEntries, UnexpiredGrantsNeverExceedLimit) {
  common::Random random(7);
  splitter_.SetLimits(customer_, {.requests_per_minute = kPerMinute, .concurrency = 10});
  const std::vector<common::NodeId> names = {common::NodeId("a"), common::NodeId("b"),
                                             common::NodeId("c")};
  splitter_.SetEntries(names);
  std::vector<std::tuple<common::NodeId, Limits, common::Time>> granted;
  for (int step = 0; step < 500; ++step, now_ += milliseconds(100)) {
    const common::NodeId& name = names[random.Below(3)];
    splitter_.ReportDemand(name, customer_,
                           {.requests = random.Uniform() * 100, .concurrent = random.Uniform()});
    for (const LimitGrant& grant : splitter_.Grant(name, {customer_}, now_)) {
      granted.emplace_back(name, grant.share, now_ + grant.lease);
    }
    std::map<common::NodeId, Limits> most;
    for (const auto& [entry, share, ends] : granted) {
      if (ends <= now_) continue;
      most[entry].requests_per_minute =
          std::max(most[entry].requests_per_minute, share.requests_per_minute);
      most[entry].concurrency = std::max(most[entry].concurrency, share.concurrency);
    }
    double rate = 0;
    double concurrency = 0;
    for (const auto& [entry, share] : most) {
      rate += share.requests_per_minute;
      concurrency += share.concurrency;
    }
    ASSERT_LE(rate, kPerMinute + 1e-6);
    ASSERT_LE(concurrency, 10 + 1e-6);
  }
  EXPECT_FALSE(granted.empty());
}

// Guards against an entry that continues to use a share whose lease has expired.
TEST(CustomerLimitsTest, WithoutLeaseUsesLimitOverConfiguredEntries) {
  CustomerLimits limits(3);
  const common::CustomerId customer("c");
  limits.SetLimits(customer, {.requests_per_minute = 60, .concurrency = 6});
  limits.SetShare(customer, {.requests_per_minute = 50, .concurrency = 5}, kStart + seconds(5));
  EXPECT_EQ(limits.Effective(customer, kStart).requests_per_minute, 50);
  EXPECT_EQ(limits.Effective(customer, kStart + seconds(5)).requests_per_minute, 20);
  const common::Time later = kStart + seconds(6);
  EXPECT_EQ(limits.TryAdmit(customer, 1, later).verdict, LimitVerdict::kAdmitted);
  const LimitDecision rejected = limits.TryAdmit(customer, 1, later);
  EXPECT_EQ(rejected.verdict, LimitVerdict::kRequestRate);
  EXPECT_EQ(limits.TryAdmit(customer, 1, later + rejected.retry_after).verdict,
            LimitVerdict::kAdmitted);
  EXPECT_EQ(limits.TryAdmit(customer, 1, later + seconds(10)).verdict, LimitVerdict::kConcurrency);
}

}  // namespace
}  // namespace briarwood::routing
