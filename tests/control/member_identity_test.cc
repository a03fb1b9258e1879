#include "briarwood/control/member_identity.h"

#include <gtest/gtest.h>

#include "briarwood/common/digest.h"
#include "briarwood/control/member_disk.h"

namespace briarwood::control {
namespace {

schema::MemberIdentity Identity(std::uint64_t id) {
  schema::MemberIdentity identity;
  identity.set_member_id(id);
  return identity;
}

constexpr std::uint64_t kSegmentBytes = 100;

/// Writes several log segments and a snapshot that covers the first of them.
void FillMemberDisk(const storage::Files& files) {
  auto disk = MemberDisk::Open(files, "data", kSegmentBytes);
  ASSERT_TRUE(disk.ok()) << disk.error();
  for (std::uint64_t index = 1; index <= 10; ++index) {
    consensus::PersistEntries entries;
    schema::LogEntry& entry = entries.entries.emplace_back();
    entry.set_index(index);
    entry.set_term(1);
    entry.set_payload(std::string(60, 'e'));
    disk.value().Write(entries);
    disk.value().Sync();
  }
  const std::string data = "state";
  schema::SnapshotMetadata metadata;
  metadata.set_index(3);
  metadata.set_term(1);
  metadata.set_size_bytes(data.size());
  metadata.set_checksum(common::Hash64(data));
  disk.value().SaveOwnSnapshot(metadata, data);
}

// Guards against a member that restarts under another id.
TEST(MemberIdentityTest, IsLoadedAfterSave) {
  storage::Files files{storage::MemoryFiles(std::make_shared<storage::MemoryDisk>())};
  EXPECT_FALSE(LoadMemberIdentity(files, "data").value().has_value());
  SaveMemberIdentity(files, "data", Identity(5));
  SaveMemberIdentity(files, "data", Identity(6));
  EXPECT_EQ(LoadMemberIdentity(files, "data").value()->member_id(), 6U);
}

// Guards against treating a damaged file as an empty folder: the member would form or join a group
// a second time.
TEST(MemberIdentityTest, ReportsADamagedFile) {
  storage::Files files{storage::MemoryFiles(std::make_shared<storage::MemoryDisk>())};
  files.CreateFolder("data");
  files.Open("data/identity").Append("garbage that is no identity");
  EXPECT_FALSE(LoadMemberIdentity(files, "data").ok());
}

// Guards against an identity that a member used before it was durable: after a loss of power the
// member had a log with votes and no id. The first process is killed at every step of its work.
TEST(MemberIdentityTest, IsDurableOnceLoaded) {
  bool killed = true;
  for (std::uint64_t operations = 0; killed; ++operations) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      common::Random random(seed);
      const auto disk = std::make_shared<storage::MemoryDisk>();
      storage::Files files{storage::MemoryFiles(disk)};
      disk->KillAfter(operations);
      try {
        SaveMemberIdentity(files, "data", Identity(5));
      } catch (const storage::StorageError&) {
        ASSERT_TRUE(disk->killed());
      }
      killed = disk->killed();
      disk->Restart();
      const bool has_identity = LoadMemberIdentity(files, "data").value().has_value();
      disk->Crash(random);
      const auto identity = LoadMemberIdentity(files, "data");
      ASSERT_TRUE(identity.ok()) << identity.error();
      EXPECT_EQ(identity.value().has_value(), has_identity) << operations << ", seed " << seed;
    }
  }
}

// Guards against a member that was killed while it erased its folder and ends at each start,
// because its log has lost its beginning.
TEST(MemberIdentityTest, FolderIsUsableAfterAnInterruptedErase) {
  bool killed = true;
  for (std::uint64_t operations = 0; killed; ++operations) {
    for (std::uint64_t seed = 0; seed <= 10; ++seed) {
      common::Random random(seed);
      const auto disk = std::make_shared<storage::MemoryDisk>();
      storage::Files files{storage::MemoryFiles(disk)};
      SaveMemberIdentity(files, "data", Identity(5));
      FillMemberDisk(files);
      disk->KillAfter(operations);
      try {
        EraseMember(files, "data");
      } catch (const storage::StorageError&) {
        ASSERT_TRUE(disk->killed());
      }
      killed = disk->killed();
      disk->Restart();
      if (seed > 0) disk->Crash(random);
      const auto identity = LoadMemberIdentity(files, "data");
      ASSERT_TRUE(identity.ok()) << identity.error();
      // Without an id the process starts as a new member, in an empty folder.
      if (!identity.value()) EraseMember(files, "data");
      const auto opened = MemberDisk::Open(files, "data", kSegmentBytes);
      ASSERT_TRUE(opened.ok()) << operations << ", seed " << seed << ": " << opened.error();
    }
  }
}

// Guards against a removed member that keeps its log and rejoins under its old id.
TEST(MemberIdentityTest, IsRemovedByErase) {
  storage::Files files{storage::MemoryFiles(std::make_shared<storage::MemoryDisk>())};
  files.CreateFolder("data");
  files.CreateFolder("data/log");
  files.CreateFolder("data/snapshots");
  files.Open("data/log/1").Append("entry");
  SaveMemberIdentity(files, "data", Identity(5));
  EraseMember(files, "data");
  EXPECT_FALSE(LoadMemberIdentity(files, "data").value().has_value());
  EXPECT_TRUE(files.List("data/log").empty());
}

}  // namespace
}  // namespace briarwood::control
