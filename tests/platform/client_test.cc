#include "platform/client.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/raw_server.h"

namespace briarwood::platform {
namespace {

using testing_support::RawServer;

constexpr const char* kValidEntry =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":64,"state":"ready",
        "coldLeftMs":0,"id":"i-1"})";

// An invalid entry must neither hide the valid entries of its page nor add a backend server.
TEST(PlatformClientTest, SkipsInvalidEntries) {
  schema::BackendList list;
  const auto next = ReadPage(std::string(R"({"instances":[)") + kValidEntry +
                                 R"(,{"id":"i-2"},{"id":5,"service":"s"},"text",null,
                                 {"service":"s","addr":"10.0.0.9","zone":"z","slots":1,
                                  "state":"ready","id":"i-3"},
                                 {"service":"s","addr":"10.0.0.8:80","zone":"z","slots":"many",
                                  "state":"ready","id":"i-4"},
                                 {"service":"s","addr":"10.0.0.8:80","zone":"z","slots":1,
                                  "state":"dreaming","id":"i-5"}],"next":"p-50"})",
                             list);
  ASSERT_TRUE(next.ok());
  EXPECT_EQ(next.value(), "p-50");
  ASSERT_EQ(list.backends_size(), 1);
  EXPECT_EQ(list.backends(0).id(), "i-1");
  EXPECT_EQ(list.backends(0).slots(), 64U);
  schema::BackendList none;
  EXPECT_FALSE(ReadPage("{\"instances\":", none).ok());
}

// Guards against one odd entry of another writer that makes the whole list unreadable: no entry
// would follow the list any more, and servers that leave would keep getting requests.
TEST(PlatformClientTest, OddEntryHidesNoOther) {
  const auto with = [](const std::string& field) {
    std::string entry =
        R"({"service":"s","addr":"10.0.0.8:80","zone":"z","slots":1,"state":"ready","id":"odd",)";
    return entry.append(field).append("}");
  };
  const std::vector<std::string> odd = {
      with(R"("x":1e999)"),
      with(R"("x":-1e400)"),
      with(R"("coldLeftMs":1e300)"),
      with(R"("x":)" + std::string(100'000, '[') + std::string(100'000, ']')),
      with(R"("x":)" + std::string(1200, '[') + std::string(1200, ']')),
      with(R"("x":"\ud800")"),
      with(R"("x":NaN)"),
      with("\"x\":\"\xff\xfe\""),
      with(R"("x":)" + std::string(R"(")") + std::string(2'000'000, 'x') + R"(")"),
      with(R"("x":"]},{\"")"),
      with(R"("slots":99999999999999999999)"),
      R"({"service":"s","addr":"10.0.0.8:99999","zone":"z","slots":1,"state":"ready","id":"odd"})",
      "bareword",
      "NaN",
      "-",
      "{}",
      "[]",
      "\"\x01\"",
      std::string(50'000, '[') + std::string(50'000, ']')};
  for (const std::string& entry : odd) {
    std::string second = kValidEntry;
    second.replace(second.find("i-1"), 3, "i-2");
    schema::BackendList list;
    std::string page = R"({"instances":[)";
    page.append(kValidEntry).append(",").append(entry).append(",").append(second);
    page.append(R"(],"a\"}]b":[1,{}],"next":"p-50"})");
    const auto next = ReadPage(page, list);
    const std::string shown = entry.substr(0, 120);
    ASSERT_TRUE(next.ok()) << shown << ": " << next.error();
    EXPECT_EQ(next.value(), "p-50") << shown;
    std::vector<std::string> ids;
    for (const schema::ListedBackend& backend : list.backends()) {
      if (backend.id() != "odd") ids.push_back(backend.id());
    }
    EXPECT_EQ(ids, (std::vector<std::string>{"i-1", "i-2"})) << shown;
  }
}

// Guards against an entry of the list with half a character, which would make each sync that
// carries the list unreadable.
TEST(PlatformClientTest, LeavesOutAnEntryWithHalfACharacter) {
  schema::BackendList list;
  const std::string half =
      R"({"service":"s","addr":"10.0.0.8:80","zone":"z","slots":1,"state":"ready","id":"x\udc00"})";
  ASSERT_TRUE(
      ReadPage(std::string(R"({"instances":[)") + half + "," + kValidEntry + "]}", list).ok());
  ASSERT_EQ(list.backends_size(), 1);
  EXPECT_EQ(list.backends(0).id(), "i-1");
}

// Guards against a time until a server is warm that no integer can hold.
TEST(PlatformClientTest, BoundsTheWarmUpTime) {
  schema::BackendList list;
  std::string entry = kValidEntry;
  entry.replace(entry.find(R"("coldLeftMs":0)"), 14, R"("coldLeftMs":1e300)");
  ASSERT_TRUE(ReadPage(R"({"instances":[)" + entry + R"(],"next":null})", list).ok());
  ASSERT_EQ(list.backends_size(), 1);
  EXPECT_LT(list.backends(0).warm_up_ms(), std::uint64_t{1} << 50U);
}

// Guards against a list that is cut off after its first page.
TEST(PlatformClientTest, ReadsAllPages) {
  RawServer server([](const auto& connection, const auto& request) {
    const bool first = request.path.find("pageToken") == std::string::npos;
    std::string entry = kValidEntry;
    if (!first) entry.replace(entry.find("i-1"), 3, "i-2");
    connection.Respond(
        "200 OK", R"({"instances":[)" + entry + R"(],"next":)" + (first ? R"("p-1"})" : "null}"));
  });
  schema::PlatformSettings settings;
  settings.set_address(server.address());
  const auto list = Client(settings, "node").ReadBackends();
  ASSERT_TRUE(list.ok()) << list.error();
  EXPECT_EQ(list.value().backends_size(), 2);
  EXPECT_NE(list.value().digest(), 0U);
}

// A platform that rejects the request or is unreachable must not count as an empty list.
TEST(PlatformClientTest, FailsWhenThePlatformRejectsOrIsUnreachable) {
  RawServer server([](const auto& connection, const auto&) {
    connection.Respond("429 Too Many Requests", "{}");
  });
  schema::PlatformSettings settings;
  settings.set_address(server.address());
  EXPECT_FALSE(Client(settings, "node").ReadBackends().ok());
  server.Crash();
  EXPECT_FALSE(Client(settings, "node").ReadBackends().ok());
}

// The report must not count late calls, whose window has already been reported.
TEST(PlatformClientTest, ExcludesLateCallsFromTheReport) {
  schema::UsageWindow window;
  window.set_start_unix_ms(1'767'225'600'000);
  schema::UsageLine& line = *window.add_lines();
  line.set_customer("east");
  line.set_calls(12);
  line.set_late_calls(2);
  EXPECT_EQ(UsageBody(window, 5000), R"({"counts":{"east":10},"windowId":353445120})");
}

// A lease holder must stop reporting once the platform has received a higher fencing token.
TEST(PlatformClientTest, DetectsAReportRejectedByFencingToken) {
  std::string head;
  RawServer server([&head](const auto& connection, const auto& request) {
    head = request.head;
    connection.Respond("409 Conflict", "{}");
  });
  schema::PlatformSettings settings;
  settings.set_address(server.address());
  settings.set_usage_window_ms(5000);
  const control::ReportResponse answer =
      Client(settings, "node-1").SendUsage(schema::UsageWindow(), common::Term(12));
  EXPECT_TRUE(answer.stale_fencing_token);
  EXPECT_FALSE(answer.receipt.has_value());
  EXPECT_NE(head.find("Briarwood-Fencing-Token: 12"), std::string::npos);
  EXPECT_NE(head.find("Briarwood-Lease-Holder: node-1"), std::string::npos);
}

}  // namespace
}  // namespace briarwood::platform
