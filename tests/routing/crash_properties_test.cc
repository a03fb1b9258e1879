#include "briarwood/routing/crash_properties.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using ::testing::ElementsAre;
using ::testing::StartsWith;

const RequestIdentity kRequest{.customer = common::CustomerId("east"),
                               .method = "GET",
                               .host = "h.example",
                               .target = "/read/no17?page=2",
                               .body = "text"};

std::string FingerprintOf(const RequestIdentity& request) {
  return CrashProperties({}, request).front();
}

// Guards against a prompt part whose id is no text: evidence against it could not be reported, nor
// any other that the entry has gathered.
TEST(CrashPropertiesTest, NamesAPartWithoutTextByItsDigest) {
  const auto properties = CrashProperties({"\xff\xfe", "\xff"}, kRequest);
  EXPECT_THAT(properties,
              ElementsAre(StartsWith("part:"), StartsWith("part:"), StartsWith("request:")));
  EXPECT_NE(properties[0], properties[1]);
}

// Guards against a request that repeats without a prompt and has no property by which it is known.
TEST(CrashPropertiesTest, EveryRequestHasAFingerprint) {
  EXPECT_THAT(CrashProperties({}, kRequest), ElementsAre(StartsWith("request:")));
  EXPECT_THAT(CrashProperties({"shared", "own"}, kRequest),
              ElementsAre("shared", "own", FingerprintOf(kRequest)));
  EXPECT_LE(FingerprintOf(kRequest).size(), 64U);
}

// Guards against a repetition that is not recognised, and against one request that is held because
// of another.
TEST(CrashPropertiesTest, FingerprintDependsOnCustomerMethodHostTargetAndBody) {
  RequestIdentity same = kRequest;
  same.host = "H.Example";
  EXPECT_EQ(FingerprintOf(same), FingerprintOf(kRequest));
  RequestIdentity customer = kRequest;
  customer.customer = common::CustomerId("west");
  RequestIdentity method = kRequest;
  method.method = "HEAD";
  RequestIdentity host = kRequest;
  host.host = "i.example";
  RequestIdentity target = kRequest;
  target.target = "/read/no17?page=3";
  RequestIdentity body = kRequest;
  body.body = "other";
  for (const RequestIdentity& other : {customer, method, host, target, body}) {
    EXPECT_NE(FingerprintOf(other), FingerprintOf(kRequest));
  }
}

}  // namespace
}  // namespace briarwood::routing
