#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace briarwood {
namespace rpc_connectors {

/// Thread pool for handlers. Adds a thread when all are busy, because a handler may wait for
/// another one: a proposal waits until consensus messages from other members have been handled.
class HandlerPool {
 public:
  using Job = std::function<void()>;

  explicit HandlerPool(std::size_t max_threads) : max_threads_(max_threads) {}
  HandlerPool(const HandlerPool&) = delete;
  HandlerPool& operator=(const HandlerPool&) = delete;
  ~HandlerPool() { Drain(); }

  void Submit(Job job);
  /// Runs the queued jobs and joins the threads.
  void Drain();

 private:
  void Run();

  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  std::size_t idle_ = 0;
  bool draining_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace rpc_connectors
}  // namespace briarwood
