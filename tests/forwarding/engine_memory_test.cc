#include <gmock/gmock.h>

#include <atomic>
#include <future>

#include "forwarding_fixture.h"

namespace briarwood::forwarding {
namespace {

using std::chrono::milliseconds;
using ::testing::StartsWith;

class EngineMemoryTest : public ForwardingTest {
 protected:
  void StartEntryWithMemory(const std::string& tokens) {
    std::string document = Document(1, kKey);
    const std::string service = R"({"name":"llm",)";
    document.replace(document.find(service), service.size(),
                     service + R"("backend":{"slots":8,"kvCapacity":)" + tokens + "},");
    schema::Command command;
    command.mutable_apply_configuration()->set_document("platform");
    command.mutable_apply_configuration()->set_version(1);
    command.mutable_apply_configuration()->set_content(document);
    ASSERT_EQ(control_.Apply(command).code(), schema::RESULT_CODE_OK);
    StartEntry();
    ASSERT_TRUE(Eventually([this] { return node_->Ready(); }));
  }

  /// Sends two requests of 3,050 tokens to one engine.
  /// \returns the highest number that ran there at the same time.
  int MostAtOnce(const std::string& memory_tokens) {
    std::atomic<int> running = 0;
    std::atomic<int> most = 0;
    FakeBackend engine([&](const auto& connection, const auto& request) {
      most = std::max(most.load(), ++running);
      std::this_thread::sleep_for(milliseconds(300));
      --running;
      connection.Send(StreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
    });
    List("l-1", engine.address());
    StartEntryWithMemory(memory_tokens);
    const auto call = [this] {
      return Call("POST /ask/x", "Briarwood-Token-Usage: 3000,50\r\n", "prompt");
    };
    auto first = std::async(std::launch::async, call);
    auto second = std::async(std::launch::async, call);
    EXPECT_THAT(first.get(), StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(second.get(), StartsWith("HTTP/1.1 200"));
    node_.reset();
    return most;
  }
};

// Guards against a prompt that is sent to engines that cannot hold it, or waits for memory that no
// engine has.
TEST_F(EngineMemoryTest, RejectsPromptsThatNoEngineHolds) {
  FakeBackend engine([](const auto& connection, const auto& request) {
    connection.Send(StreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  List("l-1", engine.address());
  StartEntryWithMemory("5000");
  const auto start = std::chrono::steady_clock::now();
  const std::string answer = Call("POST /ask/x", "Briarwood-Token-Usage: 5001,50\r\n", "prompt");
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 503"));
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(400));
  EXPECT_TRUE(engine.requests().empty());
  EXPECT_THAT(Call("POST /ask/x", "Briarwood-Token-Usage: 4999,50\r\n", "prompt"),
              StartsWith("HTTP/1.1 200"));
}

// Guards against requests that together exceed the memory of an engine with free slots, which would
// interrupt one of them.
TEST_F(EngineMemoryTest, RequestsWaitForMemory) { EXPECT_EQ(MostAtOnce("5000"), 1); }

TEST_F(EngineMemoryTest, RequestsThatFitRunTogether) { EXPECT_EQ(MostAtOnce("20000"), 2); }

}  // namespace
}  // namespace briarwood::forwarding
