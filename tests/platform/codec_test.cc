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
  head.headers.Add("Resumes", "8b30");
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
  EXPECT_EQ(facts.resumed_request, "8b30");
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
  // Guards against a load that is cut to 32 bits and looks idle.
  http::ResponseHead large;
  large.headers.Add("Briarwood-Load-Report", "4294967296,4294967295,8");
  const auto load = MakeCodec().read_response(large).load;
  ASSERT_TRUE(load.has_value());
  EXPECT_GT(load->running, 1000U);
  EXPECT_GT(load->running + load->waiting, load->running);
}

// Guards against a load that is lost because a server adds items to its report, and against a
// speed that is made up from a malformed one.
TEST(CodecTest, ReadsLoadReportsWithFurtherItems) {
  const auto read = [](const char* value) {
    http::ResponseHead head;
    head.headers.Add("Briarwood-Load-Report", value);
    return MakeCodec().read_response(head).load;
  };
  ASSERT_TRUE(read("3,1,8"));
  EXPECT_FALSE(read("3,1,8")->slowness);
  for (const char* text : {"3,1,8,250", "3, 1, 8, 250", "3,1,8,250,7", "3,1,8,250,x"}) {
    const auto load = read(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->slots, 8U);
    EXPECT_EQ(load->slowness, 2.5);
  }
  EXPECT_EQ(read("3,1,8,62.5")->slowness, 0.625);
  for (const char* text : {"", "3,1", "3,1,8,x", "3,1,8,-5", "3,1,8,0", "3,1,8,nan", "3,1,8,,7",
                           "x,1,8,100", "3,1,8x,100"}) {
    EXPECT_FALSE(read(text)) << text;
  }
}

// Guards against what a server states about itself being missed or misread, and against values that
// would keep a server unused for ever.
TEST(CodecTest, ReadsWhatAServerStates) {
  const auto read = [](const char* name, const char* value, std::uint16_t status = 200) {
    http::ResponseHead head;
    head.status = status;
    head.headers.Add(name, value);
    return MakeCodec().read_response(head).statement;
  };
  EXPECT_TRUE(read("Server-Leaving", "1").leaving);
  EXPECT_FALSE(read("Server-Leaving", "0").leaving);
  EXPECT_EQ(read("Server-Limit", "2.5").requests_per_second, 2.5);
  EXPECT_EQ(read("Server-Limit", "0").requests_per_second, 0);
  EXPECT_EQ(read("Server-Limit", std::string(400, '9').c_str()).requests_per_second, 1e6);
  for (const char* invalid : {"", "many", "-1", "nan", "inf", "2.5x", "1e3", " "}) {
    EXPECT_FALSE(read("Server-Limit", invalid).requests_per_second.has_value()) << invalid;
    EXPECT_FALSE(read("Retry-After", invalid, 503).back_off.has_value()) << invalid;
  }
  EXPECT_EQ(read("Retry-After", "1.25", 503).back_off, std::chrono::milliseconds(1250));
  EXPECT_EQ(read("Retry-After", "99999999", 503).back_off, std::chrono::seconds(300));
  EXPECT_FALSE(read("Retry-After", "2", 429).back_off.has_value());
  EXPECT_FALSE(read("Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT", 503).back_off.has_value());
}

// Guards against a statement of another server at the address that is taken for the intended one's.
TEST(CodecTest, IgnoresWhatAnotherServerStates) {
  http::ResponseHead head;
  head.status = 421;
  head.headers.Add("Server-Leaving", "1");
  EXPECT_FALSE(MakeCodec().read_response(head).statement.leaving);
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
