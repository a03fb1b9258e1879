#include "briarwood/control/member_identity.h"

#include <gtest/gtest.h>

namespace briarwood::control {
namespace {

schema::MemberIdentity Identity(std::uint64_t id) {
  schema::MemberIdentity identity;
  identity.set_member_id(id);
  return identity;
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
