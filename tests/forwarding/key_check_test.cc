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

  /// Puts `customers` in place of the list of customers of the fixture's document.
  static void ReplaceCustomers(const std::string& customers, std::string& content) {
    const std::size_t start = content.rfind(",\n      \"tenants\"");
    ASSERT_NE(start, std::string::npos);
    content.replace(start, std::string::npos, customers + "}");
  }

  static void ApplyWithCustomers(testing_support::TestControl& control, std::uint64_t version,
                                 const std::string& customers) {
    std::string content = Document(version, kKey);
    ASSERT_NO_FATAL_FAILURE(ReplaceCustomers(customers, content));
    schema::Command command;
    command.mutable_apply_configuration()->set_document("platform");
    command.mutable_apply_configuration()->set_version(version);
    command.mutable_apply_configuration()->set_content(content);
    ASSERT_EQ(control.Apply(command).code(), schema::RESULT_CODE_OK);
  }

  void ApplyWithCustomers(std::uint64_t version, const std::string& customers) {
    ApplyWithCustomers(control_, version, customers);
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

// Guards against a customer without keys whose configuration stops the check of keys.
TEST_F(KeyCheckTest, RejectsEveryKeyOfACustomerThatIsLeftWithoutKeys) {
  StartReadyEntry();
  EXPECT_EQ(StatusOf("/book/x", kKey), "HTTP/1.1 200");
  ApplyWithCustomers(2, R"(,"tenants":[{"name":"east","apiKeys":[]}])");
  ASSERT_TRUE(Eventually([this] { return StatusOf("/book/x", kKey) == "HTTP/1.1 401"; }));
  EXPECT_EQ(StatusOf("/book/x", "never-granted"), "HTTP/1.1 401");
  ApplyWithCustomers(3, R"(,"tenants":[{"name":"east"}])");
  EXPECT_EQ(StatusOf("/book/x", kKey), "HTTP/1.1 401");
}

// Guards against a connection that keeps the keys that were valid when it was opened.
TEST_F(KeyCheckTest, RejectsAWithdrawnKeyOnAConnectionThatStaysOpen) {
  StartReadyEntry();
  const auto kept = [](const std::string& id) {
    return "POST /book/x HTTP/1.1\r\nHost: h.example\r\nBriarwood-Attempt-Id: " + id +
           "\r\nAuthorization: Bearer " + kKey + "\r\nContent-Length: 2\r\n\r\n{}";
  };
  RawCall connection(node_->port(), kept("id-1"));
  ASSERT_TRUE(connection.WaitFor("Briarwood-Attempt-Id: id-1"));
  ApplyWithCustomers(2, R"(,"tenants":[])");
  ASSERT_TRUE(Eventually([this] { return StatusOf("/book/x", kKey) == "HTTP/1.1 401"; }));
  const std::size_t runs = backend_->requests().size();
  connection.Send(kept("id-2"));
  EXPECT_TRUE(connection.WaitFor("HTTP/1.1 401"));
  EXPECT_EQ(backend_->requests().size(), runs);
}

// Guards against a stream that goes on for a key that was withdrawn since it began.
TEST_F(KeyCheckTest, RejectsAWithdrawnKeyThatResumesAStream) {
  FakeBackend engine([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)));
    connection.Close();
  });
  List("m-1", engine.address());
  StartReadyEntry();
  EXPECT_THAT(Call("POST /ask/x", "", "{}"), ::testing::HasSubstr("piece2"));
  ApplyWithCustomers(2, R"(,"tenants":[])");
  ASSERT_TRUE(Eventually([this] { return StatusOf("/book/x", kKey) == "HTTP/1.1 401"; }));
  const std::size_t runs = engine.requests().size();
  const std::string resumed = Call("POST /draft/x", "Last-Event-Id: 2\r\nResumes: id-1\r\n", "{}");
  EXPECT_EQ(resumed.substr(0, 12), "HTTP/1.1 401");
  EXPECT_EQ(engine.requests().size(), runs);
}

// Guards against an entry that accepts every key beside members of a version that did not record
// whether keys are required, when the last customer goes.
TEST_F(KeyCheckTest, RunsNothingBesideMembersThatDoNotRecordTheCheck) {
  auto parser = platform::MakeParser(schema::PlatformSettings());
  parser.parse = [parse = parser.parse](const std::string& document, const std::string& content) {
    auto parsed = parse(document, content);
    if (!parsed.ok()) return parsed;
    schema::Configuration configuration = std::move(parsed).value();
    configuration.mutable_caller_limits()->clear_key_check();
    return decltype(parsed)::Success(std::move(configuration));
  };
  testing_support::TestControl earlier(std::move(parser));
  ApplyWithCustomers(earlier, 1,
                     R"(,"tenants":[{"name":"east","apiKeys":[")" + std::string(kKey) + R"("]}])");
  node_ = MakeEntry("entry/vm-1", 7, earlier.address());
  ASSERT_NE(node_, nullptr);
  ASSERT_TRUE(Eventually([this] { return node_->Ready(); }));
  EXPECT_EQ(StatusOf("/book/x", kKey), "HTTP/1.1 200");
  ApplyWithCustomers(earlier, 2, R"(,"tenants":[])");
  ASSERT_TRUE(Eventually([this] { return StatusOf("/book/x", kKey) == "HTTP/1.1 503"; }));
  EXPECT_EQ(StatusOf("/book/x", "never-granted"), "HTTP/1.1 503");
  EXPECT_EQ(StatusOf("/open/x", ""), "HTTP/1.1 200");
}

}  // namespace
}  // namespace briarwood::forwarding
