#include "control/impl/peer_sender.h"

#include <utility>

#include "briarwood/common/timer_service.h"

namespace briarwood::control {

namespace {

constexpr std::size_t kMaxQueuedMessages = 256;
/// Refused connections further apart than this say nothing about the time between them.
constexpr std::chrono::milliseconds kMaxRefusalInterval{500};

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
    RecordOutcome(/*refused=*/false);
  } catch (const rpc::RpcError& error) {
    // Raft sends lost messages again.
    RecordOutcome(error.refused());
  }
}

void PeerSender::RecordOutcome(bool refused) {
  const common::Time now = common::TimerService::Now();
  const std::lock_guard lock(mutex_);
  if (!refused) {
    refusals_.reset();
  } else if (refusals_ && now - refusals_->last <= kMaxRefusalInterval) {
    refusals_->last = now;
  } else {
    refusals_ = Refusals{.first = now, .last = now};
  }
}

std::optional<common::Time> PeerSender::RefusedSince(common::Time now) const {
  const std::lock_guard lock(mutex_);
  if (!refusals_ || now - refusals_->last > kMaxRefusalInterval) return std::nullopt;
  return refusals_->first;
}

}  // namespace briarwood::control
