#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "simulation.h"

namespace briarwood::consensus {
namespace {

constexpr std::uint64_t kSeeds = 1000;
constexpr unsigned kThreads = 4;

std::string ReplayCommand(std::uint64_t seed) {
  return "replay: BRIARWOOD_SIMULATION_SEED=" + std::to_string(seed) +
         " build/briarwood_consensus_test --gtest_filter=RaftSimulationTest.*";
}

// Guards against two leaders in a term, missing or differing committed entries, two lease holders,
// stale confirmed reads, and a group that makes no progress after its faults are healed.
TEST(RaftSimulationTest, InvariantsHoldForAllSeeds) {
  const char* chosen = std::getenv("BRIARWOOD_SIMULATION_SEED");
  const std::uint64_t first = chosen == nullptr ? 1 : std::stoull(chosen);
  const std::uint64_t last = chosen == nullptr ? kSeeds : first;
  std::atomic<std::uint64_t> next = first;
  std::mutex mutex;
  Simulation::Coverage total;
  std::vector<std::string> failures;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed <= last; seed = next++) {
        Simulation simulation(seed);
        const auto violation = simulation.Run();
        const Simulation::Coverage& coverage = simulation.coverage();
        const std::lock_guard lock(mutex);
        if (violation) failures.push_back(*violation + "\n  " + ReplayCommand(seed));
        total.leaders += coverage.leaders;
        total.acknowledged += coverage.acknowledged;
        total.reads += coverage.reads;
        total.crashes += coverage.crashes;
        total.replacements += coverage.replacements;
        total.disk_failures += coverage.disk_failures;
        total.snapshots_received += coverage.snapshots_received;
        total.transfers += coverage.transfers;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  for (std::size_t i = 0; i < failures.size() && i < 5; ++i) ADD_FAILURE() << failures[i];
  EXPECT_TRUE(failures.empty()) << failures.size() << " seeds failed";
  std::cout << "leaders " << total.leaders << ", acknowledged writes " << total.acknowledged
            << ", confirmed reads " << total.reads << ", crashes " << total.crashes
            << ", replacements " << total.replacements << ", disk failures " << total.disk_failures
            << ", snapshots received " << total.snapshots_received << ", transfers "
            << total.transfers << "\n";
  if (chosen != nullptr) return;
  EXPECT_GT(total.replacements, kSeeds / 10);
  EXPECT_GT(total.disk_failures, kSeeds / 10);
  EXPECT_GT(total.snapshots_received, kSeeds / 10);
  EXPECT_GT(total.leaders, 3 * kSeeds);
}

}  // namespace
}  // namespace briarwood::consensus
