#include "briarwood/routing/crash_guard.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::Pair;

constexpr common::Time kStart{std::chrono::hours(1)};
constexpr std::uint64_t kStartUnixMs = 1'700'000'000'000;
const std::vector<std::string> kBad{"shared", "bad"};
const std::vector<std::string> kSound{"shared"};

bool IsAllowed(const RequestVerdict& verdict) {
  return std::holds_alternative<RequestAllowed>(verdict);
}
bool IsHeld(const RequestVerdict& verdict) { return std::holds_alternative<RequestHeld>(verdict); }
bool IsTrial(const RequestVerdict& verdict) {
  return std::holds_alternative<RequestTrial>(verdict);
}

schema::CrashEvidence Row(const std::string& property, std::uint32_t crashes, bool held) {
  schema::CrashEvidence row;
  row.set_property(property);
  row.set_crashes(crashes);
  row.set_held(held);
  row.set_last_crash_unix_ms(kStartUnixMs);
  row.set_next_trial_unix_ms(kStartUnixMs + 30'000);
  row.set_expires_unix_ms(kStartUnixMs + 3'600'000);
  return row;
}

class CrashGuardTest : public testing::Test {
 protected:
  CrashGuardTest() {
    guard_.SetAgreedTime(common::UnixMillis(kStartUnixMs), kStart);
    guard_.OnControlContact(kStart);
  }

  CrashConclusion Crash(const std::string& server, seconds at,
                        const std::vector<std::string>& properties = kBad) {
    const common::Time now = kStart + at;
    return guard_.OnCrash(properties, server, 8, now - milliseconds(200), now);
  }

  CrashGuard guard_;
};

// Guards against requests with a property that other entries have proven to crash servers.
TEST_F(CrashGuardTest, HoldsThePropertiesOfTheFleet) {
  guard_.SetRows({Row("bad", 3, true), Row("other", 2, false)});
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, kStart)));
  EXPECT_TRUE(IsAllowed(guard_.Check(kSound, kStart)));
  EXPECT_TRUE(IsAllowed(guard_.Check({"shared", "other"}, kStart)));
  guard_.SetRows({});
  EXPECT_TRUE(IsAllowed(guard_.Check(kBad, kStart)));
}

// Guards against an expired row that holds a property while no command moves the clock of the
// members.
TEST_F(CrashGuardTest, IgnoresAnExpiredRow) {
  guard_.SetRows({Row("bad", 3, true)});
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, kStart + std::chrono::minutes(59))));
  EXPECT_TRUE(IsAllowed(guard_.Check(kBad, kStart + std::chrono::minutes(61))));
}

// Guards against one request that is carried from server to server by its retries.
TEST_F(CrashGuardTest, AllowsNoRetryAfterAnIndependentCrash) {
  EXPECT_TRUE(Crash("s1", seconds(1)).may_retry);
  EXPECT_FALSE(Crash("s2", seconds(2)).may_retry);
}

// Guards against the same with the first crash at another entry.
TEST_F(CrashGuardTest, AllowsNoRetryAfterACrashAtAnotherEntry) {
  guard_.SetRows({Row("bad", 1, false)});
  EXPECT_FALSE(Crash("s2", seconds(2)).may_retry);
}

// Guards against a request that runs on two servers at once and crashes both.
TEST_F(CrashGuardTest, KnowsPropertiesUnderWhichServersCrashed) {
  EXPECT_FALSE(guard_.HasEvidence(kBad));
  Crash("s1", seconds(1), {"bad"});
  EXPECT_TRUE(guard_.HasEvidence(kBad));
  EXPECT_FALSE(guard_.HasEvidence(kSound));
  guard_.SetRows({Row("shared", 1, false)});
  EXPECT_TRUE(guard_.HasEvidence(kSound));
}

// Guards against sound requests that are not retried after servers have crashed together, and
// after failures of one faulty server.
TEST_F(CrashGuardTest, AllowsRetriesAfterOneMassCrash) {
  for (const char* server : {"s1", "s2", "s3", "s4"}) {
    EXPECT_TRUE(Crash(server, seconds(1)).may_retry) << server;
  }
  EXPECT_TRUE(Crash("s1", seconds(3)).may_retry);
  EXPECT_TRUE(IsAllowed(guard_.Check(kBad, kStart + seconds(3))));
}

// Guards against an entry without control members that sends request after request into a crash.
TEST_F(CrashGuardTest, HoldsByItsOwnEvidenceWithoutControl) {
  Crash("s1", seconds(10));
  Crash("s2", seconds(11));
  Crash("s3", seconds(12));
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, kStart + seconds(13))));
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, kStart + std::chrono::minutes(5))));
  EXPECT_THAT(guard_.TakeWantedTrial(), IsEmpty());
  guard_.OnSoundStart(kBad, kStart + std::chrono::minutes(5));
  EXPECT_TRUE(IsAllowed(guard_.Check(kBad, kStart + std::chrono::minutes(5))));
}

// Guards against own evidence that outweighs the fleet's, which has cleared the property.
TEST_F(CrashGuardTest, PrefersTheEvidenceOfTheFleet) {
  Crash("s1", seconds(10));
  Crash("s2", seconds(11));
  Crash("s3", seconds(12));
  guard_.OnControlContact(kStart + seconds(15));
  guard_.SetRows({});
  EXPECT_TRUE(IsAllowed(guard_.Check(kBad, kStart + seconds(15))));
}

// Guards against shared properties that become candidates with the property that crashes servers.
TEST_F(CrashGuardTest, SoundPropertiesAreNoCandidates) {
  guard_.OnSoundStart(kSound, kStart);
  const CrashConclusion conclusion = Crash("s1", seconds(1));
  EXPECT_THAT(conclusion.candidates, ElementsAre(Pair("bad", 0U)));
  const auto report = guard_.TakeReport(kStart + seconds(1));
  ASSERT_TRUE(report);
  EXPECT_THAT(report->crashes(0).properties(), ElementsAre("bad"));
}

// Guards against a property that was sound once and is therefore never suspected again.
TEST_F(CrashGuardTest, APropertyIsNotSoundAfterACrash) {
  guard_.OnSoundStart(kBad, kStart);
  EXPECT_THAT(Crash("s1", seconds(1)).candidates, IsEmpty());
  guard_.OnSoundStart(kSound, kStart + seconds(2));
  EXPECT_THAT(Crash("s2", seconds(3)).candidates, ElementsAre(Pair("bad", 0U)));
  EXPECT_THAT(Crash("s3", seconds(4)).candidates, ElementsAre(Pair("shared", 0U), Pair("bad", 1U)));
}

// Guards against a property that ran soundly at many entries, turns bad, and costs a crash at each
// of them before it counts.
TEST_F(CrashGuardTest, ASoundStartLongAgoDoesNotSpeakForAPart) {
  guard_.OnSoundStart(kBad, kStart);
  guard_.OnSoundStart(kSound, kStart + seconds(9));
  EXPECT_THAT(Crash("s1", seconds(10)).candidates, ElementsAre(Pair("bad", 0U)));
}

// Guards against one crash with many requests in progress, the first of which makes the sound
// properties of the others candidates.
TEST_F(CrashGuardTest, SoundPropertiesAreNoCandidatesOfOneCrash) {
  guard_.OnSoundStart(kSound, kStart);
  EXPECT_THAT(Crash("s1", seconds(1), kSound).candidates, IsEmpty());
  EXPECT_THAT(Crash("s1", seconds(1), kSound).candidates, IsEmpty());
  EXPECT_TRUE(Crash("s1", seconds(1), kSound).may_retry);
  EXPECT_FALSE(guard_.TakeReport(kStart + seconds(1)));
}

// Guards against a held shared property that stays held at this entry until the row is removed, and
// against a report for each event of each stream.
TEST_F(CrashGuardTest, ClearsASoundPropertyAtOnceAndReportsItOnce) {
  guard_.SetRows({Row("shared", 3, true)});
  EXPECT_TRUE(IsHeld(guard_.Check(kSound, kStart)));
  EXPECT_THAT(guard_.OnSoundStart(kSound, kStart), ElementsAre("shared"));
  EXPECT_TRUE(IsAllowed(guard_.Check(kSound, kStart)));
  EXPECT_THAT(guard_.OnSoundStart(kSound, kStart + milliseconds(100)), IsEmpty());
  const auto report = guard_.TakeReport(kStart);
  ASSERT_TRUE(report);
  EXPECT_THAT(report->sound_properties(), ElementsAre("shared"));
  EXPECT_FALSE(guard_.TakeReport(kStart));
}

// Guards against reports about properties without evidence, which would flood the log.
TEST_F(CrashGuardTest, ReportsNothingInNormalOperation) {
  guard_.OnSoundStart(kSound, kStart);
  EXPECT_FALSE(guard_.TakeReport(kStart));
}

// Guards against reports with times of the boot clock of one machine.
TEST_F(CrashGuardTest, ReportsInAgreedTimeAndAgainAfterAFailure) {
  Crash("s1", seconds(1));
  const auto report = guard_.TakeReport(kStart + seconds(2));
  ASSERT_TRUE(report);
  EXPECT_EQ(report->crashes(0).sent_unix_ms(), kStartUnixMs + 800);
  EXPECT_EQ(report->crashes(0).ended_unix_ms(), kStartUnixMs + 1000);
  guard_.PutBack(*report, kStart + seconds(3));
  const auto again = guard_.TakeReport(kStart + seconds(4));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->SerializeAsString(), report->SerializeAsString());
  guard_.PutBack(*again, kStart + seconds(20));
  EXPECT_FALSE(guard_.TakeReport(kStart + seconds(20)));
}

// Guards against a held property that is never tried again, and against more than one request per
// granted trial.
TEST_F(CrashGuardTest, SendsOneRequestPerGrantedTrial) {
  guard_.SetRows({Row("bad", 3, true)});
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, kStart + seconds(29))));
  EXPECT_THAT(guard_.TakeWantedTrial(), IsEmpty());
  const common::Time due = kStart + seconds(30);
  guard_.OnControlContact(due);
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, due)));
  EXPECT_THAT(guard_.TakeWantedTrial(), ElementsAre("bad"));
  guard_.OnTrialGranted({"bad"}, due);
  EXPECT_TRUE(IsTrial(guard_.Check(kBad, due)));
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, due)));
}

// Guards against a trial that is used long after its grant, when another may have been granted.
TEST_F(CrashGuardTest, AGrantLapses) {
  guard_.SetRows({Row("bad", 3, true)});
  guard_.OnTrialGranted({"bad"}, kStart);
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, kStart + seconds(6))));
}

// Guards against a trial of one held property with a request that has another one.
TEST_F(CrashGuardTest, AGrantCoversNoOtherPart) {
  guard_.SetRows({Row("bad", 3, true), Row("worse", 3, true)});
  guard_.OnTrialGranted({"bad"}, kStart);
  EXPECT_TRUE(IsHeld(guard_.Check({"bad", "worse"}, kStart)));
  EXPECT_TRUE(IsTrial(guard_.Check({"bad"}, kStart)));
}

// Guards against callers that are told to wait for minutes or to retry at once.
TEST_F(CrashGuardTest, LimitsRetryAfter) {
  guard_.SetRows({Row("bad", 3, true)});
  const auto retry_after = [&](common::Time now) {
    return std::get<RequestHeld>(guard_.Check(kBad, now)).retry_after;
  };
  EXPECT_EQ(retry_after(kStart), seconds(3));
  EXPECT_EQ(retry_after(kStart + milliseconds(28'500)), milliseconds(1500));
  EXPECT_EQ(retry_after(kStart + seconds(60)), milliseconds(300));
}

// Guards against a server that loses power under a request, so that the connection stays silent
// until the time limit, and is no evidence.
TEST_F(CrashGuardTest, SilenceCountsAsACrashOnceTheServerHasEnded) {
  const auto end_silently = [this](const std::string& server, seconds at) {
    const common::Time sent_at = kStart + at;
    guard_.OnResponse(server, sent_at + milliseconds(10));
    guard_.OnSilence(kBad, server, 8, sent_at, sent_at + milliseconds(500));
    return guard_.OnServerEnded(server, sent_at + seconds(2));
  };
  EXPECT_THAT(end_silently("s1", seconds(1)), ElementsAre(Pair("shared", 0U), Pair("bad", 0U)));
  // The list may show the end before the time limit of the request has passed.
  guard_.OnResponse("s2", kStart + seconds(5));
  EXPECT_THAT(guard_.OnServerEnded("s2", kStart + seconds(6)), IsEmpty());
  guard_.OnSilence(kBad, "s2", 8, kStart + seconds(5), kStart + seconds(7));
  EXPECT_THAT(end_silently("s3", seconds(10)), ElementsAre(Pair("shared", 2U), Pair("bad", 2U)));
  EXPECT_TRUE(IsHeld(guard_.Check(kBad, kStart + seconds(11))));
}

// Guards against a request that is held because servers were slow or had ended before it was sent.
TEST_F(CrashGuardTest, OtherSilenceIsNoCrash) {
  guard_.OnResponse("slow", kStart + seconds(2));
  guard_.OnSilence(kBad, "slow", 8, kStart + seconds(1), kStart + seconds(3));
  guard_.OnResponse("gone", kStart);
  guard_.OnSilence(kBad, "gone", 8, kStart + seconds(1), kStart + seconds(3));
  EXPECT_THAT(guard_.OnServerEnded("gone", kStart + seconds(4)), IsEmpty());
  guard_.Expire(kStart + seconds(30));
  EXPECT_THAT(guard_.OnServerEnded("slow", kStart + seconds(30)), IsEmpty());
  EXPECT_FALSE(guard_.HasEvidence(kBad));
}

}  // namespace
}  // namespace briarwood::routing
