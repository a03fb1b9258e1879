#include "briarwood/common/timer_service.h"

#include <algorithm>
#include <utility>

namespace briarwood::common {

TimerService::Subscription::Subscription(Subscription&& other) noexcept
    : service_(std::exchange(other.service_, nullptr)), id_(other.id_) {}

TimerService::Subscription& TimerService::Subscription::operator=(Subscription&& other) noexcept {
  if (this != &other) {
    Reset();
    service_ = std::exchange(other.service_, nullptr);
    id_ = other.id_;
  }
  return *this;
}

TimerService::Subscription::~Subscription() { Reset(); }

void TimerService::Subscription::Reset() noexcept {
  if (service_ != nullptr) std::exchange(service_, nullptr)->Remove(id_);
}

TimerService::TimerService() : thread_([this] { Run(); }) {}

TimerService::~TimerService() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

TimerService::Subscription TimerService::Subscribe(Duration period, Callback callback) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t id = next_id_++;
  timers_[id] = {.period = period,
                 .due = Now() + period,
                 .callback = std::make_shared<Callback>(std::move(callback))};
  changed_.notify_all();
  return {this, id};
}

void TimerService::Remove(std::uint64_t id) noexcept {
  std::unique_lock lock(mutex_);
  timers_.erase(id);
  changed_.wait(lock, [&] { return running_id_ != id; });
}

void TimerService::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto next =
        std::min_element(timers_.begin(), timers_.end(),
                         [](const auto& a, const auto& b) { return a.second.due < b.second.due; });
    if (next == timers_.end()) {
      changed_.wait(lock);
      continue;
    }
    const Time now = Now();
    if (next->second.due > now) {
      changed_.wait_until(lock, next->second.due);
      continue;
    }
    // After a delay, skips the missed periods instead of running the callback once for each.
    next->second.due = std::max(next->second.due + next->second.period, now);
    running_id_ = next->first;
    const std::shared_ptr<Callback> callback = next->second.callback;
    lock.unlock();
    (*callback)(now);
    lock.lock();
    running_id_ = 0;
    changed_.notify_all();
  }
}

}  // namespace briarwood::common
