#include <gmock/gmock.h>

#include <atomic>
#include <chrono>
#include <set>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

constexpr const char* kOld = "v1";
constexpr const char* kNew = "v2";
constexpr int kEvents = 6;
/// Time in which the start of a stream is recorded by the control members.
constexpr milliseconds kRecordTime{500};

std::string VersionedEvent(int id, const std::string& version) {
  return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
}

/// Servers of two software versions that write their version into each event, and entries that
/// share one control member.
class StreamVersionTest : public ForwardingTest {
 protected:
  void AddServer(const std::string& id, const std::string& version) {
    servers_.push_back(
        std::make_unique<FakeBackend>([this, version](const RawServer::Connection& connection,
                                                      const RawServer::Request& request) {
          const std::string last = HeaderOf(request.head, "Last-Event-Id");
          const int from = last.empty() ? 1 : std::stoi(last) + 1;
          const bool breaks = last.empty() && break_after_ > 0;
          std::string body;
          for (int event = from; event <= (breaks ? break_after_.load() : kEvents); ++event) {
            body += Chunk(VersionedEvent(event, version));
          }
          connection.Send(StreamHead(request) + body + (breaks ? "" : "0\r\n\r\n"));
          if (!breaks) return;
          std::this_thread::sleep_for(milliseconds(50));
          connection.Close();
        }));
    List(id, servers_.back()->address(), /*leaving=*/false, /*started_unix_ms=*/0, version);
  }

  void StartEntry(const std::string& id, std::uint64_t incarnation) {
    entries_.push_back(MakeEntry(id, incarnation));
    ASSERT_NE(entries_.back(), nullptr);
    ASSERT_TRUE(Eventually([this] { return entries_.back()->Ready(); }));
  }

  std::string Stream(std::size_t entry, const std::string& id, const std::string& headers = "") {
    return RawCall(entries_.at(entry)->port(),
                   "POST /draft/" + id + " HTTP/1.1\r\nHost: h.example\r\nBriarwood-Attempt-Id: " +
                       id + "\r\nAuthorization: Bearer " + kKey + "\r\n" + headers +
                       "Connection: close\r\nContent-Length: 2\r\n\r\n{}")
        .Finish();
  }

  std::string TakeUp(std::size_t entry, const std::string& id, const std::string& first) {
    return Stream(entry, id, "Last-Event-Id: 2\r\nResumes: " + first + "\r\n");
  }

  /// \returns the versions of the events in a response.
  static std::set<std::string> Versions(const std::string& response) {
    std::set<std::string> versions;
    for (const char* version : {kOld, kNew}) {
      if (response.find(std::string("data: ") + version) != std::string::npos) {
        versions.insert(version);
      }
    }
    return versions;
  }

  /// Events after which servers break off streams that begin; 0 means none.
  std::atomic<int> break_after_ = 2;
  std::vector<std::unique_ptr<FakeBackend>> servers_;
  std::vector<std::unique_ptr<ForwardingNode>> entries_;
};

// Guards against a stream that breaks off and goes on, within one answer, at a server of another
// software version, whose events do not fit.
TEST_F(StreamVersionTest, GoesOnWithinOneAnswerAtTheSameVersion) {
  AddServer("m-1", kOld);
  AddServer("m-2", kOld);
  AddServer("m-3", kNew);
  AddServer("m-4", kNew);
  Configure();
  StartEntry("entry/vm-1", 7);
  for (int i = 0; i < 6; ++i) {
    const std::string response = Stream(0, "s" + std::to_string(i));
    EXPECT_EQ(Versions(response).size(), 1U) << response;
    EXPECT_THAT(response, HasSubstr("id: 6\n"));
    EXPECT_THAT(response, Not(HasSubstr("<cut>")));
  }
}

// Guards against the same where no server of the version is left, and against a broken stream that
// looks complete or is kept open until its time limit.
TEST_F(StreamVersionTest, EndsBrokenWithoutAServerOfItsVersion) {
  AddServer("m-1", kOld);
  AddServer("m-2", kNew);
  Configure();
  StartEntry("entry/vm-1", 7);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 6; ++i) {
    const std::string response = Stream(0, "s" + std::to_string(i));
    EXPECT_EQ(Versions(response).size(), 1U) << response;
    EXPECT_THAT(response, HasSubstr("<cut>"));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(6));
}

// Guards against a stream that its caller takes up at another entry and that goes on at a server of
// another software version.
TEST_F(StreamVersionTest, IsTakenUpAtAnotherEntryAtTheSameVersion) {
  AddServer("m-1", kOld);
  Configure();
  StartEntry("entry/vm-1", 7);
  StartEntry("entry/vm-2", 8);
  break_after_ = 0;
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(Versions(Stream(0, "s" + std::to_string(i))), std::set<std::string>{kOld});
  }
  for (int i = 2; i < 5; ++i) AddServer("m-" + std::to_string(i), kNew);
  std::this_thread::sleep_for(kRecordTime);
  for (int i = 0; i < 6; ++i) {
    const std::string response = TakeUp(1, "t" + std::to_string(i), "s" + std::to_string(i));
    EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(Versions(response), std::set<std::string>{kOld});
    EXPECT_THAT(response, HasSubstr("id: 6\n"));
  }
}

// Guards against the same after all entries have ended and started again.
TEST_F(StreamVersionTest, IsTakenUpAfterAllEntriesHaveEnded) {
  AddServer("m-1", kOld);
  Configure();
  StartEntry("entry/vm-1", 7);
  break_after_ = 0;
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(Versions(Stream(0, "s" + std::to_string(i))), std::set<std::string>{kOld});
  }
  std::this_thread::sleep_for(kRecordTime);
  entries_.clear();
  for (int i = 2; i < 5; ++i) AddServer("m-" + std::to_string(i), kNew);
  StartEntry("entry/vm-1", 17);
  for (int i = 0; i < 8; ++i) {
    const std::string response = TakeUp(0, "t" + std::to_string(i), "s" + std::to_string(i));
    EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(Versions(response), std::set<std::string>{kOld});
  }
}

// Guards against an entry that has not read the list since servers of a new version joined, and
// that lets a stream which began there, and whose record is missing, go on at the version that it
// knows.
TEST_F(StreamVersionTest, AnUnknownStreamWaitsForACurrentList) {
  AddServer("m-1", kOld);
  break_after_ = 0;
  Configure();
  StartEntry("entry/vm-1", 7);
  EXPECT_THAT(TakeUp(0, "t1", "unknown"), StartsWith("HTTP/1.1 200"));
  {
    const std::lock_guard lock(list_mutex_);
    cut_off_.insert("entry/vm-1");
  }
  std::this_thread::sleep_for(kRecordTime);
  AddServer("m-2", kNew);
  const std::string response = TakeUp(0, "t2", "unknown");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response, HasSubstr("Retry-After: "));
  EXPECT_THAT(Stream(0, "new"), StartsWith("HTTP/1.1 200"));
}

// Guards against a stream of which nobody knows where it began, and that goes on at a version that
// may be the wrong one. With a single version there is no doubt.
TEST_F(StreamVersionTest, AnUnknownStreamGoesOnOnlyWithASingleVersion) {
  AddServer("m-1", kOld);
  AddServer("m-2", kOld);
  break_after_ = 0;
  Configure();
  StartEntry("entry/vm-1", 7);
  EXPECT_THAT(TakeUp(0, "t1", "unknown"), StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(Stream(0, "t2", "Last-Event-Id: 2\r\n"), StartsWith("HTTP/1.1 200"));
  AddServer("m-3", kNew);
  std::this_thread::sleep_for(kRecordTime);
  for (int i = 0; i < 4; ++i) {
    const std::string response = TakeUp(0, "u" + std::to_string(i), "unknown");
    EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(response, HasSubstr("Retry-After: "));
  }
  EXPECT_THAT(Stream(0, "u9", "Last-Event-Id: 2\r\n"), StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(Stream(0, "new"), StartsWith("HTTP/1.1 200"));
}

}  // namespace
}  // namespace briarwood::forwarding
