#include <gmock/gmock.h>

#include <algorithm>
#include <chrono>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr std::size_t kServers = 24;
constexpr std::size_t kRequests = 14;
constexpr milliseconds kInterval{300};
/// Time that a server works on a request before it responds or crashes.
constexpr milliseconds kWork{10};
/// From this time after the third crash, at most kMaxLateRequests may reach servers.
constexpr milliseconds kHoldTime{3000};
constexpr std::size_t kMaxLateRequests = 3;
/// Requests that may reach servers in all: those before the entries know enough, and late ones.
constexpr std::size_t kMaxArrivals = 8;

/// Two entries that share one control member, and servers of which each crashes when it begins to
/// run the request that carries the body or the query "crash".
class CrashingRequestTest : public ForwardingTest {
 protected:
  using Clock = std::chrono::steady_clock;

  /// \param prefix  "a" for servers of the service "app", any other for "llm"
  void Start(const std::string& prefix, std::size_t servers = kServers) {
    for (std::size_t i = 0; i < servers; ++i) AddServer(prefix);
    Configure();
    for (std::size_t i = 0; i < 2; ++i) {
      entries_.push_back(MakeEntry("entry/vm-" + std::to_string(i + 1), i + 7));
      ASSERT_NE(entries_.back(), nullptr);
    }
    for (const auto& entry : entries_) {
      ASSERT_TRUE(Eventually([&entry] { return entry->Ready(); }));
    }
  }

  void AddServer(const std::string& prefix, std::uint64_t started_unix_ms = 0) {
    const std::size_t i = servers_.size();
    servers_.push_back(nullptr);
    servers_.back() =
        std::make_unique<FakeBackend>([this, prefix, i](const RawServer::Connection& connection,
                                                        const RawServer::Request& request) {
          std::this_thread::sleep_for(kWork);
          if (IsCrashing(request)) {
            Crash(prefix, i);
            return;
          }
          connection.Send(prefix == "a" ? Answer(request, "ok")
                                        : StreamHead(request) + Chunk(Event(1)) + Chunk(Event(2)) +
                                              Chunk(Event(3)) + "0\r\n\r\n");
        });
    List(prefix + "-" + std::to_string(i), servers_.back()->address(), /*leaving=*/false,
         started_unix_ms);
  }

  void Crash(const std::string& prefix, std::size_t i) {
    {
      const std::lock_guard lock(arrivals_mutex_);
      arrivals_.push_back(Clock::now());
      ++crashed_;
    }
    servers_[i]->Crash();
    List(prefix + "-" + std::to_string(i), servers_[i]->address(), /*leaving=*/true);
  }

  /// Starts a server with a new id for each one that has crashed since the last call.
  void ReplaceCrashedServers() {
    std::size_t crashed = 0;
    {
      const std::lock_guard lock(arrivals_mutex_);
      crashed = std::exchange(crashed_, 0);
    }
    for (std::size_t i = 0; i < crashed; ++i) AddServer("a");
  }

  static bool IsCrashing(const RawServer::Request& request) {
    return request.head.find("?crash") != std::string::npos || request.body == "crash";
  }

  /// Sends a request with an id of its own.
  std::string Send(std::size_t entry, const std::string& line, const std::string& body = "",
                   const std::string& headers = "") {
    const std::string length =
        body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return RawCall(entries_.at(entry)->port(),
                   line + " HTTP/1.1\r\nHost: h.example\r\nBriarwood-Attempt-Id: r" +
                       std::to_string(++sent_) + "\r\nAuthorization: Bearer " + kKey + "\r\n" +
                       headers + length + "Connection: close\r\n\r\n" + body)
        .Finish();
  }

  /// Sends the crashing request at both entries in turn, with a sound one before each, and checks
  /// how many reach servers.
  void ExpectHeld(const std::string& line, const std::string& body, const std::string& headers,
                  const std::string& sound_line, const std::string& sound_body,
                  const std::string& sound_headers) {
    std::string last;
    for (std::size_t i = 0; i < kRequests; ++i) {
      EXPECT_THAT(Send(i % 2, sound_line, sound_body, sound_headers), StartsWith("HTTP/1.1 200"))
          << i;
      last = Send(i % 2, line, body, headers);
      std::this_thread::sleep_for(kInterval);
    }
    EXPECT_LE(LateArrivals(), kMaxLateRequests);
    EXPECT_LE(arrivals_.size(), kMaxArrivals);
    EXPECT_THAT(last, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(last, HasSubstr("Retry-After: "));
  }

  [[nodiscard]] std::size_t LateArrivals() {
    const std::lock_guard lock(arrivals_mutex_);
    if (arrivals_.size() < 3) return 0;
    const auto from = arrivals_[2] + kHoldTime;
    return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(),
                                                  [&](auto arrival) { return arrival > from; }));
  }

  std::mutex arrivals_mutex_;
  std::vector<Clock::time_point> arrivals_;
  /// Servers that have crashed and were not replaced.
  std::size_t crashed_ = 0;
  std::vector<std::unique_ptr<FakeBackend>> servers_;
  std::vector<std::unique_ptr<ForwardingNode>> entries_;
  std::atomic<std::size_t> sent_ = 0;
};

// Guards against a plain request without a prompt that is sent again and again and crashes one
// server after another.
TEST_F(CrashingRequestTest, HoldsBackASafeRequestThatCrashesServers) {
  Start("a");
  ExpectHeld("GET /read/no17?crash", "", "", "GET /read/no18", "", "");
}

// Guards against the same with a request that may run once, which callers send again as a new one.
TEST_F(CrashingRequestTest, HoldsBackAnUnsafeRequestThatCrashesServers) {
  Start("a");
  ExpectHeld("POST /book/no17", "crash", "", "POST /book/no17", "sound", "");
}

// Guards against the same with a stream whose prompt has one part, which no other request shares.
TEST_F(CrashingRequestTest, HoldsBackAStreamWithOnePromptPartThatCrashesServers) {
  Start("m");
  ExpectHeld("POST /draft/no17", "crash",
             "Briarwood-Token-Usage: 60,20\r\nBriarwood-Prefix-Hash: c4a50001:60\r\n",
             "POST /draft/no17", "sound",
             "Briarwood-Token-Usage: 60,20\r\nBriarwood-Prefix-Hash: 5a5a0001:60\r\n");
}

// Guards against servers that come back with the id that they had, of which each counts once.
TEST_F(CrashingRequestTest, CountsEachLifetimeOfAServer) {
  Start("a", 1);
  for (std::uint64_t i = 0; i < 8; ++i) {
    servers_.clear();
    AddServer("a", /*started_unix_ms=*/1000 + i);
    std::this_thread::sleep_for(2 * kInterval);
    static_cast<void>(Send(i % 2, "POST /book/no17", "crash"));
  }
  EXPECT_LE(arrivals_.size(), 3U);
}

// Guards against sound requests that are polled by several callers, run beside the crashing one at
// each crash of a small service, and are held back with it.
TEST_F(CrashingRequestTest, ServesPolledRequestsBesideTheCrashingOne) {
  servers_.reserve(kServers);
  Start("a", 3);
  std::atomic<bool> done = false;
  std::atomic<std::size_t> late = 0;
  std::atomic<std::size_t> served_late = 0;
  const auto late_from = Clock::now() + std::chrono::seconds(8);
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&, caller] {
      const std::string line = "GET /read/polled" + std::to_string(caller);
      while (!done) {
        const bool is_late = Clock::now() > late_from;
        const bool served = Send(caller % 2, line).starts_with("HTTP/1.1 200");
        if (is_late) ++late;
        if (is_late && served) ++served_late;
        std::this_thread::sleep_for(kWork);
      }
    });
  }
  for (std::size_t i = 0; i < 40; ++i) {
    static_cast<void>(Send(i % 2, "GET /read/no17?crash"));
    std::this_thread::sleep_for(kInterval);
    if (i % 4 == 3) ReplaceCrashedServers();
  }
  done = true;
  for (std::thread& caller : callers) caller.join();
  EXPECT_LE(LateArrivals(), kMaxLateRequests);
  EXPECT_GT(late, 0U);
  EXPECT_GE(served_late * 10, late * 9);
}

// Guards against servers that end one after the other without a cause in their requests and hold
// back a request that is polled all the time.
TEST_F(CrashingRequestTest, HoldsNothingBackDuringARollingKill) {
  Start("a", 6);
  std::atomic<bool> done = false;
  std::atomic<std::size_t> rejected = 0;
  std::thread caller([&] {
    while (!done) {
      if (Send(0, "GET /read/polled").starts_with("HTTP/1.1 503")) ++rejected;
    }
  });
  for (std::size_t i = 0; i < 4; ++i) {
    std::this_thread::sleep_for(2 * kInterval);
    servers_[i]->Crash();
  }
  std::this_thread::sleep_for(2 * kInterval);
  done = true;
  caller.join();
  EXPECT_EQ(rejected, 0U);
}

}  // namespace
}  // namespace briarwood::forwarding
