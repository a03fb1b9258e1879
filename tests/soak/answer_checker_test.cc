#include "soak/answer_checker.h"

#include <gtest/gtest.h>

#include <initializer_list>

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

common::Time At(milliseconds since_start) { return common::Time(since_start); }

class AnswerCheckerTest : public ::testing::Test {
 protected:
  /// Call sent at 10 s that runs from 10.1 s.
  void Run() { checker_.OnRun("id", "llm-1", "link-of-llm-1", At(milliseconds(10'100))); }
  void End(common::Time at, std::uint16_t status, bool complete = false) {
    outcome_.ended_at = at;
    outcome_.status = status;
    outcome_.complete = complete;
    checker_.OnEnded(outcome_, seconds(9));
  }

  ViolationLog log_;
  DisturbanceLog disturbances_;
  AnswerChecker checker_{log_, disturbances_, {}};
  CallOutcome outcome_{.id = "id",
                       .kind = CallKind::kStream,
                       .entry = "entry-1",
                       .entry_address = "link-of-entry-1",
                       .entry_lifetime = 1,
                       .connected_at = At(seconds(8)),
                       .sent_at = At(seconds(10))};
};

TEST_F(AnswerCheckerTest, AcceptsACompleteAnswerAndARejection) {
  Run();
  End(At(seconds(12)), 200, /*complete=*/true);
  Run();
  End(At(seconds(12)), 503);
  EXPECT_EQ(log_.count(), 0U);
}

// A stream that is closed while its sound server is at work is lost.
TEST_F(AnswerCheckerTest, ReportsAStreamCutOnASoundServer) {
  Run();
  End(At(seconds(12)), 200);
  EXPECT_EQ(log_.count(), 1U);
  EXPECT_EQ(log_.kept().front().invariant, "answer in progress");
}

TEST_F(AnswerCheckerTest, ReportsAnErrorOfTheEntryAndAClosedConnection) {
  for (const std::uint16_t status : std::initializer_list<std::uint16_t>{0, 500, 502, 504}) {
    Run();
    End(At(seconds(12)), status);
  }
  EXPECT_EQ(log_.count(), 4U);
}

TEST_F(AnswerCheckerTest, AcceptsAnEndAtTheTimeLimit) {
  Run();
  End(At(seconds(19)), 504);
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(AnswerCheckerTest, AcceptsACallThatTheCallerLeft) {
  Run();
  outcome_.disconnected = true;
  End(At(seconds(12)), 0);
  EXPECT_EQ(log_.count(), 0U);
}

TEST_F(AnswerCheckerTest, AcceptsACutWhileAFaultAffectsThePath) {
  for (const char* part : {"llm-1", "link-of-llm-1", "entry-1", "link-of-entry-1"}) {
    DisturbanceLog disturbances;
    disturbances.Add(part, At(seconds(11)));
    AnswerChecker checker(log_, disturbances, {});
    checker.OnRun("id", "llm-1", "link-of-llm-1", At(milliseconds(10'100)));
    outcome_.ended_at = At(seconds(12));
    checker.OnEnded(outcome_, seconds(9));
  }
  EXPECT_EQ(log_.count(), 0U);
}

// A fault that is over before the call, or affects another part, excuses nothing.
TEST_F(AnswerCheckerTest, ReportsACutBesideFaultsOfOtherPartsAndTimes) {
  disturbances_.Add("entry-1", At(seconds(9)));
  disturbances_.Add("entry-1", At(seconds(13)));
  disturbances_.Add("llm-2", At(seconds(11)));
  disturbances_.Add("member-1", At(seconds(11)));
  Run();
  End(At(seconds(12)), 200);
  EXPECT_EQ(log_.count(), 1U);
}

TEST_F(AnswerCheckerTest, ChecksTheLastRunOnly) {
  Run();
  checker_.OnRun("id", "llm-2", "link-of-llm-2", At(seconds(11)));
  disturbances_.Add("llm-2", At(milliseconds(11'500)));
  End(At(seconds(12)), 502);
  EXPECT_EQ(log_.count(), 0U);
  Run();
  disturbances_.Add("llm-3", At(seconds(11)));
  checker_.OnRun("id", "llm-3", "link-of-llm-3", At(milliseconds(11'200)));
  End(At(seconds(12)), 502);
  EXPECT_EQ(log_.count(), 1U);
}

// The grace period is 8 s: in its last sixth a stream from before SIGTERM may be cut.
TEST_F(AnswerCheckerTest, AcceptsACutLateInTheGracePeriodOfAStreamFromBeforeSigterm) {
  checker_.OnStopped("entry-1", 1, At(milliseconds(10'050)));
  Run();
  End(At(milliseconds(16'800)), 200);
  EXPECT_EQ(log_.count(), 0U);
  EXPECT_EQ(checker_.cut_before_stop(), 1U);
}

TEST_F(AnswerCheckerTest, ReportsACutEarlyInTheGracePeriod) {
  checker_.OnStopped("entry-1", 1, At(milliseconds(10'050)));
  Run();
  End(At(milliseconds(16'600)), 200);
  EXPECT_EQ(log_.count(), 1U);
  EXPECT_EQ(checker_.cut_before_stop(), 1U);
}

// An entry that takes a stream after SIGTERM and closes it at the end of its grace period loses an
// answer that another entry could have given.
TEST_F(AnswerCheckerTest, ReportsACutOfAStreamTakenAfterSigterm) {
  checker_.OnStopped("entry-1", 1, At(milliseconds(9'000)));
  Run();
  End(At(milliseconds(16'700)), 200);
  EXPECT_EQ(log_.count(), 1U);
  EXPECT_EQ(checker_.cut_after_stop(), 1U);
  EXPECT_EQ(checker_.calls_on_kept_connections(), 1U);
}

TEST_F(AnswerCheckerTest, StopOfAnEarlierProcessExcusesNothing) {
  checker_.OnStopped("entry-1", 1, At(seconds(1)));
  outcome_.entry_lifetime = 2;
  Run();
  End(At(milliseconds(16'800)), 200);
  EXPECT_EQ(log_.count(), 1U);
  EXPECT_EQ(checker_.cut_before_stop() + checker_.cut_after_stop(), 0U);
}

// An entry that reads a request and closes the connection leaves its caller without any answer.
TEST_F(AnswerCheckerTest, ReportsARequestWithNeitherAnswerNorRejection) {
  End(At(milliseconds(10'300)), 0);
  EXPECT_EQ(log_.count(), 1U);
  EXPECT_EQ(log_.kept().front().invariant, "no answer");
}

TEST_F(AnswerCheckerTest, AcceptsARequestThatCrossedACloseOrWasNotSent) {
  End(At(milliseconds(10'150)), 0);
  outcome_.not_sent = true;
  End(At(seconds(11)), 0);
  outcome_.not_sent = false;
  disturbances_.Add("link-of-entry-1", At(seconds(9)));
  End(At(seconds(11)), 0);
  EXPECT_EQ(log_.count(), 0U);
}

}  // namespace
}  // namespace briarwood::soak
