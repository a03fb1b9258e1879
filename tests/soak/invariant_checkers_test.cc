#include "soak/invariant_checkers.h"

#include <gtest/gtest.h>

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

common::Time At(milliseconds since_start) { return common::Time(since_start); }

class RequestCheckerTest : public ::testing::Test {
 protected:
  void Send(CallKind kind) {
    checker_.OnSent("id", {.kind = kind, .target = "/a", .body = "body", .customer = "north"});
  }
  void Run() {
    checker_.OnRun(
        {.id = "id", .backend_server = "b-1", .target = "/a", .body = "body", .customer = "north"},
        At(seconds(1)));
  }
  void Respond(std::uint16_t status, const std::string& body, bool complete = true,
               bool has_signature = true) {
    checker_.OnResponse(
        "id",
        {.status = status, .has_signature = has_signature, .complete = complete, .body = body},
        At(seconds(2)));
  }

  ViolationLog log_;
  RequestChecker checker_{log_};
};

TEST_F(RequestCheckerTest, AcceptsACompleteResponse) {
  Send(CallKind::kOnce);
  Run();
  Respond(200, RequestChecker::ExpectedBody("id", CallKind::kOnce));
  EXPECT_EQ(log_.count(), 0U);
  EXPECT_EQ(checker_.answered(), 1U);
}

TEST_F(RequestCheckerTest, AcceptsATruncatedStreamThatIsIncomplete) {
  Send(CallKind::kStream);
  Run();
  Respond(200, RequestChecker::Event("id", 1), /*complete=*/false);
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(RequestCheckerTest, ReportsATruncatedStreamThatAppearsComplete) {
  Send(CallKind::kStream);
  Run();
  Respond(200, RequestChecker::Event("id", 1));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestCheckerTest, ReportsAMissingEvent) {
  Send(CallKind::kResumableStream);
  Run();
  Respond(200, RequestChecker::Event("id", 1) + RequestChecker::Event("id", 3),
          /*complete=*/false);
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestCheckerTest, ReportsAResponseWithoutSignature) {
  Send(CallKind::kOnce);
  Run();
  Respond(200, RequestChecker::ExpectedBody("id", CallKind::kOnce), /*complete=*/true,
          /*has_signature=*/false);
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestCheckerTest, ReportsASecondRunOfANonRetryableCall) {
  Send(CallKind::kOnce);
  Run();
  Run();
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestCheckerTest, AcceptsASecondRunOfARetryableCall) {
  Send(CallKind::kRetryable);
  Run();
  Run();
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(RequestCheckerTest, ReportsARejectionAfterARun) {
  Send(CallKind::kOnce);
  Run();
  Respond(503, "");
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestCheckerTest, ReportsARunAfterARejection) {
  Send(CallKind::kRetryable);
  Respond(503, "");
  Run();
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestCheckerTest, ReportsAnUnexpectedRejection) {
  Send(CallKind::kOnce);
  Respond(404, "");
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestCheckerTest, ReportsAChangedBodyAKeyAndAnotherCustomer) {
  Send(CallKind::kOnce);
  checker_.OnRun({.id = "id",
                  .backend_server = "b-1",
                  .target = "/a",
                  .body = "other",
                  .customer = "south",
                  .carries_key = true},
                 At(seconds(1)));
  EXPECT_EQ(log_.count(), 3U);
}

TEST_F(RequestCheckerTest, ReportsARunWithoutARequest) {
  Run();
  EXPECT_EQ(log_.count(), 1U);
}

class ConfigurationCheckerTest : public ::testing::Test {
 protected:
  ConfigurationCheckerTest() {
    for (const std::uint64_t version : {3U, 5U, 8U}) {
      checker_.OnSent(version, "text " + std::to_string(version));
    }
  }
  void Read(std::uint64_t version, milliseconds sent_at) {
    checker_.OnRead("member-1", version, "text " + std::to_string(version), At(sent_at),
                    At(sent_at + milliseconds(5)));
  }

  ViolationLog log_;
  ConfigurationChecker checker_{log_, {.in_force = seconds(2), .revert_slack = milliseconds(250)}};
};

TEST_F(ConfigurationCheckerTest, AcceptsAnOlderReadWithinTheBound) {
  checker_.OnResponse(3, 200, /*valid=*/true, At(seconds(1)));
  checker_.OnResponse(5, 200, /*valid=*/true, At(seconds(4)));
  Read(3, milliseconds(5900));
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(ConfigurationCheckerTest, ReportsAnOlderReadAfterTheBound) {
  checker_.OnResponse(3, 200, /*valid=*/true, At(seconds(1)));
  checker_.OnResponse(5, 200, /*valid=*/true, At(seconds(4)));
  Read(3, milliseconds(6100));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationCheckerTest, ReportsContentThatWasNotSent) {
  checker_.OnRead("member-1", 5, "text 3", At(seconds(1)), At(seconds(1)));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationCheckerTest, ReportsAnAcceptedInvalidVersionAndItsRead) {
  checker_.OnResponse(5, 200, /*valid=*/false, At(seconds(1)));
  EXPECT_EQ(log_.count(), 1U);
  Read(5, milliseconds(1500));
  EXPECT_EQ(log_.count(), 2U);
}

TEST_F(ConfigurationCheckerTest, ReportsARejectedValidVersion) {
  checker_.OnResponse(5, 400, /*valid=*/true, At(seconds(1)));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationCheckerTest, ReportsAnEntryThatRevertsToAnOlderVersion) {
  checker_.OnServed("entry-1", 1, 5, At(seconds(1)), At(seconds(1)));
  checker_.OnServed("entry-1", 1, 3, At(milliseconds(1300)), At(milliseconds(1310)));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationCheckerTest, AcceptsAnOlderVersionInANewProcess) {
  checker_.OnServed("entry-1", 1, 5, At(seconds(1)), At(seconds(1)));
  checker_.OnServed("entry-1", 2, 3, At(seconds(3)), At(seconds(3)));
  EXPECT_EQ(log_.count(), 0U);
}

class KeptCallTest : public ::testing::Test {
 protected:
  KeptCallTest() {
    checker_.OnSent(3, "text 3");
    checker_.OnSent(5, "text 5", {3});
    checker_.OnResponse(3, 200, /*valid=*/true, At(seconds(1)));
  }
  void Call(std::uint16_t status, milliseconds sent_at) {
    checker_.OnKeptCall("entry-1", 3, status, At(sent_at), At(sent_at + milliseconds(5)));
  }

  ViolationLog log_;
  bool in_touch_ = true;
  ConfigurationChecker checker_{
      log_, {}, [this](const std::string&, common::Time, common::Time) { return in_touch_; }};
};

// Guards against a soak that passes over an entry that refuses what an acknowledged version allows.
TEST_F(KeptCallTest, ReportsARefusalAfterTheBound) {
  Call(404, milliseconds(3100));
  Call(401, milliseconds(3200));
  EXPECT_EQ(log_.count(), 2U);
}

TEST_F(KeptCallTest, AcceptsARefusalWithinTheBound) {
  Call(404, milliseconds(2900));
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(KeptCallTest, AcceptsARefusalByAnEntryThatIsNotInTouch) {
  in_touch_ = false;
  Call(404, milliseconds(3100));
  EXPECT_EQ(log_.count(), 0U);
  EXPECT_EQ(checker_.kept_calls(), 0U);
}

TEST_F(KeptCallTest, AcceptsARefusalOnceAVersionWithoutTheRouteWasSent) {
  checker_.OnSent(8, "text 8", {5});
  Call(404, milliseconds(3100));
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(KeptCallTest, AcceptsARejectionThatPromisesNothingAboutTheRoute) {
  Call(503, milliseconds(3100));
  EXPECT_EQ(log_.count(), 0U);
  EXPECT_EQ(checker_.kept_calls(), 1U);
}

// Guards against a soak that passes over an entry that still serves a route that was dropped.
TEST_F(KeptCallTest, ReportsADroppedRouteThatIsServedAfterTheBound) {
  checker_.OnResponse(5, 200, /*valid=*/true, At(seconds(4)));
  checker_.OnServed("entry-1", 1, 3, At(milliseconds(5900)), At(milliseconds(5910)));
  EXPECT_EQ(log_.count(), 0U);
  in_touch_ = false;
  checker_.OnServed("entry-1", 1, 3, At(milliseconds(6100)), At(milliseconds(6110)));
  EXPECT_EQ(log_.count(), 0U);
  in_touch_ = true;
  checker_.OnServed("entry-1", 1, 3, At(milliseconds(6100)), At(milliseconds(6110)));
  EXPECT_EQ(log_.count(), 1U);
}

class UsageCheckerTest : public ::testing::Test {
 protected:
  ViolationLog log_;
  UsageChecker checker_{log_};
};

TEST_F(UsageCheckerTest, AcceptsAResentReport) {
  EXPECT_TRUE(checker_.OnReport(7, {{"north", 4}}, "member-1", 2, At(seconds(1))));
  EXPECT_TRUE(checker_.OnReport(7, {{"north", 4}}, "member-2", 3, At(seconds(2))));
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(UsageCheckerTest, ReportsDifferentCountsForAWindow) {
  EXPECT_TRUE(checker_.OnReport(7, {{"north", 4}}, "member-1", 2, At(seconds(1))));
  EXPECT_TRUE(checker_.OnReport(7, {{"north", 5}}, "member-1", 2, At(seconds(2))));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(UsageCheckerTest, ReportsTwoHoldersOfOneFencingToken) {
  EXPECT_TRUE(checker_.OnReport(7, {{"north", 4}}, "member-1", 2, At(seconds(1))));
  EXPECT_TRUE(checker_.OnReport(8, {{"north", 4}}, "member-2", 2, At(seconds(2))));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(UsageCheckerTest, RejectsALowerFencingToken) {
  EXPECT_TRUE(checker_.OnReport(7, {{"north", 4}}, "member-2", 3, At(seconds(1))));
  EXPECT_FALSE(checker_.OnReport(8, {{"north", 4}}, "member-1", 2, At(seconds(2))));
  EXPECT_EQ(log_.count(), 0U);
}

}  // namespace
}  // namespace briarwood::soak
