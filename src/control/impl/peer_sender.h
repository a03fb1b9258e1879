#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "briarwood/common/time.h"
#include "briarwood/rpc/client.h"
#include "consensus.pb.h"

namespace briarwood::control {

/// Thread that sends consensus messages to one member, in order. Messages queued for too long are
/// dropped, so that a paused process sends no stale messages after it resumes.
class PeerSender {
 public:
  /// \param max_age  maximum time between Push and the send of a message
  PeerSender(rpc::ClientOptions options, common::Duration max_age);
  PeerSender(const PeerSender&) = delete;
  PeerSender& operator=(const PeerSender&) = delete;
  ~PeerSender();

  void Push(schema::ConsensusMessage message);
  /// Requests the thread to stop, without waiting for it.
  void RequestStop();

  [[nodiscard]] const std::string& address() const noexcept { return client_.address(); }

 private:
  struct QueuedMessage {
    common::Time queued_at;
    schema::ConsensusMessage message;
  };

  void Run();
  void SendQueued(const QueuedMessage& queued);

  rpc::Client client_;
  common::Duration max_age_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<QueuedMessage> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::control
