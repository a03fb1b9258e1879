#include "control/impl/applier.h"

#include <gtest/gtest.h>

namespace briarwood::control {
namespace {

constexpr std::uint64_t kMiB = std::uint64_t{1024} * 1024;

// Guards against a member on a small VM that keeps tens of MiB of commands in memory and is killed
// for exceeding its memory limit.
TEST(ApplierTest, SmallStatesAreSavedAfterFewMegabytesOfCommands) {
  EXPECT_EQ(SnapshotThresholdBytes(0), 4 * kMiB);
  EXPECT_EQ(SnapshotThresholdBytes(kMiB / 2), 4 * kMiB);
}

// Guards against writing a large state again after every few commands.
TEST(ApplierTest, LargeStatesAreSavedAfterSeveralTimesTheirSize) {
  EXPECT_EQ(SnapshotThresholdBytes(5 * kMiB), 20 * kMiB);
  EXPECT_EQ(SnapshotThresholdBytes(500 * kMiB), 32 * kMiB);
}

}  // namespace
}  // namespace briarwood::control
