#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::policy_sim {

/// Runs callbacks in the order of their virtual time, and callbacks with equal times in the order
/// of insertion.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  [[nodiscard]] common::Time now() const noexcept { return now_; }

  void At(common::Time when, Callback callback) {
    events_.push({.when = when, .sequence = next_sequence_++, .callback = std::move(callback)});
  }
  void After(common::Duration delay, Callback callback) { At(now_ + delay, std::move(callback)); }

  /// Runs all events up to and including `end`.
  void RunUntil(common::Time end) {
    while (!events_.empty() && events_.top().when <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.when;
      event.callback();
    }
    now_ = end;
  }

 private:
  struct Event {
    common::Time when;
    std::uint64_t sequence = 0;
    Callback callback;

    friend bool operator<(const Event& left, const Event& right) {
      return std::pair(left.when, left.sequence) > std::pair(right.when, right.sequence);
    }
  };

  std::priority_queue<Event> events_;
  std::uint64_t next_sequence_ = 0;
  // Not the epoch, which the policy uses for "not set".
  common::Time now_{std::chrono::seconds(1000)};
};

}  // namespace briarwood::policy_sim
