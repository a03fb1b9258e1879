#include "briarwood/routing/prompt_part_table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr std::uint64_t kSecond = 1000;
constexpr std::uint64_t kMinute = 60 * kSecond;

schema::PromptPartCrash Crash(const std::string& server, std::uint64_t sent, std::uint64_t ended,
                              const std::vector<std::string>& parts = {"bad"},
                              std::uint32_t servers = 8) {
  schema::PromptPartCrash crash;
  for (const std::string& part : parts) crash.add_parts(part);
  crash.set_backend_server(server);
  crash.set_backend_servers(servers);
  crash.set_sent_unix_ms(sent);
  crash.set_ended_unix_ms(ended);
  return crash;
}

schema::BeginPartTrial Trial(std::uint64_t entry, std::uint64_t sequence,
                             const std::vector<std::string>& parts = {"bad"}) {
  schema::BeginPartTrial trial;
  for (const std::string& part : parts) trial.add_parts(part);
  trial.set_entry_incarnation(entry);
  trial.set_sequence(sequence);
  return trial;
}

bool IsHeld(const PromptPartTable& table, const std::string& part = "bad") {
  const schema::PromptPart* evidence = table.Find(part);
  return evidence != nullptr && evidence->held();
}

/// Holds the part "bad"; its last crash is at 30 s.
void Hold(PromptPartTable& table) {
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond));
}

// Guards against a part that crashes one server after another and is never held back, and against
// one that is held back after crashes that prove little.
TEST(PromptPartTableTest, HoldsAPartFromTheThirdIndependentCrash) {
  PromptPartTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond));
  EXPECT_FALSE(IsHeld(table));
  EXPECT_THAT(table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond)), ElementsAre("bad"));
  EXPECT_TRUE(IsHeld(table));
}

// Guards against servers that crash at the same time, whatever the reason, and hold back every part
// of the requests that were in progress.
TEST(PromptPartTableTest, CountsServersThatCrashTogetherOnce) {
  PromptPartTable table;
  for (const char* server : {"s1", "s2", "s3", "s4", "s5"}) {
    table.RecordCrash(Crash(server, 9 * kSecond, 10 * kSecond));
  }
  EXPECT_EQ(table.Find("bad")->crashes(), 1U);
}

// Guards against a server that fails a share of its requests, or whose crash is reported by several
// entries, and holds back the parts of those requests.
TEST(PromptPartTableTest, CountsEachServerOnce) {
  PromptPartTable table;
  for (std::uint64_t second = 1; second < 40; second += 2) {
    table.RecordCrash(Crash("grey", second * kSecond, (second + 1) * kSecond));
  }
  EXPECT_EQ(table.Find("bad")->crashes(), 1U);
}

// Guards against shared parts that are held back together with the part that crashes servers.
TEST(PromptPartTableTest, SoundStartClearsAPart) {
  PromptPartTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"shared", "bad"}));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"shared", "bad"}));
  EXPECT_TRUE(table.Clear("shared"));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond, {"shared", "bad"}));
  EXPECT_TRUE(IsHeld(table));
  EXPECT_FALSE(IsHeld(table, "shared"));
  EXPECT_TRUE(table.Clear("bad"));
  EXPECT_FALSE(IsHeld(table));
}

// Guards against a service with two servers, both of which crash forever because the part never
// reaches three crashes of different servers.
TEST(PromptPartTableTest, NeedsNoMoreCrashesThanTheServiceHasServers) {
  PromptPartTable two;
  two.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"bad"}, 2));
  EXPECT_FALSE(IsHeld(two));
  two.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"bad"}, 2));
  EXPECT_TRUE(IsHeld(two));
  PromptPartTable one;
  one.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"bad"}, 1));
  EXPECT_FALSE(IsHeld(one));
}

// Guards against trials by several entries at once, and against a grant that is lost with its
// response.
TEST(PromptPartTableTest, GrantsATrialToOneRequest) {
  PromptPartTable table;
  Hold(table);
  EXPECT_EQ(table.BeginTrial(Trial(1, 1), 59 * kSecond), PromptPartTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2), 60 * kSecond), PromptPartTrial::kGranted);
  EXPECT_EQ(table.BeginTrial(Trial(2, 1), 61 * kSecond), PromptPartTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2), 61 * kSecond), PromptPartTrial::kGranted);
  EXPECT_EQ(table.BeginTrial(Trial(1, 3), 61 * kSecond), PromptPartTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(2, 2), 90 * kSecond), PromptPartTrial::kGranted);
}

// Guards against a shared part that is held for 30 s because it was part of no sound request before
// the part that crashes servers was held.
TEST(PromptPartTableTest, TellsPartsOfTheSameCrashesApart) {
  PromptPartTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"shared", "bad"}));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"shared", "bad"}));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond, {"shared", "bad"}));
  EXPECT_EQ(table.BeginTrial(Trial(1, 1, {"shared", "bad"}), 31 * kSecond),
            PromptPartTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2, {"shared"}), 31 * kSecond), PromptPartTrial::kGranted);
  EXPECT_EQ(table.BeginTrial(Trial(2, 1, {"shared"}), 32 * kSecond), PromptPartTrial::kNotDue);
  table.Clear("shared");
  EXPECT_EQ(table.BeginTrial(Trial(1, 3, {"shared", "bad"}), 33 * kSecond),
            PromptPartTrial::kNotDue);
}

// Guards against a sound request that is held for 30 s because it was in progress at some of the
// crashes of another one, and against a trial of the other one for the same reason.
TEST(PromptPartTableTest, TriesAPropertyWhoseCrashesAnotherOneExplains) {
  PromptPartTable table;
  table.RecordCrash(Crash("s0", 4 * kSecond, 5 * kSecond));
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"bad", "beside"}));
  table.RecordCrash(Crash("s2", 19 * kSecond, 20 * kSecond, {"bad", "beside"}));
  table.RecordCrash(Crash("s3", 29 * kSecond, 30 * kSecond, {"bad", "beside"}));
  EXPECT_EQ(table.BeginTrial(Trial(1, 1, {"bad"}), 31 * kSecond), PromptPartTrial::kNotDue);
  EXPECT_EQ(table.BeginTrial(Trial(1, 2, {"beside"}), 31 * kSecond), PromptPartTrial::kGranted);
}

// Guards against trials that crash servers at a constant rate.
TEST(PromptPartTableTest, LengthensTheTrialDelayAfterACrash) {
  PromptPartTable table;
  Hold(table);
  std::uint64_t now = 30 * kSecond;
  for (const std::uint64_t delay : {30U, 120U, 480U, 600U, 600U, 600U, 600U}) {
    EXPECT_EQ(table.Find("bad")->next_trial_unix_ms(), now + delay * kSecond);
    now += delay * kSecond;
    EXPECT_EQ(table.BeginTrial(Trial(1, now), now), PromptPartTrial::kGranted);
    table.RecordCrash(Crash("t" + std::to_string(now), now + 1, now + 1));
    ++now;
  }
}

// Guards against evidence that stays for ever, and against a held part that is released while its
// requests still come.
TEST(PromptPartTableTest, ExpiresCandidatesAndHeldParts) {
  PromptPartTable table;
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, {"candidate"}));
  Hold(table);
  table.Expire(69 * kSecond);
  EXPECT_NE(table.Find("candidate"), nullptr);
  table.Expire(70 * kSecond);
  EXPECT_EQ(table.Find("candidate"), nullptr);
  EXPECT_TRUE(IsHeld(table));
  table.Expire(30 * kSecond + 59 * kMinute);
  EXPECT_TRUE(IsHeld(table));
  table.Expire(30 * kSecond + 60 * kMinute);
  EXPECT_EQ(table.Find("bad"), nullptr);
}

// Guards against memory that grows with the number of parts, and against a flood of new parts that
// displaces a held one.
TEST(PromptPartTableTest, KeepsHeldPartsWhenItIsFull) {
  PromptPartTable table({.max_parts = 4});
  Hold(table);
  for (int i = 0; i < 20; ++i) {
    table.RecordCrash(Crash("s9", 40 * kSecond, 41 * kSecond, {"part" + std::to_string(i)}));
  }
  EXPECT_EQ(table.parts().size(), 4U);
  EXPECT_TRUE(IsHeld(table));
  PromptPartTable full({.max_parts = 1});
  Hold(full);
  EXPECT_THAT(full.RecordCrash(Crash("s9", 40 * kSecond, 41 * kSecond, {"other"})), IsEmpty());
}

// Guards against requests whose part ids are so long or so many that the table grows large.
TEST(PromptPartTableTest, IgnoresLongAndSurplusParts) {
  PromptPartTable table;
  std::vector<std::string> parts{std::string(65, 'a')};
  for (int i = 0; i < 100; ++i) parts.push_back("part" + std::to_string(i));
  table.RecordCrash(Crash("s1", 9 * kSecond, 10 * kSecond, parts));
  EXPECT_EQ(table.parts().size(), 32U);
  EXPECT_EQ(table.Find(std::string(65, 'a')), nullptr);
  // The last properties are the most specific ones.
  EXPECT_NE(table.Find("part99"), nullptr);
}

// Guards against held parts that are forgotten when a member restores a snapshot.
TEST(PromptPartTableTest, RestoresItsState) {
  PromptPartTable table;
  Hold(table);
  PromptPartTable restored;
  restored.Restore(table.Save());
  EXPECT_TRUE(IsHeld(restored));
  EXPECT_EQ(restored.BeginTrial(Trial(1, 1), 59 * kSecond), PromptPartTrial::kNotDue);
  EXPECT_EQ(restored.Save().SerializeAsString(), table.Save().SerializeAsString());
}

}  // namespace
}  // namespace briarwood::routing
