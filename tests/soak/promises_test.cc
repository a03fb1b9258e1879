#include "soak/promises.h"

#include <gtest/gtest.h>

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

common::Time At(milliseconds since_start) { return common::Time(since_start); }

class RequestPromisesTest : public ::testing::Test {
 protected:
  void Send(CallKind kind) {
    promises_.OnSent("id", {.kind = kind, .target = "/a", .body = "body", .customer = "north"});
  }
  void Run() {
    promises_.OnRun(
        {.id = "id", .backend_server = "b-1", .target = "/a", .body = "body", .customer = "north"},
        At(seconds(1)));
  }
  void Answer(std::uint16_t status, const std::string& body, bool complete = true,
              bool has_receipt = true) {
    promises_.OnAnswer(
        "id", {.status = status, .has_receipt = has_receipt, .complete = complete, .body = body},
        At(seconds(2)));
  }

  ViolationLog log_;
  RequestPromises promises_{log_};
};

TEST_F(RequestPromisesTest, AcceptsACompleteAnswer) {
  Send(CallKind::kOnce);
  Run();
  Answer(200, RequestPromises::ExpectedBody("id", CallKind::kOnce));
  EXPECT_EQ(log_.count(), 0U);
  EXPECT_EQ(promises_.answered(), 1U);
}

TEST_F(RequestPromisesTest, AcceptsACutStreamThatDoesNotLookComplete) {
  Send(CallKind::kStream);
  Run();
  Answer(200, RequestPromises::Event("id", 1), /*complete=*/false);
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(RequestPromisesTest, ReportsACutStreamThatLooksComplete) {
  Send(CallKind::kStream);
  Run();
  Answer(200, RequestPromises::Event("id", 1));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestPromisesTest, ReportsAMissingEvent) {
  Send(CallKind::kResumableStream);
  Run();
  Answer(200, RequestPromises::Event("id", 1) + RequestPromises::Event("id", 3),
         /*complete=*/false);
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestPromisesTest, ReportsAnAnswerWithoutReceipt) {
  Send(CallKind::kOnce);
  Run();
  Answer(200, RequestPromises::ExpectedBody("id", CallKind::kOnce), /*complete=*/true,
         /*has_receipt=*/false);
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestPromisesTest, ReportsASecondRunOfWhatMayNotBeRepeated) {
  Send(CallKind::kOnce);
  Run();
  Run();
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestPromisesTest, AcceptsASecondRunOfWhatMayBeRepeated) {
  Send(CallKind::kRepeatable);
  Run();
  Run();
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(RequestPromisesTest, ReportsARefusalAfterARun) {
  Send(CallKind::kOnce);
  Run();
  Answer(503, "");
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestPromisesTest, ReportsARunAfterARefusal) {
  Send(CallKind::kRepeatable);
  Answer(503, "");
  Run();
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestPromisesTest, ReportsADenial) {
  Send(CallKind::kOnce);
  Answer(404, "");
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(RequestPromisesTest, ReportsAChangedBodyAKeyAndAnotherCustomer) {
  Send(CallKind::kOnce);
  promises_.OnRun({.id = "id",
                   .backend_server = "b-1",
                   .target = "/a",
                   .body = "other",
                   .customer = "south",
                   .carries_key = true},
                  At(seconds(1)));
  EXPECT_EQ(log_.count(), 3U);
}

TEST_F(RequestPromisesTest, ReportsARunThatNobodyAskedFor) {
  Run();
  EXPECT_EQ(log_.count(), 1U);
}

class ConfigurationPromisesTest : public ::testing::Test {
 protected:
  ConfigurationPromisesTest() {
    for (const std::uint64_t version : {3U, 5U, 8U}) {
      promises_.OnSent(version, "text " + std::to_string(version));
    }
  }
  void Read(std::uint64_t version, milliseconds sent_at) {
    promises_.OnRead("member-1", version, "text " + std::to_string(version), At(sent_at),
                     At(sent_at + milliseconds(5)));
  }

  ViolationLog log_;
  ConfigurationPromises promises_{log_,
                                  {.in_force = seconds(2), .revert_slack = milliseconds(250)}};
};

TEST_F(ConfigurationPromisesTest, AcceptsAnOlderReadWithinTheBound) {
  promises_.OnAnswer(3, 200, /*valid=*/true, At(seconds(1)));
  promises_.OnAnswer(5, 200, /*valid=*/true, At(seconds(4)));
  Read(3, milliseconds(5900));
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(ConfigurationPromisesTest, ReportsAnOlderReadAfterTheBound) {
  promises_.OnAnswer(3, 200, /*valid=*/true, At(seconds(1)));
  promises_.OnAnswer(5, 200, /*valid=*/true, At(seconds(4)));
  Read(3, milliseconds(6100));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationPromisesTest, ReportsContentThatWasNotSent) {
  promises_.OnRead("member-1", 5, "text 3", At(seconds(1)), At(seconds(1)));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationPromisesTest, ReportsAnAcceptedInvalidVersionAndItsRead) {
  promises_.OnAnswer(5, 200, /*valid=*/false, At(seconds(1)));
  EXPECT_EQ(log_.count(), 1U);
  Read(5, milliseconds(1500));
  EXPECT_EQ(log_.count(), 2U);
}

TEST_F(ConfigurationPromisesTest, ReportsARefusedValidVersion) {
  promises_.OnAnswer(5, 400, /*valid=*/true, At(seconds(1)));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationPromisesTest, ReportsAnEntryThatGoesBack) {
  promises_.OnServed("entry-1", 1, 5, At(seconds(1)), At(seconds(1)));
  promises_.OnServed("entry-1", 1, 3, At(milliseconds(1300)), At(milliseconds(1310)));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(ConfigurationPromisesTest, AcceptsAnOlderVersionInANewProcess) {
  promises_.OnServed("entry-1", 1, 5, At(seconds(1)), At(seconds(1)));
  promises_.OnServed("entry-1", 2, 3, At(seconds(3)), At(seconds(3)));
  EXPECT_EQ(log_.count(), 0U);
}

class UsagePromisesTest : public ::testing::Test {
 protected:
  ViolationLog log_;
  UsagePromises promises_{log_};
};

TEST_F(UsagePromisesTest, AcceptsARepeatedReport) {
  EXPECT_TRUE(promises_.OnReport(7, {{"north", 4}}, "member-1", 2, At(seconds(1))));
  EXPECT_TRUE(promises_.OnReport(7, {{"north", 4}}, "member-2", 3, At(seconds(2))));
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(UsagePromisesTest, ReportsAnotherFigureForAWindow) {
  EXPECT_TRUE(promises_.OnReport(7, {{"north", 4}}, "member-1", 2, At(seconds(1))));
  EXPECT_TRUE(promises_.OnReport(7, {{"north", 5}}, "member-1", 2, At(seconds(2))));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(UsagePromisesTest, ReportsTwoHoldersOfOneFence) {
  EXPECT_TRUE(promises_.OnReport(7, {{"north", 4}}, "member-1", 2, At(seconds(1))));
  EXPECT_TRUE(promises_.OnReport(8, {{"north", 4}}, "member-2", 2, At(seconds(2))));
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(UsagePromisesTest, RefusesALowerFence) {
  EXPECT_TRUE(promises_.OnReport(7, {{"north", 4}}, "member-2", 3, At(seconds(1))));
  EXPECT_FALSE(promises_.OnReport(8, {{"north", 4}}, "member-1", 2, At(seconds(2))));
  EXPECT_EQ(log_.count(), 0U);
}

}  // namespace
}  // namespace briarwood::soak
