#include <gmock/gmock.h>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr const char* kShared = "5a5a0001";
constexpr const char* kCrashing = "c4a50001";
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
  std::string Send(std::size_t entry, const std::string& path, const std::string& shared_parts) {
    const std::string id = std::to_string(++sent_);
    return RawCall(entries_.at(entry)->port(),
                   "POST " + path + id + " HTTP/1.1\r\nHost: h.example\r\nBriarwood-Attempt-Id: r" +
                       id + "\r\nAuthorization: Bearer " + kKey +
                       "\r\nBriarwood-Token-Usage: 60,20\r\nBriarwood-Prefix-Hash: " +
                       shared_parts + ",ee00" + id +
                       ":20\r\nConnection: close\r\n"
                       "Content-Length: 2\r\n\r\n{}")
        .Finish();
  }

  std::string SendCrashing(std::size_t entry, const std::string& path) {
    return Send(entry, path, std::string(kShared) + ":20," + kCrashing + ":20");
  }

  std::string SendSound(std::size_t entry, const std::string& path) {
    return Send(entry, path, std::string(kShared) + ":20");
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
  std::size_t sent_ = 0;
};

// Guards against requests with one part in their prompts, no two of them alike, that crash one
// server after another, at first attempts and at retries, through several entries.
TEST_F(CrashingPromptPartTest, HoldsBackAPartThatCrashesServers) {
  StartServers(kServers);
  StartEntries(2);
  for (std::size_t i = 0; i < kServers; ++i) {
    EXPECT_THAT(SendSound(i % 2, "/ask/"), StartsWith("HTTP/1.1 200")) << i;
    static_cast<void>(SendCrashing(i % 2, i % 4 < 2 ? "/draft/" : "/ask/"));
    std::this_thread::sleep_for(milliseconds(50));
  }
  EXPECT_LE(CrashingArrivals(), kMaxCrashes + kMaxLaterRequests);
  EXPECT_THAT(SendSound(0, "/draft/"), StartsWith("HTTP/1.1 200"));
  const std::string rejected = SendCrashing(1, "/ask/");
  EXPECT_THAT(rejected, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(rejected, HasSubstr("Retry-After: "));
}

}  // namespace
}  // namespace briarwood::forwarding
