#include <gmock/gmock.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using ::testing::StartsWith;

constexpr std::uint32_t kEntries = 4;

/// Backend server that states something about itself, and counts the requests of each entry.
class StatingBackend {
 public:
  explicit StatingBackend(std::function<std::string()> headers, std::string status = "200 OK")
      : backend_([this, headers = std::move(headers), status = std::move(status)](
                     const auto& connection, const auto& request) {
          const std::string entry = EntryOf(request);
          const std::string statement = headers();
          {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back({entry, steady_clock::now()});
          }
          std::string answer = Answer(request, "ok", status);
          answer.insert(answer.find("\r\n") + 2, statement);
          connection.Send(answer);
          const std::lock_guard lock(mutex_);
          if (!statement.empty()) told_.try_emplace(entry, steady_clock::now());
        }) {}

  [[nodiscard]] std::string address() const { return backend_.address(); }

  /// \returns the arrivals from entries that were told at least `delay` before.
  [[nodiscard]] std::vector<steady_clock::time_point> ArrivalsAfterTelling(
      milliseconds delay) const {
    const std::lock_guard lock(mutex_);
    std::vector<steady_clock::time_point> times;
    for (const Arrival& arrival : arrivals_) {
      const auto told = told_.find(arrival.entry);
      if (told != told_.end() && arrival.at >= told->second + delay) times.push_back(arrival.at);
    }
    return times;
  }

  [[nodiscard]] std::size_t arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_.size();
  }

 private:
  struct Arrival {
    std::string entry;
    steady_clock::time_point at;
  };

  static std::string EntryOf(const RawServer::Request& request) {
    const std::string id = HeaderOf(request.head, "Briarwood-Attempt-Id");
    return id.substr(0, id.find('-'));
  }

  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, steady_clock::time_point> told_;
  FakeBackend backend_;
};

class ServerStatementTest : public ForwardingTest {
 protected:
  void StartEntries() {
    control_.SetEntryCount(kEntries);
    Configure();
    for (std::uint64_t i = 0; i < kEntries; ++i) {
      entries_.push_back(MakeEntry("entry/vm-" + std::to_string(i), 10 + i));
      ASSERT_NE(entries_.back(), nullptr);
    }
    for (const auto& entry : entries_) {
      ASSERT_TRUE(Eventually([&] { return entry->Ready(); }));
    }
  }

  /// Sends requests through all entries, one after the other at each, for `duration`.
  void SendFor(seconds duration, const std::string& line = "POST /read/x") {
    std::vector<std::thread> callers;
    const auto end = steady_clock::now() + duration;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      callers.emplace_back([this, i, end, line] {
        for (int n = 0; steady_clock::now() < end; ++n) {
          std::string text = Request(line, "Briarwood-Deadline-Ms: 1500\r\n", "{}");
          text.replace(text.find("id-1"), 4, std::to_string(i) + "-" + std::to_string(n));
          const std::string response = RawCall(entries_[i]->port(), text).Finish();
          ++calls_;
          if (response.starts_with("HTTP/1.1 200")) ++served_;
          std::this_thread::sleep_for(milliseconds(15));
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
  }

  /// \returns the maximum number of arrivals in any window of this length.
  static std::size_t MaxInWindow(const std::vector<steady_clock::time_point>& times,
                                 seconds window) {
    std::size_t max = 0;
    std::deque<steady_clock::time_point> recent;
    for (const auto& at : times) {
      recent.push_back(at);
      while (recent.front() < at - window) recent.pop_front();
      max = std::max(max, recent.size());
    }
    return max;
  }

  std::vector<std::unique_ptr<ForwardingNode>> entries_;
  std::atomic<int> calls_ = 0;
  std::atomic<int> served_ = 0;
};

// Guards against a server that names a limit for all entries together and gets more, because the
// entries do not read it or each of them keeps it alone.
TEST_F(ServerStatementTest, AllEntriesTogetherKeepTheLimitOfAServer) {
  StatingBackend limited([] { return std::string("Server-Limit: 2\r\n"); });
  StatingBackend other([] { return std::string(); });
  List("a-1", limited.address());
  List("a-2", other.address());
  StartEntries();
  SendFor(seconds(6));
  const auto arrivals = limited.ArrivalsAfterTelling(milliseconds(500));
  // One and a half times the limit, and five requests.
  constexpr std::size_t kAllowedIn4Seconds = 3 * 2 * 4 / 2 + 5;
  EXPECT_LE(MaxInWindow(arrivals, seconds(4)), kAllowedIn4Seconds);
  // The limit is used, and the other server takes the rest.
  EXPECT_GE(arrivals.size(), 4U);
  EXPECT_EQ(served_, calls_);
}

// Guards against new requests to a server that says it is leaving while the list shows it as ready,
// and against requests that are lost because of that.
TEST_F(ServerStatementTest, LeavingServerGetsNoNewRequests) {
  StatingBackend leaving([] { return std::string("Server-Leaving: 1\r\n"); });
  StatingBackend other([] { return std::string(); });
  List("a-1", leaving.address());
  List("a-2", other.address());
  StartEntries();
  SendFor(seconds(2));
  EXPECT_GE(leaving.arrivals(), 1U);
  EXPECT_EQ(leaving.ArrivalsAfterTelling(milliseconds(100)).size(), 0U);
  EXPECT_EQ(served_, calls_);
}

// Guards against requests to a server that has rejected one and asked to be left alone for a time,
// and against a server that is never used again.
TEST_F(ServerStatementTest, ServerGetsNoRequestsForTheTimeThatItAskedFor) {
  StatingBackend busy(
      [] { return std::string("Briarwood-Not-Executed: 1\r\nRetry-After: 1.5\r\n"); },
      "503 Service Unavailable");
  StatingBackend other([] { return std::string(); });
  List("a-1", busy.address());
  List("a-2", other.address());
  StartEntries();
  SendFor(seconds(4));
  // Each entry tries the server about every 1.5 s, and may have sent a few requests at first.
  EXPECT_GE(busy.arrivals(), 2U * kEntries);
  EXPECT_LE(busy.ArrivalsAfterTelling(milliseconds(100)).size(), 3U * kEntries);
  EXPECT_EQ(served_, calls_);
}

// Guards against a caller of a long stream that waits in the queue until it gives up, instead of
// learning early that no server has room.
TEST_F(ServerStatementTest, RejectsAStreamThatCannotBeginWithinAFewTargets) {
  FakeBackend full([](const auto& connection, const auto& request) {
    connection.Send("HTTP/1.1 503 Full\r\nBriarwood-Not-Executed: 1\r\nBriarwood-Attempt-Id: " +
                    HeaderOf(request.head, "Briarwood-Attempt-Id") +
                    "\r\nRetry-After: 6\r\nContent-Length: 0\r\n\r\n");
  });
  List("m-1", full.address());
  control_.SetEntryCount(1);
  StartReadyEntry();
  static_cast<void>(Call("POST /ask/x", "Briarwood-Deadline-Ms: 5000\r\n", "{}"));
  // The target of the route is 0.8 s, and the server wants no requests for 6 s.
  const auto start = steady_clock::now();
  const std::string response = Call("POST /long/x", "Briarwood-Deadline-Ms: 15000\r\n", "{}");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
  EXPECT_GE(std::stod(HeaderOf(response, "Retry-After")), 1.0);
  EXPECT_LT(steady_clock::now() - start, milliseconds(300));
}

// Guards against a second entry of the list with the id of a server that leaves: the server would
// get requests again, and what it has stated would be forgotten.
TEST_F(ServerStatementTest, SecondEntryOfTheListChangesNothing) {
  StatingBackend leaving([] { return std::string(); });
  StatingBackend other([] { return std::string(); });
  List("a-1", leaving.address(), /*leaving=*/true);
  List("a-2", other.address());
  schema::ListedBackend second = list_.backends(0);
  second.set_leaving(false);
  *list_.add_backends() = second;
  StartEntries();
  SendFor(seconds(1));
  EXPECT_EQ(leaving.arrivals(), 0U);
  EXPECT_EQ(served_, calls_);
}

// Guards against callers that wait for a server that all entries may hardly use and are rejected
// only at the end, and against a lower tier that takes the permits of a higher one.
TEST_F(ServerStatementTest, RejectsEarlyAndLowTiersFirstIfAllServersAreLimited) {
  FakeBackend limited([](const auto& connection, const auto& request) {
    std::string head = StreamHead(request);
    head.insert(head.find("\r\n") + 2, "Server-Limit: 2\r\n");
    connection.Send(head + Chunk(Event(1)) + "0\r\n\r\n");
  });
  List("m-1", limited.address());
  control_.SetEntryCount(1);
  StartReadyEntry();
  ASSERT_THAT(Call("POST /draft/x", "Briarwood-Deadline-Ms: 3000\r\n", "{}"),
              StartsWith("HTTP/1.1 200"));
  std::atomic<int> rejected_early = 0;
  std::atomic<int> drafts_served = 0;
  constexpr int kCallersOfEachTier = 12;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallersOfEachTier; ++i) {
    callers.emplace_back([&] {
      const auto start = steady_clock::now();
      const std::string response = Call("POST /ask/x", "Briarwood-Deadline-Ms: 3000\r\n", "{}");
      const bool early = steady_clock::now() - start < milliseconds(200);
      const std::string delay = HeaderOf(response, "Retry-After");
      if (early && response.starts_with("HTTP/1.1 503") && std::stod(delay) >= 0.8) {
        ++rejected_early;
      }
    });
    std::this_thread::sleep_for(milliseconds(10));
  }
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back([&] {
      const std::string response = Call("POST /draft/x", "Briarwood-Deadline-Ms: 3000\r\n", "{}");
      if (response.starts_with("HTTP/1.1 200")) ++drafts_served;
    });
  }
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(drafts_served, 2);
  EXPECT_GE(rejected_early, kCallersOfEachTier / 2);
}

}  // namespace
}  // namespace briarwood::forwarding
