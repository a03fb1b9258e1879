#include "briarwood/routing/cold_start.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "briarwood/routing/placement.h"

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr common::Duration kWarm{0};
constexpr ColdLimit kLimit{.requests_per_second = 17, .overage = 1.5, .slack = 5};

common::BackendServerId Id(std::size_t index) {
  return common::BackendServerId("engine-" + std::to_string(index));
}

// Guards against a server that counts as warm because of a list from before it became cold.
TEST(ColdStartTest, LateListDoesNotEndAnUnconfirmedStart) {
  ColdStart start;
  EXPECT_FALSE(start.IsCold(kStart));
  start.OnMayBeCold(kStart);
  start.OnListed(kWarm, kStart + milliseconds(900));
  EXPECT_TRUE(start.IsCold(kStart + milliseconds(950)));
  start.OnListed(seconds(3), kStart + milliseconds(1100));
  EXPECT_TRUE(start.IsCold(kStart + milliseconds(4000)));
  EXPECT_FALSE(start.IsCold(kStart + milliseconds(4200)));
  start.OnListed(seconds(3), kStart + milliseconds(2000));
  EXPECT_TRUE(start.IsCold(kStart + milliseconds(4200)));
  start.OnListed(kWarm, kStart + milliseconds(3000));
  EXPECT_FALSE(start.IsCold(kStart + milliseconds(3000)));
}

// Guards against a server that stays limited for as long as the platform's list is down.
TEST(ColdStartTest, UnconfirmedStartEndsWithoutAList) {
  ColdStart start;
  start.OnMayBeCold(kStart);
  EXPECT_TRUE(start.IsCold(kStart + ColdStart::kMaxUnconfirmedPeriod - milliseconds(1)));
  EXPECT_FALSE(start.IsCold(kStart + ColdStart::kMaxUnconfirmedPeriod));
}

/// Entries that share two failure domains with three servers each, in virtual time. Requests take
/// 200 ms; the list is read every second and shows what was so 800 ms before.
class ColdFleet {
 public:
  explicit ColdFleet(std::uint32_t entries) {
    std::vector<BackendDescription> servers;
    for (std::size_t i = 0; i < kServers; ++i) {
      servers.push_back({.id = Id(i),
                         .failure_domain = common::FailureDomainId(DomainOf(i)),
                         .service = "llm",
                         .max_concurrency = 64});
    }
    for (std::uint32_t i = 0; i < entries; ++i) {
      auto& entry = entries_.emplace_back(
          std::make_unique<Placement>(PlacementOptions{.seed = i + 1, .choices = 4}));
      entry->SetBackends(servers);
      entry->SetColdLimits({{"llm", kLimit}});
      entry->SetFleetPosition(
          {.entries = entries, .index = i, .shared_clock_offset = common::Duration(seconds(7))});
    }
  }

  [[nodiscard]] static std::string DomainOf(std::size_t server) {
    return server < kServers / 2 ? "east" : "west";
  }

  void SetDraining(const std::set<common::FailureDomainId>& domains) {
    for (const auto& entry : entries_) entry->SetDrainingDomains(domains, now_);
  }

  /// From now on, the servers of "west" are cold for this time.
  void SetCold(common::Duration period) { cold_until_ = now_ + period; }

  /// Sends this many requests per second, spread over the entries.
  void Run(common::Duration period, int per_second) {
    PlacementRequest request{.tier = common::Tier(1)};
    request.capability.service = "llm";
    for (const common::Time end = now_ + period; now_ < end; now_ += milliseconds(10)) {
      if (now_ >= next_list_at_) ReadList();
      while (!running_.empty() && running_.front().ends_at <= now_) {
        entries_[running_.front().entry]->OnEnded(running_.front().server, request.tier, false);
        running_.pop_front();
      }
      for (int i = 0; i < per_second / 100; ++i) {
        const std::size_t entry = random_.Below(entries_.size());
        entries_[entry]->Refresh(now_);
        const auto choice = entries_[entry]->Pick(request, now_);
        if (!choice) continue;
        entries_[entry]->OnSent(choice->id, request.tier, false, now_);
        running_.push_back({now_ + milliseconds(200), entry, choice->id});
        arrivals_[choice->id].push_back(now_);
      }
    }
  }

  /// \returns the maximum number of arrivals within a second at one server of "west" in [from, to).
  [[nodiscard]] std::size_t MaxInWest(common::Time from, common::Time to) const {
    std::size_t max = 0;
    for (std::size_t i = kServers / 2; i < kServers; ++i) {
      std::deque<common::Time> recent;
      const auto found = arrivals_.find(Id(i));
      if (found == arrivals_.end()) continue;
      for (const common::Time at : found->second) {
        if (at < from || at >= to) continue;
        recent.push_back(at);
        while (recent.front() <= at - seconds(1)) recent.pop_front();
        max = std::max(max, recent.size());
      }
    }
    return max;
  }

  [[nodiscard]] common::Time now() const { return now_; }

 private:
  static constexpr std::size_t kServers = 6;
  static constexpr milliseconds kListLag{800};

  struct Running {
    common::Time ends_at;
    std::size_t entry = 0;
    common::BackendServerId server;
  };

  void ReadList() {
    next_list_at_ = now_ + seconds(1);
    const common::Time seen = now_ - kListLag;
    const bool cold = seen >= cold_until_ - seconds(3) && seen < cold_until_;
    for (const auto& entry : entries_) {
      for (std::size_t i = 0; i < kServers; ++i) {
        const bool shown = cold && DomainOf(i) == "west";
        entry->SetWarmUp(Id(i), shown ? cold_until_ - seen : kWarm, now_);
      }
    }
  }

  std::vector<std::unique_ptr<Placement>> entries_;
  common::Random random_{1};
  common::Time now_ = kStart;
  common::Time next_list_at_ = kStart;
  common::Time cold_until_;
  std::deque<Running> running_;
  std::map<common::BackendServerId, std::vector<common::Time>> arrivals_;
};

// Guards against a rush to the idle servers of a domain that has just been taken back and is cold,
// which the list shows only later, and against servers that stay limited once they are warm.
TEST(ColdFleetTest, DomainIsTakenBackAtTheColdRate) {
  for (const std::uint32_t entries : {3U, 26U, 120U}) {
    ColdFleet fleet(entries);
    fleet.SetDraining({common::FailureDomainId("west")});
    fleet.Run(seconds(2), 600);
    EXPECT_EQ(fleet.MaxInWest(kStart, fleet.now()), 0U) << entries;
    fleet.SetCold(seconds(3));
    const common::Time back = fleet.now();
    fleet.SetDraining({});
    fleet.Run(seconds(3), 600);
    const std::size_t cold = fleet.MaxInWest(back, fleet.now());
    EXPECT_LE(static_cast<double>(cold), kLimit.requests_per_second * kLimit.overage + kLimit.slack)
        << entries;
    EXPECT_GE(static_cast<double>(cold), kLimit.requests_per_second / 2) << entries;
    fleet.Run(seconds(5), 600);
    EXPECT_GT(static_cast<double>(fleet.MaxInWest(fleet.now() - seconds(2), fleet.now())),
              kLimit.requests_per_second * kLimit.overage + kLimit.slack)
        << entries;
  }
}

// Guards against a rush to a server that has crashed and started again, which the list does not
// show yet, and against a limit on services without one.
TEST(ColdFleetTest, ServerThatServesAgainAfterAFailureMayBeCold) {
  for (const bool limited : {true, false}) {
    Placement placement({});
    placement.SetBackends({{.id = Id(0), .service = "llm", .max_concurrency = 200}});
    if (limited) placement.SetColdLimits({{"llm", kLimit}});
    placement.OnFailure(Id(0), kStart);
    placement.SetWarmUp(Id(0), kWarm, kStart + seconds(3));
    common::Time now = kStart + seconds(4);
    placement.OnSuccess(Id(0), now);
    placement.SetWarmUp(Id(0), kWarm, now + milliseconds(500));
    PlacementRequest request;
    request.capability.service = "llm";
    int sent = 0;
    for (const common::Time end = now + seconds(1); now < end; now += milliseconds(10)) {
      placement.Refresh(now);
      if (!placement.Pick(request, now)) continue;
      placement.OnSent(Id(0), request.tier, false, now);
      ++sent;
    }
    EXPECT_EQ(sent <= 30, limited);
  }
}

}  // namespace
}  // namespace briarwood::routing
