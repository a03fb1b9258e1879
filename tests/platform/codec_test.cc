#include "platform/codec.h"

#include <gtest/gtest.h>

#include "platform/arguments.h"

namespace briarwood::platform {
namespace {

// Malformed header fields count as absent.
TEST(CodecTest, ReadsRequestHeaders) {
  http::RequestHead head;
  head.headers.Add("briarwood-attempt-id", "9c41");
  head.headers.Add("Briarwood-Deadline-Ms", "5000");
  head.headers.Add("Authorization", "Bearer secret");
  head.headers.Add("Briarwood-Token-Usage", "1460, 80");
  head.headers.Add("Briarwood-Prefix-Hash", "5c1e:800,91bd:410,e440:250");
  head.headers.Add("Last-Event-Id", "12");
  head.headers.Add("Briarwood-Length-Hint", "many");
  const forwarding::RequestMetadata facts = MakeCodec().read_request(head);
  EXPECT_EQ(facts.id, "9c41");
  EXPECT_EQ(facts.time_left, std::chrono::milliseconds(5000));
  EXPECT_EQ(facts.key, "secret");
  EXPECT_EQ(facts.prompt_tokens, 1460U);
  EXPECT_EQ(facts.max_output_tokens, 80U);
  ASSERT_EQ(facts.prompt_parts.size(), 3U);
  EXPECT_EQ(facts.prompt_parts[1].id, "91bd");
  EXPECT_EQ(facts.prompt_parts[1].tokens, 410U);
  EXPECT_EQ(facts.last_event_id, 12U);
  EXPECT_FALSE(facts.expected_output_tokens.has_value());
}

TEST(CodecTest, IgnoresMalformedFields) {
  http::RequestHead head;
  head.headers.Add("Briarwood-Deadline-Ms", "-5");
  head.headers.Add("Authorization", "Basic abc");
  head.headers.Add("Briarwood-Token-Usage", "x");
  head.headers.Add("Briarwood-Prefix-Hash", ",,:,");
  const forwarding::RequestMetadata facts = MakeCodec().read_request(head);
  EXPECT_FALSE(facts.time_left.has_value());
  EXPECT_TRUE(facts.key.empty());
  EXPECT_EQ(facts.prompt_tokens, 0U);
}

// A response counts as "not executed" only if it states so.
TEST(CodecTest, ReadsResponseHeaders) {
  http::ResponseHead head;
  head.status = 503;
  EXPECT_FALSE(MakeCodec().read_response(head).not_executed);
  head.headers.Add("Briarwood-Not-Executed", "1");
  head.headers.Add("Briarwood-Load-Report", "3,0,8");
  const forwarding::ResponseMetadata facts = MakeCodec().read_response(head);
  EXPECT_TRUE(facts.not_executed);
  ASSERT_TRUE(facts.load.has_value());
  EXPECT_EQ(facts.load->running, 3U);
  EXPECT_EQ(facts.load->slots, 8U);
  http::ResponseHead other;
  other.status = 421;
  EXPECT_TRUE(MakeCodec().read_response(other).is_misdirected);
  http::ResponseHead bad;
  bad.headers.Add("Briarwood-Load-Report", "3,x,8");
  EXPECT_FALSE(MakeCodec().read_response(bad).load.has_value());
}

TEST(CodecTest, FormatsRetryAfterInFractionalSeconds) {
  EXPECT_EQ(MakeCodec().format_retry_after(std::chrono::milliseconds(350)), "0.350");
}

// Guards against seeds with the port of another listener.
TEST(ArgumentsTest, ReplacesThePortOfSeeds) {
  EXPECT_EQ(ToRpcAddresses({"10.1.0.9:8229"}, 7340), std::vector<std::string>{"10.1.0.9:7340"});
  EXPECT_EQ(ToRpcAddresses({"10.1.0.9:8229"}, 0), std::vector<std::string>{"10.1.0.9:8229"});
}

}  // namespace
}  // namespace briarwood::platform
