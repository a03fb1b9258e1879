#include "control/impl/applier.h"

#include <gtest/gtest.h>

namespace briarwood::control {
namespace {

constexpr std::uint64_t kMiB = std::uint64_t{1024} * 1024;

// Guards against a member on a small VM that keeps tens of MiB of commands in memory, until it is
// ended for using too much.
TEST(ApplierTest, SmallStatesAreSavedAfterFewMegabytesOfCommands) {
  EXPECT_EQ(SnapshotDueBytes(0), 4 * kMiB);
  EXPECT_EQ(SnapshotDueBytes(kMiB / 2), 4 * kMiB);
}

// Guards against a large state that is written again for every few commands.
TEST(ApplierTest, LargeStatesAreSavedAfterSeveralTimesTheirSize) {
  EXPECT_EQ(SnapshotDueBytes(5 * kMiB), 20 * kMiB);
  EXPECT_EQ(SnapshotDueBytes(500 * kMiB), 32 * kMiB);
}

}  // namespace
}  // namespace briarwood::control
