#include "membership_simulation.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace briarwood::control {
namespace {

constexpr std::uint64_t kSeeds = 800;
constexpr unsigned kThreads = 4;

// Guards against a side of a partition that acknowledges beside the larger part of the core,
// against a group that stops acknowledging after replacements and tolerated losses, and against
// lost writes.
TEST(MembershipSimulationTest, InvariantsHoldForAllSeeds) {
  const char* chosen = std::getenv("BRIARWOOD_SIMULATION_SEED");
  const char* last_chosen = std::getenv("BRIARWOOD_SIMULATION_LAST_SEED");
  const std::uint64_t first = chosen == nullptr ? 1 : std::stoull(chosen);
  const std::uint64_t last = last_chosen != nullptr ? std::stoull(last_chosen)
                             : chosen == nullptr    ? kSeeds
                                                    : first;
  std::atomic<std::uint64_t> next = first;
  std::mutex mutex;
  MembershipSimulation::Coverage total;
  std::vector<std::string> failures;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed <= last; seed = next++) {
        MembershipSimulation simulation(seed);
        const auto violation = simulation.Run();
        const MembershipSimulation::Coverage& coverage = simulation.coverage();
        const std::lock_guard lock(mutex);
        if (violation) failures.push_back("seed " + std::to_string(seed) + " " + *violation);
        total.acknowledged += coverage.acknowledged;
        total.cuts += coverage.cuts;
        total.added += coverage.added;
        total.removed += coverage.removed;
        total.replaced += coverage.replaced;
        total.restarts += coverage.restarts;
        total.wipes += coverage.wipes;
        total.max_core = std::max(total.max_core, coverage.max_core);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  for (std::size_t i = 0; i < failures.size() && i < 5; ++i) ADD_FAILURE() << failures[i];
  EXPECT_TRUE(failures.empty()) << failures.size() << " seeds failed";
  std::cout << "acknowledged " << total.acknowledged << ", cuts " << total.cuts << ", added "
            << total.added << ", removed " << total.removed << ", replaced " << total.replaced
            << ", restarts " << total.restarts << ", wipes " << total.wipes << ", largest core "
            << total.max_core << "\n";
  if (chosen != nullptr) return;
  EXPECT_GT(total.cuts, kSeeds / 2);
  EXPECT_GT(total.removed, kSeeds / 2);
  EXPECT_GT(total.replaced, kSeeds / 2);
  EXPECT_GT(total.wipes, kSeeds / 2);
  EXPECT_EQ(total.max_core, 9U);
}

}  // namespace
}  // namespace briarwood::control
