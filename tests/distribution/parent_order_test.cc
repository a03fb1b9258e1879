#include "briarwood/distribution/parent_order.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace briarwood::distribution {
namespace {

std::vector<std::string> Members(int count) {
  std::vector<std::string> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) members.push_back("10." + std::to_string(i) + ".0.7:7340");
  return members;
}

/// \returns the number of entries that use each member, without those in `failed`.
std::map<std::string, int> Children(int entries, const std::vector<std::string>& members,
                                    const std::string& failed = {}) {
  std::map<std::string, int> children;
  for (int entry = 0; entry < entries; ++entry) {
    const auto parents = OrderParents("entry/vm-" + std::to_string(entry), members);
    const std::string& first = parents.front() == failed ? parents[1] : parents.front();
    ++children[first];
  }
  return children;
}

// Guards against all entries of a large fleet that sync with one member, which then answers too
// late, before and after the loss of a member.
TEST(ParentOrderTest, MembersShareTheEntriesOfAFleetOfAnySize) {
  for (const int entries : {70, 360}) {
    const auto members = Members(5);
    for (const std::string& failed : {std::string(), members[2]}) {
      const auto children = Children(entries, members, failed);
      const int in_use = failed.empty() ? 5 : 4;
      ASSERT_EQ(children.size(), static_cast<std::size_t>(in_use));
      for (const auto& [member, count] : children) {
        EXPECT_LT(count, 2 * entries / in_use) << member << " of " << entries;
      }
    }
  }
}

// Guards against entries that change their parent because another member was added, or because the
// members are listed in another order.
TEST(ParentOrderTest, OrderDependsOnTheAddressesOnly) {
  auto members = Members(6);
  const auto all = OrderParents("entry/vm-1", members);
  std::reverse(members.begin(), members.end());
  EXPECT_EQ(OrderParents("entry/vm-1", members), all);
  const std::string& last = all.back();
  std::erase(members, last);
  const auto fewer = OrderParents("entry/vm-1", members);
  EXPECT_TRUE(std::equal(fewer.begin(), fewer.end(), all.begin()));
}

}  // namespace
}  // namespace briarwood::distribution
