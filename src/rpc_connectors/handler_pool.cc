#include "rpc_connectors/handler_pool.h"

#include <utility>

namespace briarwood {
namespace rpc_connectors {

void HandlerPool::Submit(Job job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs_.push_back(std::move(job));
    if (jobs_.size() > idle_ && threads_.size() < max_threads_) {
      threads_.emplace_back([this] { Run(); });
    }
  }
  changed_.notify_one();
}

void HandlerPool::Drain() {
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    draining_ = true;
    threads.swap(threads_);
  }
  changed_.notify_all();
  for (std::thread& thread : threads) thread.join();
}

void HandlerPool::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_;
    changed_.wait(lock, [this] { return draining_ || !jobs_.empty(); });
    --idle_;
    if (jobs_.empty()) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

}  // namespace rpc_connectors
}  // namespace briarwood
