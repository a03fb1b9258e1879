#include "briarwood/storage/log_store.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace briarwood::storage {
namespace {

schema::LogEntry Entry(std::uint64_t index, std::uint64_t term) {
  schema::LogEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_kind(schema::ENTRY_KIND_COMMAND);
  entry.set_payload("payload " + std::to_string(index));
  return entry;
}

class LogStoreTest : public testing::Test {
 protected:
  [[nodiscard]] common::Result<LogStore, StorageError> Open(std::uint64_t segment_bytes = 1 << 20) {
    return LogStore::Open(Files(MemoryFiles(disk_)),
                          {.folder = "log", .segment_bytes = segment_bytes});
  }

  static void AppendSynced(LogStore& log, std::uint64_t first, std::uint64_t last,
                           std::uint64_t term = 1) {
    for (std::uint64_t index = first; index <= last; ++index) {
      log.Append({Entry(index, term)});
      log.Sync();
    }
  }

  /// Writes entries, until the process is killed if MemoryDisk::KillAfter was called.
  void WriteUntilKilled(std::uint64_t segment_bytes) {
    try {
      auto log = Open(segment_bytes);
      if (!log.ok()) return;
      AppendSynced(log.value(), 1, 6);
      log.value().DeletePrefix(2);
      log.value().Append({Entry(7, 1), Entry(8, 1)});
      log.value().Sync();
    } catch (const StorageError&) {
      ASSERT_TRUE(disk_->killed());
    }
  }

  std::shared_ptr<MemoryDisk> disk_ = std::make_shared<MemoryDisk>();
};

// Guards against synced entries or votes that are missing after a restart, with real files.
TEST_F(LogStoreTest, KeepsSyncedDataOnPosixFiles) {
  std::string folder = (std::filesystem::temp_directory_path() / "briarwood-XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  schema::HardState state;
  state.set_term(7);
  state.set_voted_for(2);
  {
    auto log = LogStore::Open(Files(PosixFiles()), {.folder = folder + "/log"});
    ASSERT_TRUE(log.ok()) << log.error().what();
    log.value().SetHardState(state);
    AppendSynced(log.value(), 1, 20);
    log.value().Append({Entry(15, 7)});
    log.value().Sync();
  }
  auto log = LogStore::Open(Files(PosixFiles()), {.folder = folder + "/log"});
  std::filesystem::remove_all(folder);
  ASSERT_TRUE(log.ok()) << log.error().what();
  const LogContents contents = log.value().TakeContents();
  EXPECT_EQ(contents.hard_state.term(), 7U);
  EXPECT_EQ(contents.hard_state.voted_for(), 2U);
  ASSERT_EQ(contents.entries.size(), 15U);
  EXPECT_EQ(contents.entries.back().term(), 7U);
}

// Guards against a member that does not start after a crash during a write.
TEST_F(LogStoreTest, TruncatesATornTailOfAnyLength) {
  std::size_t full = 0;
  for (std::size_t kept = 0; kept == 0 || kept < full; ++kept) {
    disk_->Wipe();
    {
      auto log = Open();
      AppendSynced(log.value(), 1, 3);
    }
    const std::string path = disk_->paths().back();
    const std::size_t synced = disk_->content(path).size();
    {
      MemoryFiles files(disk_);
      MemoryFile file = files.Open(path);
      auto other = std::make_shared<MemoryDisk>();
      auto log = LogStore::Open(Files(MemoryFiles(other)), {.folder = "log"});
      AppendSynced(log.value(), 1, 4);
      const std::string record = other->content(other->paths().back()).substr(synced);
      full = record.size();
      file.Append(record.substr(0, kept));
      file.Sync();
    }
    auto log = Open();
    ASSERT_TRUE(log.ok()) << kept << ": " << log.error().what();
    EXPECT_EQ(log.value().TakeContents().entries.size(), 3U) << kept;
  }
}

// Guards against a damaged record that is treated as a torn tail, which would discard acknowledged
// entries.
TEST_F(LogStoreTest, ReportsDamageBeforeTheTail) {
  {
    auto log = Open();
    AppendSynced(log.value(), 1, 10);
  }
  const std::string path = disk_->paths().back();
  disk_->Damage(path, disk_->content(path).size() / 2);
  const auto log = Open();
  ASSERT_FALSE(log.ok());
  EXPECT_EQ(log.error().problem(), StorageProblem::kDamaged);
  EXPECT_NE(std::string(log.error().what()).find(path + " is damaged at byte"), std::string::npos)
      << log.error().what();
}

// Guards against damage at the end of an older segment that is treated as a torn tail.
TEST_F(LogStoreTest, ReportsDamageAtTheEndOfAnOlderSegment) {
  {
    auto log = Open();
    AppendSynced(log.value(), 1, 10);
  }
  const std::string path = disk_->paths().back();
  { ASSERT_TRUE(Open().ok()); }
  disk_->Damage(path, disk_->content(path).size() - 1);
  EXPECT_FALSE(Open().ok());
}

// Guards against entries that a process wrote without a sync, that its successor loads and
// acknowledges, and that the next loss of power takes: the log then has a gap and the member ends
// at each start. The first process is killed at every step of its work.
TEST_F(LogStoreTest, KeepsLoadedEntriesAcrossALossOfPower) {
  for (const std::uint64_t segment_bytes : {std::uint64_t{200}, std::uint64_t{1} << 20}) {
    bool killed = true;
    for (std::uint64_t operations = 0; killed; ++operations) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        common::Random random(seed);
        disk_->Wipe();
        disk_->KillAfter(operations);
        WriteUntilKilled(segment_bytes);
        killed = disk_->killed();
        disk_->Restart();
        std::uint64_t acknowledged = 0;
        {
          auto log = Open(segment_bytes);
          ASSERT_TRUE(log.ok()) << log.error().what();
          acknowledged = log.value().last_index() + 2;
          AppendSynced(log.value(), acknowledged - 1, acknowledged);
        }
        for (int loss = 1; loss <= 2; ++loss) {
          disk_->Crash(random);
          auto log = Open(segment_bytes);
          ASSERT_TRUE(log.ok()) << operations << " operations, seed " << seed << ", loss " << loss
                                << ": " << log.error().what();
          ASSERT_EQ(log.value().last_index(), acknowledged) << operations << ", seed " << seed;
          ++acknowledged;
          AppendSynced(log.value(), acknowledged, acknowledged);
        }
      }
    }
  }
}

// Guards against acknowledging writes after a failed sync, even if the disk recovers.
TEST_F(LogStoreTest, RejectsWritesAfterAFailure) {
  auto log = Open();
  AppendSynced(log.value(), 1, 3);
  disk_->set_sync_fails(true);
  log.value().Append({Entry(4, 1)});
  EXPECT_THROW(log.value().Sync(), StorageError);
  disk_->set_sync_fails(false);
  EXPECT_THROW(log.value().Append({Entry(5, 1)}), StorageError);
  EXPECT_THROW(log.value().Sync(), StorageError);
}

/// Room that is left on the disk when it fills up, and whether the VM loses power meanwhile.
class FullDiskTest : public LogStoreTest,
                     public testing::WithParamInterface<std::tuple<std::uint64_t, bool>> {};

// Guards against a full disk that ends the log, that acknowledges what is not on it, or that leaves
// a torn record or a gap behind: what did not fit becomes durable once there is room.
TEST_P(FullDiskTest, LosesNothingAndGoesOn) {
  const auto [room, loses_power] = GetParam();
  constexpr std::uint64_t kSegmentBytes = 300;
  common::Random random(room + 1);
  std::uint64_t acknowledged = 3;
  {
    auto log = Open(kSegmentBytes);
    AppendSynced(log.value(), 1, acknowledged);
    disk_->set_capacity(disk_->size() + room);
    for (std::uint64_t index = 4; index <= 30; ++index) {
      log.value().Append({Entry(index, 1)});
      try {
        log.value().Sync();
        acknowledged = index;
      } catch (const StorageError& error) {
        ASSERT_EQ(error.problem(), StorageProblem::kDiskFull);
      }
    }
    ASSERT_LT(acknowledged, 30U);
    if (!loses_power) {
      disk_->set_capacity(UINT64_MAX);
      log.value().Sync();
      AppendSynced(log.value(), 31, 40);
      acknowledged = 40;
    }
  }
  disk_->Crash(random);
  disk_->set_capacity(UINT64_MAX);
  auto log = Open(kSegmentBytes);
  ASSERT_TRUE(log.ok()) << log.error().what();
  const LogContents contents = log.value().TakeContents();
  ASSERT_GE(contents.last_index(), acknowledged);
  for (const schema::LogEntry& entry : contents.entries) {
    EXPECT_EQ(entry.payload(), "payload " + std::to_string(entry.index()));
  }
}

INSTANTIATE_TEST_SUITE_P(Rooms, FullDiskTest,
                         testing::Combine(testing::Range<std::uint64_t>(0, 400, 13),
                                          testing::Bool()));

// Guards against a log that grows without bound, and against losing the vote when old segments are
// deleted.
TEST_F(LogStoreTest, PrefixDeletionBoundsTheLogAndKeepsTheHardState) {
  constexpr std::uint64_t kSegmentBytes = 4096;
  constexpr std::uint64_t kEntries = 5000;
  constexpr std::uint64_t kSnapshotEvery = 100;
  {
    auto log = Open(kSegmentBytes);
    schema::HardState state;
    state.set_term(9);
    log.value().SetHardState(state);
    for (std::uint64_t index = 1; index <= kEntries; ++index) {
      AppendSynced(log.value(), index, index);
      if (index % kSnapshotEvery == 0) log.value().DeletePrefix(index - kSnapshotEvery / 2);
      ASSERT_LT(disk_->size(), 5 * kSegmentBytes);
    }
  }
  auto log = Open(kSegmentBytes);
  ASSERT_TRUE(log.ok()) << log.error().what();
  const LogContents contents = log.value().TakeContents();
  EXPECT_EQ(contents.hard_state.term(), 9U);
  EXPECT_EQ(contents.last_index(), kEntries);
}

// Guards against a member that does not start after a segment was deleted that preceded replaced
// entries: loading then meets an entry before the start of the log (simulation seed 682).
TEST_F(LogStoreTest, LoadsReplacedEntriesAfterPrefixDeletion) {
  constexpr std::uint64_t kSegmentBytes = 200;
  {
    auto log = Open(kSegmentBytes);
    AppendSynced(log.value(), 1, 20, 1);
    AppendSynced(log.value(), 10, 30, 2);
    log.value().DeletePrefix(15);
    ASSERT_GT(log.value().segment_count(), 1U);
  }
  auto log = Open(kSegmentBytes);
  ASSERT_TRUE(log.ok()) << log.error().what();
  const LogContents contents = log.value().TakeContents();
  EXPECT_LE(contents.start_index, 15U);
  EXPECT_EQ(contents.last_index(), 30U);
  for (const schema::LogEntry& entry : contents.entries) {
    EXPECT_TRUE(entry.index() <= 15 || entry.term() == 2) << entry.index();
  }
}

}  // namespace
}  // namespace briarwood::storage
