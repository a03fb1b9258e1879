#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace briarwood::entry::impl {

/// Runs short tasks in order on a dedicated thread, for work that must not run while the posting
/// thread holds its locks.
class TaskQueue {
 public:
  TaskQueue() : thread_([this] { Run(); }) {}
  ~TaskQueue() { Stop(); }
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  /// Queues a task; tasks that are posted after Stop are discarded.
  void Post(std::function<void()> task);

  /// Waits for the running task and discards the queued ones.
  void Stop();

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::entry::impl
