#pragma once

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace briarwood::control {

/// Queue between threads whose reader takes all queued items at once.
template <typename Item>
class WorkQueue {
 public:
  /// \returns false after Close.
  bool Push(Item item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_) return false;
      items_.push_back(std::move(item));
    }
    changed_.notify_one();
    return true;
  }

  /// Waits for items. \returns all of them; empty only after Close.
  [[nodiscard]] std::vector<Item> PopAll() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return closed_ ? std::vector<Item>{} : std::exchange(items_, {});
  }

  /// Drops the queued items and ends all waits.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
      items_.clear();
    }
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Item> items_;
  bool closed_ = false;
};

}  // namespace briarwood::control
