#include "briarwood/storage/snapshot_store.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "briarwood/common/digest.h"

namespace briarwood::storage {
namespace {

class SnapshotStoreTest : public testing::Test {
 protected:
  [[nodiscard]] common::Result<SnapshotStore, StorageError> Open() {
    return SnapshotStore::Open(Files(MemoryFiles(disk_)), "snapshots");
  }

  static schema::SnapshotMetadata MetadataOf(std::uint64_t index, const std::string& data) {
    schema::SnapshotMetadata metadata;
    metadata.set_index(index);
    metadata.set_size_bytes(data.size());
    metadata.set_checksum(common::Hash64(data));
    return metadata;
  }

  std::shared_ptr<MemoryDisk> disk_ = std::make_shared<MemoryDisk>();
};

// Guards against a crash during a save that leaves neither the old nor the new snapshot.
TEST_F(SnapshotStoreTest, KeepsOldOrNewAcrossCrashes) {
  const std::string old_data(1000, 'a');
  const std::string new_data(1000, 'b');
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    common::Random random(seed);
    disk_->Wipe();
    disk_->set_capacity(UINT64_MAX);
    {
      auto store = Open();
      store.value().Save(MetadataOf(10, old_data), old_data);
      disk_->set_capacity(disk_->size() + random.Below(2200));
      try {
        store.value().Save(MetadataOf(20, new_data), new_data);
      } catch (const StorageError& error) {
        EXPECT_EQ(error.problem(), StorageProblem::kDiskFull);
      }
    }
    disk_->Crash(random);
    disk_->set_capacity(UINT64_MAX);
    const auto store = Open();
    ASSERT_TRUE(store.ok()) << "seed " << seed << ": " << store.error().what();
    ASSERT_TRUE(store.value().loaded()) << "seed " << seed;
    const Snapshot& loaded = *store.value().loaded();
    EXPECT_EQ(*loaded.data, loaded.metadata.index() == 20 ? new_data : old_data) << "seed " << seed;
  }
}

// Guards against a full disk after which no snapshot is saved any more, and against a part of one
// that takes the room that the log needs.
TEST_F(SnapshotStoreTest, SavesAgainOnceTheDiskHasRoom) {
  const std::string data(1000, 'a');
  auto store = Open();
  for (const std::uint64_t room : {std::uint64_t{0}, std::uint64_t{30}, std::uint64_t{500}}) {
    const std::uint64_t used = disk_->size();
    disk_->set_capacity(used + room);
    EXPECT_THROW(store.value().Save(MetadataOf(10 + room, data), data), StorageError);
    EXPECT_EQ(disk_->size(), used);
    disk_->set_capacity(UINT64_MAX);
    store.value().Save(MetadataOf(10 + room, data), data);
    EXPECT_EQ(store.value().latest_index(), 10 + room);
  }
}

// Guards against a snapshot whose renaming was not durable when the process was killed: its
// successor loaded it and removed the previous one, and a loss of power then left the older one or
// none. The first process is killed at every step of its work.
TEST_F(SnapshotStoreTest, KeepsALoadedSnapshotAcrossALossOfPower) {
  const std::string data(100, 'a');
  bool killed = true;
  for (std::uint64_t operations = 0; killed; ++operations) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      common::Random random(seed);
      disk_->Wipe();
      disk_->KillAfter(operations);
      try {
        auto store = Open();
        for (const std::uint64_t index : {10U, 20U, 30U}) {
          store.value().Save(MetadataOf(index, data), data);
        }
      } catch (const StorageError&) {
        ASSERT_TRUE(disk_->killed());
      }
      killed = disk_->killed();
      disk_->Restart();
      std::uint64_t loaded = 0;
      {
        const auto store = Open();
        ASSERT_TRUE(store.ok()) << store.error().what();
        loaded = store.value().latest_index();
      }
      disk_->Crash(random);
      const auto store = Open();
      ASSERT_TRUE(store.ok()) << store.error().what();
      ASSERT_EQ(store.value().latest_index(), loaded) << operations << ", seed " << seed;
    }
  }
}

// Guards against loading a damaged snapshot.
TEST_F(SnapshotStoreTest, RejectsDamagedSnapshots) {
  const std::string data(1000, 'a');
  {
    auto store = Open();
    store.value().Save(MetadataOf(10, data), data);
  }
  const std::string path = disk_->paths().front();
  for (const std::uint64_t offset : {std::uint64_t{3}, std::uint64_t{15}, std::uint64_t{700}}) {
    disk_->Damage(path, offset);
    const auto damaged = Open();
    ASSERT_FALSE(damaged.ok()) << offset;
    EXPECT_EQ(damaged.error().problem(), StorageProblem::kDamaged);
    disk_->Damage(path, offset);
    EXPECT_TRUE(Open().ok());
  }
}

}  // namespace
}  // namespace briarwood::storage
