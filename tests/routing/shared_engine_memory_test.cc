// Many entries that place requests on the same engines with old reports.

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

constexpr common::Time kStart{seconds(1000)};
constexpr std::uint64_t kMemory = 231'682;
constexpr std::size_t kEngines = 49;
constexpr std::size_t kEntries = 28;
constexpr std::uint32_t kSlots = 64;
const common::Tier kLowTier{2};

PlacementRequest Request(const MemoryCost& cost, common::Tier tier) {
  PlacementRequest request{.tier = tier, .memory = &cost};
  request.capability.service = "engines";
  request.may_preempt = false;
  return request;
}

std::vector<BackendDescription> Engines(std::size_t count, std::uint64_t memory) {
  std::vector<BackendDescription> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engines.push_back({.id = common::BackendServerId("engine-" + std::to_string(i)),
                       .failure_domain = common::FailureDomainId(std::to_string(i % 3)),
                       .service = "engines",
                       .max_concurrency = kSlots,
                       .memory_tokens = memory});
  }
  return engines;
}

/// Long summaries of all entries. Each runs for some seconds, and its first event brings a report
/// to its own entry only.
class Fleet {
 public:
  explicit Fleet(std::uint64_t configured_memory) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      PlacementOptions options;
      options.seed = i + 1;
      options.choices = 4;
      options.half_life = milliseconds(300);
      options.mean_half_life = milliseconds(500);
      Placement& entry = entries_.emplace_back(options);
      entry.SetBackends(Engines(kEngines, configured_memory));
      entry.SetFleetPosition({.entries = kEntries});
    }
  }

  void Run(common::Duration period, int per_second) {
    constexpr common::Duration kStep = milliseconds(10);
    const common::Time end = now_ + period;
    double due = 0;
    for (; now_ < end; now_ += kStep) {
      for (due += per_second * common::ToSeconds(kStep); due >= 1; --due) {
        queues_[random_.Below(kEntries)].push_back(random_.Below(kParts));
      }
      for (Placement& entry : entries_) entry.Refresh(now_);
      EndAndReport();
      for (std::size_t i = 0; i < kEntries; ++i) Dispatch(i);
    }
  }

  [[nodiscard]] std::uint64_t peak() const { return peak_; }
  [[nodiscard]] std::size_t sent() const { return sent_; }

 private:
  static constexpr std::uint64_t kParts = 24;
  static constexpr common::Duration kFirstEvent = milliseconds(500);
  static constexpr common::Duration kRunTime = seconds(3);

  struct InFlight {
    std::size_t entry = 0;
    common::BackendServerId engine;
    MemoryCost cost;
    common::Time sent_at;
    bool reported = false;
  };
  struct Engine {
    std::uint32_t running = 0;
    std::uint64_t own_tokens = 0;
    std::map<std::uint64_t, int> parts;
  };

  void Dispatch(std::size_t entry) {
    std::deque<std::uint64_t>& queue = queues_[entry];
    for (; !queue.empty(); queue.pop_front()) {
      const MemoryCost cost{.own_prompt_tokens = 2890,
                            .expected_output_tokens = 52,
                            .shared_parts = {{.id = queue.front(), .tokens = 6300}}};
      PlacementRequest request = Request(cost, kLowTier);
      request.prefix_hash = queue.front() * 7919;
      const auto choice = entries_[entry].Pick(request, now_);
      if (!choice) return;
      entries_[entry].OnSent(choice->id, kLowTier, false, now_, 1, cost);
      runs_.push_back({.entry = entry, .engine = choice->id, .cost = cost, .sent_at = now_});
      ++sent_;
      Engine& engine = engines_[choice->id.value()];
      ++engine.running;
      engine.own_tokens += cost.OwnTokens();
      ++engine.parts[queue.front()];
      peak_ = std::max(peak_, engine.own_tokens + 6300 * engine.parts.size());
    }
  }

  void EndAndReport() {
    for (InFlight& run : runs_) {
      if (run.reported || now_ < run.sent_at + kFirstEvent) continue;
      run.reported = true;
      entries_[run.entry].Report({.id = run.engine,
                                  .taken_at = now_,
                                  .running = engines_[run.engine.value()].running,
                                  .capacity = kSlots},
                                 now_);
    }
    for (; !runs_.empty() && now_ >= runs_.front().sent_at + kRunTime; runs_.pop_front()) {
      const InFlight& run = runs_.front();
      entries_[run.entry].OnEnded(run.engine, kLowTier, false, 1, run.cost);
      Engine& engine = engines_[run.engine.value()];
      --engine.running;
      engine.own_tokens -= run.cost.OwnTokens();
      const std::uint64_t part = run.cost.shared_parts.front().id;
      if (--engine.parts[part] == 0) engine.parts.erase(part);
    }
  }

  common::Random random_{11};
  common::Time now_ = kStart;
  std::vector<Placement> entries_;
  std::map<std::size_t, std::deque<std::uint64_t>> queues_;
  std::deque<InFlight> runs_;
  std::map<std::string, Engine> engines_;
  std::uint64_t peak_ = 0;
  std::size_t sent_ = 0;
};

// Guards against an overload of long prompts that entries, each with reports some seconds old, send
// beyond the memory of an engine, which would then interrupt requests and read them again.
TEST(SharedEngineMemoryTest, EntriesWithOldReportsStayBelowTheMemory) {
  Fleet unlimited(/*configured_memory=*/0);
  unlimited.Run(seconds(10), 1200);
  EXPECT_GT(unlimited.peak(), kMemory) << "the load does not reach the limit";
  Fleet fleet(kMemory);
  fleet.Run(seconds(10), 1200);
  EXPECT_LE(fleet.peak(), kMemory);
  // Requests without common parts that fit into the memory one after the other.
  const std::size_t fitting = kEngines * (kMemory / 9242) * 10 / 3;
  EXPECT_GT(fleet.sent(), fitting * 8 / 10) << "the engines are left idle";
}

// Guards against a burst of summaries that leaves no memory for the top tier.
TEST(SharedEngineMemoryTest, LongPromptsLeaveRoomForTheTopTier) {
  Placement placement({});
  placement.SetBackends(Engines(3, kMemory));
  std::uint64_t part = 0;
  int sent = 0;
  while (true) {
    const MemoryCost summary{.own_prompt_tokens = 2890,
                             .expected_output_tokens = 52,
                             .shared_parts = {{.id = ++part, .tokens = 6300}}};
    const auto choice = placement.Pick(Request(summary, kLowTier), kStart);
    if (!choice) break;
    placement.OnSent(choice->id, kLowTier, false, kStart, 1, summary);
    ++sent;
  }
  EXPECT_LT(sent, 3 * 25) << "memory is full before the slots";
  EXPECT_TRUE(placement.LastPickLackedMemory());
  const MemoryCost prompt{.own_prompt_tokens = 543,
                          .expected_output_tokens = 276,
                          .shared_parts = {{.id = 999, .tokens = 172}}};
  for (int i = 0; i < 3 * 20; ++i) {
    const auto choice = placement.Pick(Request(prompt, common::Tier(0)), kStart);
    ASSERT_TRUE(choice) << i;
    EXPECT_FALSE(placement.LastPickLackedMemory());
    placement.OnSent(choice->id, common::Tier(0), false, kStart, 1, prompt);
  }
}

// Guards against a prompt that waits until its deadline for memory that no engine has.
TEST(SharedEngineMemoryTest, TellsWhichPromptsNoEngineHolds) {
  Placement placement({});
  const Capability capability{.service = "engines"};
  MemoryCost cost{.own_prompt_tokens = kMemory, .expected_output_tokens = 0, .shared_parts = {}};
  EXPECT_FALSE(placement.ExceedsMemory(capability, cost)) << "no engine is known";
  std::vector<BackendDescription> engines = Engines(2, kMemory);
  placement.SetBackends(engines);
  EXPECT_FALSE(placement.ExceedsMemory(capability, cost));
  cost.shared_parts = {{.id = 1, .tokens = 1}};
  EXPECT_TRUE(placement.ExceedsMemory(capability, cost));
  engines[1].memory_tokens = 0;
  placement.SetBackends(engines);
  EXPECT_FALSE(placement.ExceedsMemory(capability, cost)) << "one does not state its memory";
}

// Guards against work that moves away from a server at each spell of a neighbour on its machine,
// and against a machine that is slow for long and gets as much as the others.
TEST(SharedEngineMemoryTest, UsesLastingSpeedsOnly) {
  const auto share_of_first = [](const auto& slowness_at) {
    Placement placement({.choices = 4});
    placement.SetBackends(Engines(2, 0));
    common::Time now = kStart;
    std::deque<common::BackendServerId> runs;
    const MemoryCost cost;
    int first = 0;
    for (int i = 0; i < 4000; ++i, now += milliseconds(10)) {
      placement.Refresh(now);
      const auto choice = placement.Pick(Request(cost, kLowTier), now);
      if (!choice) break;
      placement.OnSent(choice->id, kLowTier, false, now);
      placement.Report({.id = choice->id,
                        .taken_at = now,
                        .running = 30,
                        .capacity = kSlots,
                        .slowness = choice->id.value() == "engine-0" ? slowness_at(i) : 1},
                       now);
      if (i >= 2000 && choice->id.value() == "engine-0") ++first;
      runs.push_back(choice->id);
      if (runs.size() <= 40) continue;
      placement.OnEnded(runs.front(), kLowTier, false);
      runs.pop_front();
    }
    return first / 2000.0;
  };
  // Spells of 0.3 s every 3 s.
  const double with_spells = share_of_first([](int i) { return i % 300 < 30 ? 2.5 : 1.0; });
  EXPECT_GT(with_spells, 0.42);
  EXPECT_LE(with_spells, 0.52);
  const double slow = share_of_first([](int) { return 1.7; });
  EXPECT_GT(slow, 0.3);
  EXPECT_LT(slow, 0.42);
}

}  // namespace
}  // namespace briarwood::routing
