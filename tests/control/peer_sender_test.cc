#include "control/impl/peer_sender.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include "briarwood/rpc/server.h"

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;

// Guards against a previous leader that sends stale messages after its process was paused.
TEST(PeerSenderTest, DropsMessagesThatWaitedTooLong) {
  constexpr milliseconds kMaxAge{50};
  std::promise<void> release;
  std::mutex mutex;
  std::vector<std::uint64_t> received;
  rpc::Server server;
  server.Handle<schema::ConsensusMessage, schema::ConsensusMessage>(
      "Consensus", [&](const schema::ConsensusMessage& message) {
        if (message.term() == 1) release.get_future().wait();
        const std::lock_guard lock(mutex);
        received.push_back(message.term());
        return schema::ConsensusMessage();
      });
  auto port = server.Start({.listen = "127.0.0.1:0"});
  ASSERT_TRUE(port.ok());
  PeerSender sender(
      {.address = "127.0.0.1:" + std::to_string(port.value()), .timeout = std::chrono::seconds(60)},
      kMaxAge);
  const auto push = [&](std::uint64_t term) {
    schema::ConsensusMessage message;
    message.set_term(term);
    sender.Push(std::move(message));
  };
  const auto wait_for = [&](std::uint64_t term) {
    while (true) {
      const std::lock_guard lock(mutex);
      if (!received.empty() && received.back() == term) return;
    }
  };
  push(1);
  push(2);
  std::this_thread::sleep_for(2 * kMaxAge);
  release.set_value();
  wait_for(1);
  // Pushed repeatedly, because on a busy machine a message can exceed the limit without a pause.
  std::uint64_t next = 3;
  while (true) {
    push(next);
    std::this_thread::sleep_for(milliseconds(5));
    const std::lock_guard lock(mutex);
    if (received.size() > 1) break;
    ++next;
  }
  const std::lock_guard lock(mutex);
  EXPECT_EQ(received[0], 1U);
  EXPECT_GT(received[1], 2U);
}

}  // namespace
}  // namespace briarwood::control
