#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

/// Configurations whose list of customers is empty or missing.
class KeyCheckTest : public ForwardingTest {
 protected:
  void SetUp() override {
    backend_ = std::make_unique<FakeBackend>([](const auto& connection, const auto& request) {
      connection.Send(Answer(request, "ok"));
    });
    List("a-1", backend_->address());
  }

  /// Applies the fixture's document with `customers` in place of its list of customers.
  void ApplyWithCustomers(std::uint64_t version, const std::string& customers) {
    std::string content = Document(version, kKey);
    const std::size_t start = content.rfind(",\n      \"tenants\"");
    ASSERT_NE(start, std::string::npos);
    content.erase(start);
    schema::Command command;
    command.mutable_apply_configuration()->set_document("platform");
    command.mutable_apply_configuration()->set_version(version);
    command.mutable_apply_configuration()->set_content(content + customers + "}");
    ASSERT_EQ(control_.Apply(command).code(), schema::RESULT_CODE_OK);
  }

  std::string StatusOf(const std::string& target, const std::string& key) {
    return Call("POST " + target, "", "{}", key).substr(0, 12);
  }

  std::unique_ptr<FakeBackend> backend_;
};

// Guards against a configuration that withdraws the last key and thereby accepts every key.
TEST_F(KeyCheckTest, RejectsEveryKeyOnceTheLastCustomerIsGone) {
  StartReadyEntry();
  EXPECT_EQ(StatusOf("/book/x", kKey), "HTTP/1.1 200");
  ApplyWithCustomers(2, R"(,"tenants":[])");
  ASSERT_TRUE(Eventually([this] { return StatusOf("/book/x", kKey) == "HTTP/1.1 401"; }));
  EXPECT_EQ(StatusOf("/book/x", "never-granted"), "HTTP/1.1 401");
  EXPECT_EQ(StatusOf("/book/x", ""), "HTTP/1.1 401");
  EXPECT_EQ(StatusOf("/open/x", ""), "HTTP/1.1 200");
}

// Guards against an entry that starts with an empty list of customers, which no delta tells apart.
TEST_F(KeyCheckTest, RejectsEveryKeyFromTheStart) {
  ApplyWithCustomers(1, R"(,"tenants":[])");
  StartEntry();
  ASSERT_TRUE(Eventually([this] { return node_->Ready(); }));
  EXPECT_EQ(StatusOf("/book/x", kKey), "HTTP/1.1 401");
}

// Guards against an installation without customers whose requests would all need a key.
TEST_F(KeyCheckTest, AsksForNoKeyWithoutAListOfCustomers) {
  ApplyWithCustomers(1, "");
  StartEntry();
  ASSERT_TRUE(Eventually([this] { return node_->Ready(); }));
  EXPECT_EQ(StatusOf("/book/x", ""), "HTTP/1.1 200");
}

}  // namespace
}  // namespace briarwood::forwarding
