#include "briarwood/routing/crash_evidence_table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr std::uint64_t kSecond = 1000;
constexpr std::uint64_t kMinute = 60 * kSecond;

schema::PropertyCrash Crash(const std::string& server, std::uint64_t sent, std::uint64_t ended,
                            const std::vector<std::string>& properties = {"bad"},
                            std::uint32_t servers = 8) {
  schema::PropertyCrash crash;
  for (const std::string& property : properties) crash.add_properties(property);
  crash.set_backend_server(server);
  crash.set_backend_servers(servers);
  crash.set_sent_unix_ms(sent);
  crash.set_ended_unix_ms(ended);
  return crash;
}

schema::BeginPropertyTrial Trial(std::uint64_t entry, std::uint64_t sequence,
                                 const std::vector<std::string>& properties = {"bad"}) {
  schema::BeginPropertyTrial trial;
  for (const std::string& property : properties) trial.add_properties(property);
  trial.set_entry_incarnation(entry);
  trial.set_sequence(sequence);
  return trial;
}

bool IsHeld(const CrashEvidenceTable& table, const std::string& property = "bad") {
  const schema::CrashEvidence* evidence = table.Find(property);
  return evidence != nullptr && evidence->held();
}

/// Holds the property "bad"; its last crash is at 30 s.
void Hold(CrashEvidenceTable& table) {
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond));
}

// Guards against a property that crashes one server after another and is never held back, and
// against one that is held back after crashes that prove little.
TEST(CrashEvidenceTableTest, HoldsAPropertyFromTheThirdIndependentCrash) {
  CrashEvidenceTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond));
  EXPECT_FALSE(IsHeld(table));
  EXPECT_THAT(table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond)), ElementsAre("bad"));
  EXPECT_TRUE(IsHeld(table));
}

// Guards against a request that comes once in some minutes and ends a server each time.
TEST(CrashEvidenceTableTest, HoldsARequestThatComesRarely) {
  CrashEvidenceTable table;
  for (std::uint64_t i = 0; i < 3; ++i) {
    const std::uint64_t now = (5 * i + 1) * kMinute;
    table.Expire(now);
    table.RecordCrash(Crash("s" + std::to_string(i), now, now + kSecond));
  }
  EXPECT_TRUE(IsHeld(table));
}

// Guards against servers that crash at the same time, whatever the reason, and hold back every
// property of the requests that were in progress.
TEST(CrashEvidenceTableTest, CountsServersThatCrashTogetherOnce) {
  CrashEvidenceTable table;
  for (const char* server : {"s1", "s2", "s3", "s4", "s5"}) {
    table.RecordCrash(Crash(server, 9 * kSecond, 10 * kSecond));
  }
  EXPECT_EQ(table.Find("bad")->crashes(), 1U);
}

// Guards against a server that fails a share of its requests, or whose crash is reported by several
// entries, and holds back the properties of those requests.
TEST(CrashEvidenceTableTest, CountsEachServerOnce) {
  CrashEvidenceTable table;
  for (std::uint64_t second = 1; second < 40; second += 2) {
    table.RecordCrash(Crash("grey", second * kSecond, (second + 1) * kSecond));
  }
  EXPECT_EQ(table.Find("bad")->crashes(), 1U);
}

// Guards against shared properties that are held back together with the property that crashes
// servers.
TEST(CrashEvidenceTableTest, SoundStartClearsAPart) {
  CrashEvidenceTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"shared", "bad"}));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"shared", "bad"}));
  EXPECT_TRUE(table.Clear("shared"));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond, {"shared", "bad"}));
  EXPECT_TRUE(IsHeld(table));
  EXPECT_FALSE(IsHeld(table, "shared"));
  EXPECT_TRUE(table.Clear("bad"));
  EXPECT_FALSE(IsHeld(table));
}

// Guards against a service with two servers, both of which crash forever because the property never
// reaches three crashes of different servers.
TEST(CrashEvidenceTableTest, NeedsNoMoreCrashesThanTheServiceHasServers) {
  CrashEvidenceTable two;
  two.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"bad"}, 2));
  EXPECT_FALSE(IsHeld(two));
  two.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"bad"}, 2));
  EXPECT_TRUE(IsHeld(two));
  CrashEvidenceTable one;
  one.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"bad"}, 1));
  EXPECT_FALSE(IsHeld(one));
}

// Guards against trials by several entries at once, and against a grant that is lost with its
// response.
TEST(CrashEvidenceTableTest, GrantsATrialToOneRequest) {
  CrashEvidenceTable table;
  Hold(table);
  EXPECT_EQ(table.BeginTrial(Trial(1, 1), 59 * kSecond), PropertyTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2), 60 * kSecond), PropertyTrial::kGranted);
  EXPECT_EQ(table.BeginTrial(Trial(2, 1), 61 * kSecond), PropertyTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2), 61 * kSecond), PropertyTrial::kGranted);
  EXPECT_EQ(table.BeginTrial(Trial(1, 3), 61 * kSecond), PropertyTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(2, 2), 90 * kSecond), PropertyTrial::kGranted);
}

// Guards against a shared property that is held for 30 s because it was property of no sound
// request before the property that crashes servers was held.
TEST(CrashEvidenceTableTest, TellsPropertiesOfTheSameCrashesApart) {
  CrashEvidenceTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"shared", "bad"}));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"shared", "bad"}));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond, {"shared", "bad"}));
  EXPECT_EQ(table.BeginTrial(Trial(1, 1, {"shared", "bad"}), 31 * kSecond), PropertyTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2, {"shared"}), 31 * kSecond), PropertyTrial::kGranted);
  EXPECT_EQ(table.BeginTrial(Trial(2, 1, {"shared"}), 32 * kSecond), PropertyTrial::kNotDue);
  table.Clear("shared");
  EXPECT_EQ(table.BeginTrial(Trial(1, 3, {"shared", "bad"}), 33 * kSecond), PropertyTrial::kNotDue);
}

// Guards against a sound request that is held for 30 s because it was in progress at some of the
// crashes of another one, and against a trial of the other one for the same reason.
TEST(CrashEvidenceTableTest, TriesAPropertyWhoseCrashesAnotherOneExplains) {
  CrashEvidenceTable table;
  table.RecordCrash(Crash("s0", 4 * kSecond, 5 * kSecond));
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"bad", "beside"}));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"bad", "beside"}));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond, {"bad", "beside"}));
  EXPECT_EQ(table.BeginTrial(Trial(1, 1, {"bad"}), 31 * kSecond), PropertyTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2, {"beside"}), 31 * kSecond), PropertyTrial::kGranted);
}

// Guards against trials that crash servers at a constant rate.
TEST(CrashEvidenceTableTest, LengthensTheTrialDelayAfterACrash) {
  CrashEvidenceTable table;
  Hold(table);
  std::uint64_t now = 30 * kSecond;
  for (const std::uint64_t delay : {30U, 120U, 480U, 600U, 600U, 600U, 600U}) {
    EXPECT_EQ(table.Find("bad")->next_trial_unix_ms(), now + delay * kSecond);
    now += delay * kSecond;
    EXPECT_EQ(table.BeginTrial(Trial(1, now), now), PropertyTrial::kGranted);
    table.RecordCrash(Crash("t" + std::to_string(now), now + 1, now + 1));
    ++now;
  }
}

// Guards against evidence that stays for ever, and against a held property that is released while
// its requests still come.
TEST(CrashEvidenceTableTest, ExpiresCandidatesAndHeldParts) {
  CrashEvidenceTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"candidate"}));
  Hold(table);
  table.Expire(609 * kSecond);
  EXPECT_NE(table.Find("candidate"), nullptr);
  table.Expire(610 * kSecond);
  EXPECT_EQ(table.Find("candidate"), nullptr);
  EXPECT_TRUE(IsHeld(table));
  table.Expire(30 * kSecond + 59 * kMinute);
  EXPECT_TRUE(IsHeld(table));
  table.Expire(30 * kSecond + 60 * kMinute);
  EXPECT_EQ(table.Find("bad"), nullptr);
}

// Guards against memory that grows with the number of properties, and against a flood of new
// properties that displaces a held one.
TEST(CrashEvidenceTableTest, KeepsHeldPropertiesWhenItIsFull) {
  CrashEvidenceTable table({.max_properties = 4});
  Hold(table);
  for (int i = 0; i < 20; ++i) {
    table.RecordCrash(Crash("s9", 40 * kSecond, 41 * kSecond, {"property" + std::to_string(i)}));
  }
  EXPECT_EQ(table.properties().size(), 4U);
  EXPECT_TRUE(IsHeld(table));
  CrashEvidenceTable full({.max_properties = 1});
  Hold(full);
  EXPECT_THAT(full.RecordCrash(Crash("s9", 40 * kSecond, 41 * kSecond, {"other"})), IsEmpty());
}

// Guards against requests whose property ids are so long or so many that the table grows large.
TEST(CrashEvidenceTableTest, IgnoresLongAndSurplusParts) {
  CrashEvidenceTable table;
  std::vector<std::string> properties{std::string(65, 'a')};
  for (int i = 0; i < 100; ++i) properties.push_back("property" + std::to_string(i));
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, properties));
  EXPECT_EQ(table.properties().size(), 32U);
  EXPECT_EQ(table.Find(std::string(65, 'a')), nullptr);
  // The last properties are the most specific ones.
  EXPECT_NE(table.Find("property99"), nullptr);
}

// Guards against held properties that are forgotten when a member restores a snapshot.
TEST(CrashEvidenceTableTest, RestoresItsState) {
  CrashEvidenceTable table;
  Hold(table);
  CrashEvidenceTable restored;
  restored.Restore(table.Save());
  EXPECT_TRUE(IsHeld(restored));
  EXPECT_EQ(restored.BeginTrial(Trial(1, 1), 59 * kSecond), PropertyTrial::kNotDue);
  EXPECT_EQ(restored.Save().SerializeAsString(), table.Save().SerializeAsString());
}

}  // namespace
}  // namespace briarwood::routing
