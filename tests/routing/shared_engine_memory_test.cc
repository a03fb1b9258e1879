// Many entries that place long prompts on the same engines with old reports.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/routing/placement.h"

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMemory = 231'682;
constexpr std::uint64_t kSharedTokens = 6300;
constexpr std::size_t kEngines = 49;
constexpr std::uint32_t kEntries = 28;
constexpr std::uint32_t kSlots = 64;
const common::Tier kLowTier{2};

MemoryCost Summary(std::uint64_t part) {
  return {.own_prompt_tokens = 2890,
          .expected_output_tokens = 52,
          .shared_parts = {{.id = part, .tokens = kSharedTokens}}};
}

PlacementRequest Request(const MemoryCost& cost, common::Tier tier, std::uint64_t prefix = 0) {
  PlacementRequest request{.tier = tier, .prefix_hash = prefix, .memory = &cost};
  request.capability.service = "engines";
  return request;
}

Placement MakeEntry(std::uint64_t seed, std::uint64_t memory) {
  Placement placement({.seed = seed, .choices = 4});
  std::vector<BackendDescription> engines;
  for (std::size_t i = 0; i < kEngines; ++i) {
    engines.push_back({.id = common::BackendServerId("engine-" + std::to_string(i)),
                       .failure_domain = common::FailureDomainId(std::to_string(i % 3)),
                       .service = "engines",
                       .max_concurrency = kSlots,
                       .memory_tokens = memory});
  }
  placement.SetBackends(engines);
  placement.SetFleetPosition({.entries = kEntries});
  return placement;
}

struct Outcome {
  std::size_t sent = 0;
  /// Highest number of tokens in the memory of an engine.
  std::uint64_t peak = 0;
};

/// Plays 10 s of 1,200 summaries a second. Each runs for 3 s; after 0.5 s its own entry, and no
/// other, receives a report.
Outcome PlayOverload(std::uint64_t configured_memory) {
  struct Run {
    std::size_t entry = 0;
    common::BackendServerId engine;
    std::uint64_t part = 0;
    common::Time sent_at;
  };
  common::Random random(11);
  std::vector<Placement> entries;
  for (std::uint64_t i = 0; i < kEntries; ++i) {
    entries.push_back(MakeEntry(i + 1, configured_memory));
  }
  std::vector<std::deque<std::uint64_t>> queues(kEntries);
  std::deque<Run> unreported;
  std::deque<Run> running;
  /// Running requests of each engine by shared part.
  std::map<common::BackendServerId, std::map<std::uint64_t, std::uint32_t>> engines;
  const auto count = [&](const common::BackendServerId& engine) {
    std::uint32_t requests = 0;
    for (const auto& [part, users] : engines[engine]) requests += users;
    return requests;
  };
  Outcome outcome;
  constexpr common::Time kStart{seconds(1000)};
  for (common::Time now = kStart; now < kStart + seconds(10); now += milliseconds(10)) {
    for (int i = 0; i < 12; ++i) queues[random.Below(kEntries)].push_back(random.Below(24));
    for (; !unreported.empty() && now >= unreported.front().sent_at + milliseconds(500);
         unreported.pop_front()) {
      const Run& run = unreported.front();
      entries[run.entry].Report({.id = run.engine, .taken_at = now, .running = count(run.engine)},
                                now);
    }
    for (; !running.empty() && now >= running.front().sent_at + seconds(3); running.pop_front()) {
      const Run& run = running.front();
      entries[run.entry].OnEnded(run.engine, kLowTier, false, 1, Summary(run.part));
      if (--engines[run.engine][run.part] == 0) engines[run.engine].erase(run.part);
    }
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      entries[entry].Refresh(now);
      for (auto& queue = queues[entry]; !queue.empty(); queue.pop_front()) {
        const MemoryCost cost = Summary(queue.front());
        const auto choice =
            entries[entry].Pick(Request(cost, kLowTier, queue.front() * 7919 + 1), now);
        if (!choice) break;
        entries[entry].OnSent(choice->id, kLowTier, false, now, 1, cost);
        running.push_back({entry, choice->id, queue.front(), now});
        unreported.push_back(running.back());
        ++engines[choice->id][queue.front()];
        ++outcome.sent;
        outcome.peak = std::max(outcome.peak, count(choice->id) * cost.OwnTokens() +
                                                  engines[choice->id].size() * kSharedTokens);
      }
    }
  }
  return outcome;
}

// Guards against an overload of long prompts that entries, each with reports some seconds old, send
// beyond the memory of an engine, which would then interrupt requests and read them again.
TEST(SharedEngineMemoryTest, EntriesWithOldReportsStayBelowTheMemory) {
  ASSERT_GT(PlayOverload(/*configured_memory=*/0).peak, kMemory) << "the load is too low";
  const Outcome outcome = PlayOverload(kMemory);
  EXPECT_LE(outcome.peak, kMemory);
  // Requests without common parts that fit into the memory one after the other.
  const std::size_t fitting = kEngines * (kMemory / Summary(0).PromptTokens()) * 10 / 3;
  EXPECT_GT(outcome.sent, fitting * 8 / 10) << "the engines are left idle";
}

// Guards against a burst of summaries that leaves no memory for the top tier.
TEST(SharedEngineMemoryTest, LongPromptsLeaveRoomForTheTopTier) {
  Placement entry = MakeEntry(1, kMemory);
  entry.SetFleetPosition({.entries = 1});
  const common::Time now{seconds(1000)};
  const auto fill = [&](const MemoryCost& cost, common::Tier tier) {
    std::size_t sent = 0;
    for (; const auto choice = entry.Pick(Request(cost, tier), now); ++sent) {
      entry.OnSent(choice->id, tier, false, now, 1, cost);
    }
    EXPECT_TRUE(entry.LastPickLackedMemory());
    return sent;
  };
  EXPECT_GT(fill({.own_prompt_tokens = 9190}, kLowTier), kEngines * 18);
  EXPECT_GT(fill({.own_prompt_tokens = 800}, common::Tier(0)), kEngines * 30);
}

}  // namespace
}  // namespace briarwood::routing
