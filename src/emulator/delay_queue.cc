#include "emulator/impl/delay_queue.h"

#include <utility>

namespace briarwood::emulator::impl {

DelayQueue::DelayQueue() : thread_([this] { Run(); }) {}

DelayQueue::~DelayQueue() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void DelayQueue::RunAfter(common::Duration delay, std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.emplace(common::BootClock::now() + delay, std::move(task));
  }
  changed_.notify_all();
}

void DelayQueue::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (tasks_.empty()) {
      changed_.wait(lock);
    } else if (tasks_.begin()->first > common::BootClock::now()) {
      // The due time is copied because the map may change during the wait.
      const common::Time due = tasks_.begin()->first;
      changed_.wait_until(lock, due);
    } else {
      auto node = tasks_.extract(tasks_.begin());
      lock.unlock();
      node.mapped()();
      // Destroyed without the lock, because destroying the state of a task may queue another task.
      node.mapped() = nullptr;
      lock.lock();
    }
  }
}

}  // namespace briarwood::emulator::impl
