#include "briarwood/proposals/background_proposer.h"

#include <chrono>
#include <utility>

namespace briarwood::proposals {
namespace {

schema::ProposeResponse NotLeaderResponse() {
  schema::ProposeResponse response;
  response.set_status(schema::ProposeResponse::STATUS_NOT_LEADER);
  return response;
}

}  // namespace

std::uint64_t WallClockMillis() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

BackgroundProposer::BackgroundProposer(ProposerOptions options, unsigned threads)
    : proposer_(std::move(options)) {
  for (unsigned i = 0; i < threads; ++i) threads_.emplace_back([this] { Run(); });
}

BackgroundProposer::~BackgroundProposer() { Stop(); }

void BackgroundProposer::Propose(schema::Command command, common::Time deadline, Callback done) {
  {
    const std::lock_guard lock(mutex_);
    if (!stopping_) {
      jobs_.push_back(
          {.command = std::move(command), .deadline = deadline, .done = std::move(done)});
      changed_.notify_one();
      return;
    }
  }
  done(NotLeaderResponse());
}

void BackgroundProposer::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

void BackgroundProposer::Run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (jobs_.empty()) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    const bool reject = stopping_;
    lock.unlock();
    job.done(reject ? NotLeaderResponse() : proposer_.Propose(job.command, job.deadline));
    lock.lock();
  }
}

}  // namespace briarwood::proposals
