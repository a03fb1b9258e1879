#include "soak/statement_checker.h"

#include <gtest/gtest.h>

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

class StatementCheckerTest : public testing::Test {
 protected:
  void Tell(const std::string& entry, const routing::ServerStatement& statement,
            common::Time at = kStart) {
    checker_.OnStatement("s", entry, statement, at);
  }
  void Arrive(const std::string& entry, common::Duration after) {
    checker_.OnArrival("s", entry, "link", kStart + after);
  }

  ViolationLog log_;
  DisturbanceLog disturbances_;
  StatementChecker checker_{log_, disturbances_, {}};
};

// Guards against a checker that misses a limit exceeded by several entries together, or counts
// entries that were not told.
TEST_F(StatementCheckerTest, CountsALimitOverAllEntriesThatWereTold) {
  routing::ServerStatement limit;
  limit.requests_per_second = 1;
  Tell("entry-1", limit);
  Tell("entry-2", limit);
  for (int i = 0; i < 30; ++i) Arrive("entry-3", seconds(4) + milliseconds(i));
  for (int i = 0; i < 5; ++i) Arrive("entry-1", seconds(4) + milliseconds(i));
  for (int i = 0; i < 6; ++i) Arrive("entry-2", seconds(4) + milliseconds(i));
  EXPECT_EQ(log_.count(), 0U);
  Arrive("entry-2", seconds(4) + milliseconds(7));
  EXPECT_EQ(log_.count(), 1U);
}

// Guards against a checker that accepts requests to a leaving server, or blames an entry that has
// started since.
TEST_F(StatementCheckerTest, ReportsARequestToALeavingServer) {
  routing::ServerStatement leaving;
  leaving.leaving = true;
  Tell("entry-1", leaving);
  Tell("entry-2", leaving);
  Arrive("entry-1", milliseconds(2900));
  disturbances_.Add(RestartOf("entry-2"), kStart + seconds(1));
  Arrive("entry-2", milliseconds(3100));
  EXPECT_EQ(log_.count(), 0U);
  Arrive("entry-1", milliseconds(3100));
  EXPECT_EQ(log_.count(), 1U);
}

// Guards against a checker that accepts requests during the time that a server asked for.
TEST_F(StatementCheckerTest, ReportsRequestsDuringABackOff) {
  routing::ServerStatement rejection;
  rejection.back_off = seconds(2);
  Tell("entry-1", rejection);
  for (int i = 0; i < 5; ++i) Arrive("entry-1", milliseconds(400 + i));
  for (int i = 0; i < 2; ++i) Arrive("entry-1", milliseconds(600 + i));
  for (int i = 0; i < 5; ++i) Arrive("entry-1", milliseconds(2001 + i));
  EXPECT_EQ(log_.count(), 0U);
  Arrive("entry-1", milliseconds(1900));
  EXPECT_EQ(log_.count(), 1U);
}

}  // namespace
}  // namespace briarwood::soak
