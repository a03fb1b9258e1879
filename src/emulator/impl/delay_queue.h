#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "briarwood/common/time.h"

namespace briarwood::emulator::impl {

/// Runs tasks on one thread after a delay. Tasks that are not due at destruction are discarded.
class DelayQueue {
 public:
  DelayQueue();
  ~DelayQueue();
  DelayQueue(const DelayQueue&) = delete;
  DelayQueue& operator=(const DelayQueue&) = delete;

  void RunAfter(common::Duration delay, std::function<void()> task);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<common::Time, std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::emulator::impl
