#include "control/impl/peer_sender.h"

#include <utility>

#include "briarwood/common/timer_service.h"

namespace briarwood::control {

namespace {

constexpr std::size_t kMaxQueuedMessages = 256;

}  // namespace

PeerSender::PeerSender(rpc::ClientOptions options, common::Duration max_age)
    : client_(std::move(options)), max_age_(max_age), thread_([this] { Run(); }) {}

PeerSender::~PeerSender() {
  RequestStop();
  thread_.join();
}

void PeerSender::RequestStop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    queue_.clear();
  }
  changed_.notify_all();
}

void PeerSender::Push(schema::ConsensusMessage message) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= kMaxQueuedMessages) queue_.pop_front();
    queue_.push_back({common::TimerService::Now(), std::move(message)});
  }
  changed_.notify_all();
}

void PeerSender::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) return;
    const QueuedMessage queued = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    SendQueued(queued);
    lock.lock();
  }
}

void PeerSender::SendQueued(const QueuedMessage& queued) {
  // The process may have been paused since Push, so the clock is read right before the send.
  if (common::TimerService::Now() - queued.queued_at > max_age_) return;
  try {
    static_cast<void>(client_.Call<schema::ConsensusMessage>("Consensus", queued.message));
  } catch (const rpc::RpcError&) {
    // Raft sends lost messages again.
    return;
  }
}

}  // namespace briarwood::control
