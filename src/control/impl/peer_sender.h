#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
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

  /// \returns the first of the refused connections since the last other outcome; nothing if none
  /// was refused recently.
  [[nodiscard]] std::optional<common::Time> RefusedSince(common::Time now) const;

 private:
  struct QueuedMessage {
    common::Time queued_at;
    schema::ConsensusMessage message;
  };

  struct Refusals {
    common::Time first;
    common::Time last;
  };

  void Run();
  void SendQueued(const QueuedMessage& queued);
  void RecordOutcome(bool refused);

  rpc::Client client_;
  common::Duration max_age_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<QueuedMessage> queue_;
  std::optional<Refusals> refusals_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::control
