#include "entry/impl/task_queue.h"

#include <utility>

namespace briarwood::entry::impl {

void TaskQueue::Post(std::function<void()> task) {
  const std::lock_guard lock(mutex_);
  if (stopping_) return;
  tasks_.push_back(std::move(task));
  changed_.notify_one();
}

void TaskQueue::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) thread_.join();
  // Releases the references that the tasks hold to their owners.
  const std::lock_guard lock(mutex_);
  tasks_.clear();
}

void TaskQueue::Run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    if (stopping_) return;
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace briarwood::entry::impl
