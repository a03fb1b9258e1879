#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "briarwood/common/time.h"

namespace briarwood::common {

/// Calls subscribers periodically on one thread, by BootClock.
///
/// Callbacks must be short and move long work to other threads. Destroying the handle of a
/// subscription ends it and waits for a running callback.
class TimerService {
 public:
  using Callback = std::function<void(Time now)>;

  /// Ends the subscription on destruction. Must not outlive the service or be destroyed in its own
  /// callback.
  class Subscription {
   public:
    Subscription() = default;
    Subscription(TimerService* service, std::uint64_t id) : service_(service), id_(id) {}
    Subscription(Subscription&& other) noexcept;
    Subscription& operator=(Subscription&& other) noexcept;
    Subscription(const Subscription&) = delete;
    Subscription& operator=(const Subscription&) = delete;
    ~Subscription();

   private:
    void Reset() noexcept;

    TimerService* service_ = nullptr;
    std::uint64_t id_ = 0;
  };

  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  /// Calls `callback` every `period`; the first call is after one period.
  /// \param period  must be positive
  [[nodiscard]] Subscription Subscribe(Duration period, Callback callback);

  [[nodiscard]] static Time Now() noexcept { return common::BootClock::now(); }

 private:
  struct Timer {
    Duration period{};
    Time due;
    std::shared_ptr<Callback> callback;
  };

  void Run();
  void Remove(std::uint64_t id) noexcept;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::uint64_t, Timer> timers_;
  std::uint64_t next_id_ = 1;
  std::uint64_t running_id_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::common
