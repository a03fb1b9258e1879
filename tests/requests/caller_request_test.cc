#include "briarwood/requests/caller_request.h"

#include <gtest/gtest.h>

namespace briarwood::requests {
namespace {

constexpr const char* kKey = "sk-secret-0001";

CallerHttpRequest MakeRequest() {
  CallerHttpRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.headers = {{"authorization", std::string("Bearer ") + kKey}};
  request.body = R"({"model":"m","prompt":"hello"})";
  return request;
}

// Guards against forwarding a key to a backend server in path, query, body or header (I4).
TEST(CallerRequestTest, I4KeyOutsideItsHeaderIsRejected) {
  EXPECT_EQ(ExtractKey(MakeRequest()).value(), kKey);
  CallerHttpRequest path = MakeRequest();
  path.path = "/book/sk-secret-0001";
  CallerHttpRequest query = MakeRequest();
  query.query = "a=sk%2Dsecret%2d0001";
  CallerHttpRequest body = MakeRequest();
  body.body = R"({"model":"m","prompt":"my key is sk-secret-\u0030001"})";
  CallerHttpRequest header = MakeRequest();
  header.headers.push_back({"Accept", kKey});
  // Half a character elsewhere in the body must not hide the key.
  CallerHttpRequest half = MakeRequest();
  half.body = R"({"a":"\udc00","prompt":"my key is sk-secret-\u0030001"})";
  for (const CallerHttpRequest& request : {path, query, body, half, header}) {
    const auto taken = ExtractKey(request);
    ASSERT_FALSE(taken.ok());
    EXPECT_EQ(taken.error().code, CallerErrorCode::kKeyInRequest);
  }
  EXPECT_TRUE(ForwardedHeaders(MakeRequest().headers).empty());
}

// Guards against a request that runs for a customer other than the key's (I3).
TEST(CallerRequestTest, I3CustomerNamedByTheCallerHasNoEffect) {
  CallerHttpRequest request = MakeRequest();
  request.headers.push_back({"briarwood-customer", "other"});
  EXPECT_EQ(ExtractKey(request).error().code, CallerErrorCode::kCustomerInHeader);
  const auto parsed = ParseCompletion(
      CompletionKind::kText, R"({"model":"m","prompt":"p","customer":"other","user":"u"})");
  ASSERT_TRUE(parsed.ok());
  EXPECT_EQ(parsed.value().engine_body, R"({"model":"m","prompt":"p"})");
}

// Guards against malformed bodies that reach an engine or crash the entry.
TEST(CallerRequestTest, RejectsMalformedBodies) {
  const std::vector<std::string> bodies = {"{",
                                           "[]",
                                           R"({"model":1,"prompt":"p"})",
                                           R"({"model":"m"})",
                                           R"({"model":"m","prompt":"p","max_tokens":-1})",
                                           std::string(1000, '[')};
  for (const std::string& body : bodies) {
    EXPECT_FALSE(ParseCompletion(CompletionKind::kText, body).ok()) << body;
  }
  const auto chat = ParseCompletion(
      CompletionKind::kChat,
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]})");
  ASSERT_TRUE(chat.ok());
  EXPECT_TRUE(chat.value().streamed);
  EXPECT_EQ(chat.value().prompt, "user: hi\n");
}

}  // namespace
}  // namespace briarwood::requests
