#include "briarwood/routing/forward_table.h"

#include <gtest/gtest.h>

#include "briarwood/common/digest.h"

namespace briarwood::routing {
namespace {

schema::ForwardRoute Route(const std::string& id, const std::string& host,
                           const std::string& prefix) {
  schema::ForwardRoute route;
  route.set_id(id);
  route.set_host(host);
  route.set_path_prefix(prefix);
  return route;
}

std::string Match(const ForwardTable& table, const std::string& host, const std::string& path) {
  const schema::ForwardRoute* route = table.Match(host, path);
  return route == nullptr ? "none" : route->id();
}

// Guards against a table without customers that accepts every key although the configuration
// requires keys, or does not tell.
TEST(ForwardTableTest, RequiresKeysAsTheConfigurationTells) {
  const auto check = [](schema::KeyCheck recorded, std::vector<schema::Customer> customers) {
    schema::CallerLimits limits;
    limits.set_key_check(recorded);
    return ForwardTable(
               {.routes = {}, .services = {}, .customers = std::move(customers), .limits = limits})
        .key_check();
  };
  EXPECT_EQ(check(schema::KEY_CHECK_REQUIRED, {}), schema::KEY_CHECK_REQUIRED);
  EXPECT_EQ(check(schema::KEY_CHECK_NONE, {}), schema::KEY_CHECK_NONE);
  EXPECT_EQ(check(schema::KEY_CHECK_UNSPECIFIED, {}), schema::KEY_CHECK_UNSPECIFIED);
  EXPECT_EQ(check(schema::KEY_CHECK_UNSPECIFIED, {schema::Customer()}), schema::KEY_CHECK_REQUIRED);
}

// Guards against a route that matches requests of a more specific route or of another host.
TEST(ForwardTableTest, FindsTheLongestPrefixOfTheHost) {
  const ForwardTable table(
      {.routes = {Route("a", "h.example", "/x/"), Route("b", "h.example", "/x/y/"),
                  Route("c", "other.example", "/")},
       .services = {},
       .customers = {},
       .limits = schema::CallerLimits()});
  EXPECT_EQ(Match(table, "h.example", "/x/1"), "a");
  EXPECT_EQ(Match(table, "h.example", "/x/y/1"), "b");
  EXPECT_EQ(Match(table, "h.example", "/x/y"), "a");
  EXPECT_EQ(Match(table, "h.example", "/xy/1"), "none");
  EXPECT_EQ(Match(table, "H.Example:80", "/x/"), "a");
  EXPECT_EQ(Match(table, "other.example", "/anything"), "c");
  EXPECT_EQ(Match(table, "none.example", "/x/"), "none");
  EXPECT_EQ(Match(table, "h.example", ""), "none");
}

// Guards against a key that is attributed to another customer, and against a lost tier.
TEST(ForwardTableTest, FindsTheOwnerOfAKey) {
  schema::Customer east;
  east.set_id("east");
  east.set_tier(0);
  east.add_key_sha256(common::ToHex(common::Sha256("k1")));
  schema::Customer west;
  west.set_id("west");
  west.add_key_sha256(common::ToHex(common::Sha256("k2")));
  const ForwardTable table({.routes = {}, .services = {}, .customers = {east, west}, .limits = {}});
  ASSERT_NE(table.FindOwner("k1"), nullptr);
  EXPECT_EQ(table.FindOwner("k1")->customer.value(), "east");
  EXPECT_EQ(table.FindOwner("k1")->tier, common::Tier(0));
  EXPECT_FALSE(table.FindOwner("k2")->tier.has_value());
  EXPECT_EQ(table.FindOwner("k3"), nullptr);
}

// Guards against requests to a target of weight 0, and against shares that differ from the weights.
TEST(ForwardTableTest, SplitsByWeight) {
  schema::ForwardRoute route;
  for (const auto& [service, weight] :
       {std::pair("none", 0), std::pair("most", 90), std::pair("few", 10)}) {
    schema::RouteTarget& target = *route.add_targets();
    target.set_service(service);
    target.set_weight(static_cast<std::uint32_t>(weight));
  }
  EXPECT_EQ(ForwardTable::ChooseService(route, 0), "most");
  EXPECT_EQ(ForwardTable::ChooseService(route, 0.89), "most");
  EXPECT_EQ(ForwardTable::ChooseService(route, 0.91), "few");
  EXPECT_EQ(ForwardTable::ChooseService(route, 0.999), "few");
}

TEST(ForwardTableTest, IsUnknownBeforeAConfiguration) { EXPECT_FALSE(ForwardTable({}).known()); }

}  // namespace
}  // namespace briarwood::routing
