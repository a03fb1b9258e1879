#include <gmock/gmock.h>

#include <algorithm>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr const char* kShared = "5a5a0001";
constexpr const char* kCrashing = "c4a50001";
constexpr const char* kSoundAgain = "c4a50002";
/// Time in which all entries read that a server is down. Four attempts of a sound request may
/// otherwise all meet such servers.
constexpr milliseconds kListTime{300};
/// Time in which evidence and rows reach all entries.
constexpr milliseconds kSyncTime{500};
/// Servers that may crash on a part, and requests that may still reach servers afterwards.
constexpr std::size_t kMaxCrashes = 5;
constexpr std::size_t kMaxLaterRequests = 3;

bool HasCrashingPart(const RawServer::Request& request) {
  return HeaderOf(request.head, "Briarwood-Prefix-Hash").find(kCrashing) != std::string::npos;
}

/// Entries that share one control member, and servers of which each crashes when it begins to write
/// an answer on one part of a prompt.
class CrashingPromptPartTest : public ForwardingTest {
 protected:
  static constexpr std::size_t kServers = 16;
  /// Time in which a server reads a prompt before it writes or crashes.
  static constexpr milliseconds kPrefillTime{20};

  void StartServers(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      servers_.push_back(std::make_unique<FakeBackend>(
          [this, i](const RawServer::Connection& connection, const RawServer::Request& request) {
            std::this_thread::sleep_for(kPrefillTime);
            if (HasCrashingPart(request)) {
              servers_[i]->Crash();
              List("m-" + std::to_string(i), servers_[i]->address(), /*leaving=*/true);
              return;
            }
            connection.Send(StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)) +
                            Chunk(Event(3)) + "0\r\n\r\n");
          }));
      List("m-" + std::to_string(i), servers_.back()->address());
    }
  }

  void StartEntries(std::size_t count) {
    Configure();
    for (std::size_t i = 0; i < count; ++i) {
      entries_.push_back(MakeEntry("entry/vm-" + std::to_string(i + 1), i + 7));
      ASSERT_NE(entries_.back(), nullptr);
    }
    for (const auto& entry : entries_) {
      ASSERT_TRUE(Eventually([&entry] { return entry->Ready(); }));
    }
  }

  /// Sends a request whose id and last part no other request has.
  std::string Send(std::size_t entry, const std::string& path, const std::string& shared_parts,
                   const std::string& headers = "") {
    const std::string id = std::to_string(++sent_);
    return RawCall(entries_.at(entry)->port(),
                   "POST " + path + id + " HTTP/1.1\r\nHost: h.example\r\nBriarwood-Attempt-Id: r" +
                       id + "\r\nAuthorization: Bearer " + kKey +
                       "\r\nBriarwood-Token-Usage: 60,20\r\nBriarwood-Prefix-Hash: " +
                       shared_parts + ",ee00" + id + ":20\r\n" + headers +
                       "Connection: close\r\n"
                       "Content-Length: 2\r\n\r\n{}")
        .Finish();
  }

  std::string SendCrashing(std::size_t entry, const std::string& path) {
    return Send(entry, path, std::string(kShared) + ":20," + kCrashing + ":20");
  }

  std::string SendSound(std::size_t entry, const std::string& path) {
    return Send(entry, path, std::string(kShared) + ":20");
  }

  /// Lets the control member hold a part whose last crash was `age` ago.
  void HoldPart(const std::string& part, std::chrono::seconds age) {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto now =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
    schema::Command command;
    schema::RecordCrashEvidence& evidence = *command.mutable_record_crash_evidence();
    evidence.set_now_unix_ms(now);
    for (std::uint64_t i = 3; i > 0; --i) {
      schema::PropertyCrash& crash = *evidence.add_crashes();
      crash.add_properties(part);
      crash.set_backend_server("m-earlier-" + std::to_string(i));
      crash.set_backend_servers(8);
      crash.set_ended_unix_ms(now - static_cast<std::uint64_t>(milliseconds(age).count()) -
                              1000 * (i - 1));
      crash.set_sent_unix_ms(crash.ended_unix_ms() - 100);
    }
    ASSERT_EQ(control_.Apply(command).code(), schema::RESULT_CODE_OK);
    std::this_thread::sleep_for(kSyncTime);
  }

  /// \returns the number of requests with the crashing part that have reached servers.
  [[nodiscard]] std::size_t CrashingArrivals() const {
    std::size_t arrivals = 0;
    for (const auto& server : servers_) {
      for (const RawServer::Request& request : server->requests()) {
        if (HasCrashingPart(request)) ++arrivals;
      }
    }
    return arrivals;
  }

  std::vector<std::unique_ptr<FakeBackend>> servers_;
  std::vector<std::unique_ptr<ForwardingNode>> entries_;
  std::atomic<std::size_t> sent_ = 0;
};

// Guards against requests with one part in their prompts, no two of them alike, that crash one
// server after another, at first attempts and at retries, through several entries.
TEST_F(CrashingPromptPartTest, HoldsBackAPartThatCrashesServers) {
  StartServers(kServers);
  StartEntries(2);
  for (std::size_t i = 0; i < kServers; ++i) {
    EXPECT_THAT(SendSound(i % 2, "/ask/"), StartsWith("HTTP/1.1 200")) << i;
    static_cast<void>(SendCrashing(i % 2, i % 4 < 2 ? "/draft/" : "/ask/"));
    std::this_thread::sleep_for(kListTime);
  }
  EXPECT_LE(CrashingArrivals(), kMaxCrashes + kMaxLaterRequests);
  EXPECT_THAT(SendSound(0, "/draft/"), StartsWith("HTTP/1.1 200"));
  const std::string rejected = SendCrashing(1, "/ask/");
  EXPECT_THAT(rejected, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(rejected, HasSubstr("Retry-After: "));
}

// Guards against evidence that stays with the entry that saw it: none of these sees more than one
// crash.
TEST_F(CrashingPromptPartTest, MergesTheCrashesOfSeveralEntries) {
  StartServers(kServers);
  StartEntries(3);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_THAT(SendCrashing(i, "/ask/"), StartsWith("HTTP/1.1 502"));
    std::this_thread::sleep_for(kSyncTime);
  }
  EXPECT_EQ(CrashingArrivals(), 3U);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_THAT(SendCrashing(i, "/ask/"), StartsWith("HTTP/1.1 503"));
  }
  // No sound request came before, so the shared part is released by a trial.
  EXPECT_TRUE(Eventually([this] { return SendSound(0, "/ask/").starts_with("HTTP/1.1 200"); }));
  std::this_thread::sleep_for(kSyncTime);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_THAT(SendSound(i, "/ask/"), StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(SendCrashing(i, "/ask/"), StartsWith("HTTP/1.1 503"));
  }
  EXPECT_EQ(CrashingArrivals(), 3U);
}

// Guards against one request that its retries carry through several servers once its part has
// crashed one.
TEST_F(CrashingPromptPartTest, RetriesNoRequestAfterASecondCrash) {
  StartServers(kServers);
  StartEntries(1);
  EXPECT_THAT(SendCrashing(0, "/ask/"), StartsWith("HTTP/1.1 502"));
  std::this_thread::sleep_for(kSyncTime);
  EXPECT_THAT(SendCrashing(0, "/draft/"), StartsWith("HTTP/1.1 502"));
  EXPECT_EQ(CrashingArrivals(), 2U);
}

// Guards against servers that stop together, for any reason, and hold back the part that their
// requests share.
TEST_F(CrashingPromptPartTest, HoldsNothingBackAfterAMassCrash) {
  std::atomic<bool> crash = false;
  std::vector<std::unique_ptr<FakeBackend>> crashing;
  for (std::size_t i = 0; i < 6; ++i) {
    crashing.push_back(std::make_unique<FakeBackend>([&, i](const auto&, const auto&) {
      Eventually([&crash] { return crash.load(); });
      crashing[i]->Crash();
    }));
    List("m-old-" + std::to_string(i), crashing.back()->address());
  }
  StartEntries(2);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < 24; ++i) {
    callers.emplace_back([this, i] { static_cast<void>(SendSound(i % 2, "/ask/")); });
  }
  EXPECT_TRUE(Eventually([&crashing] {
    return std::all_of(crashing.begin(), crashing.end(),
                       [](const auto& server) { return !server->requests().empty(); });
  }));
  crash = true;
  for (std::thread& caller : callers) caller.join();
  for (std::size_t i = 0; i < crashing.size(); ++i) {
    List("m-old-" + std::to_string(i), crashing[i]->address(), /*leaving=*/true);
  }
  StartServers(2);
  std::this_thread::sleep_for(kSyncTime);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_THAT(SendSound(i % 2, "/ask/"), StartsWith("HTTP/1.1 200"));
  }
}

// Guards against a server that closes the connection on its requests, without crashing, and holds
// back the part that they share.
TEST_F(CrashingPromptPartTest, HoldsNothingBackForOneFaultyServer) {
  FakeBackend faulty([](const auto& connection, const auto&) { connection.Close(); });
  List("m-faulty", faulty.address());
  StartEntries(2);
  for (std::size_t i = 0; i < 8; ++i) {
    EXPECT_THAT(SendSound(i % 2, "/ask/"), StartsWith("HTTP/1.1 502")) << i;
    std::this_thread::sleep_for(kSyncTime);
  }
  EXPECT_EQ(faulty.requests().size(), 8U);
}

// Guards against servers that are slow, so that callers leave and deadlines pass, and hold back the
// part that their requests share.
TEST_F(CrashingPromptPartTest, HoldsNothingBackForSlowServers) {
  std::atomic<bool> ended = false;
  std::vector<std::unique_ptr<FakeBackend>> slow;
  for (std::size_t i = 0; i < 5; ++i) {
    slow.push_back(std::make_unique<FakeBackend>(
        [&ended](const auto&, const auto&) { Eventually([&ended] { return ended.load(); }); }));
    List("m-slow-" + std::to_string(i), slow.back()->address());
  }
  StartEntries(1);
  for (std::size_t i = 0; i < 5; ++i) {
    EXPECT_THAT(Send(0, "/ask/", std::string(kShared) + ":20", "Briarwood-Deadline-Ms: 150\r\n"),
                StartsWith("HTTP/1.1 504"))
        << i;
  }
  std::size_t arrivals = 0;
  for (const auto& server : slow) arrivals += server->requests().size();
  EXPECT_EQ(arrivals, 5U);
  ended = true;
}

// Guards against a held part that stays held although it is sound again, and against a trial by
// each entry.
TEST_F(CrashingPromptPartTest, OneTrialOfTheFleetReleasesASoundPart) {
  StartServers(2);
  StartEntries(2);
  HoldPart(kSoundAgain, std::chrono::seconds(40));
  const std::string parts = std::string(kShared) + ":20," + kSoundAgain + ":20";
  EXPECT_TRUE(Eventually([&] { return Send(0, "/ask/", parts).starts_with("HTTP/1.1 200"); }));
  std::this_thread::sleep_for(kSyncTime);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_THAT(Send(i % 2, "/ask/", parts), StartsWith("HTTP/1.1 200")) << i;
  }
}

// Guards against more than one request to servers when the trial of a held part is due.
TEST_F(CrashingPromptPartTest, OneRequestOfTheFleetTriesAHeldPart) {
  StartServers(8);
  StartEntries(3);
  HoldPart(kCrashing, std::chrono::seconds(40));
  EXPECT_TRUE(Eventually([this] {
    for (std::size_t i = 0; i < 3; ++i) static_cast<void>(SendCrashing(i, "/draft/"));
    return CrashingArrivals() > 0;
  }));
  for (std::size_t i = 0; i < 30; ++i) {
    static_cast<void>(SendCrashing(i % 3, "/draft/"));
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_EQ(CrashingArrivals(), 1U);
}

}  // namespace
}  // namespace briarwood::forwarding
