#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "soak/invariant_checkers.h"

namespace briarwood::soak {

struct CrashingPartBounds {
  /// Crashes under one part after which requests with it must be held back.
  std::size_t crashes = 5;
  /// Time in which all entries learn of the last of them.
  common::Duration contact_period = std::chrono::seconds(3);
  /// Requests with the part that may reach servers after that.
  std::size_t max_arrivals = 3;
  /// Minimum share of sound requests served, relative to the time before the
  /// first crash.
  double min_relative_share = 0.5;
  /// Calls in each period from which the shares are compared.
  std::size_t min_calls = 20;
};

/// Checks that requests with a part that crashes backend servers are held back,
/// and sound requests with the same first part are not.
class CrashingPartChecker {
 public:
  CrashingPartChecker(ViolationLog& log, CrashingPartBounds bounds) : log_(log), bounds_(bounds) {}

  /// Records that the part crashes servers from now on.
  void Begin(common::Time now) { began_at_ = now; }
  void OnCrash(common::Time now) { crashes_.push_back(now); }
  /// Records that a request with the part reached a server.
  /// \param in_touch  no fault affected the entry in the contact period before
  void OnArrival(common::Time now, bool in_touch);
  /// Records the result of a sound request with the same first part.
  void OnSoundCall(common::Time sent_at, bool served);
  /// Ends the period in which the part crashes servers, and checks its calls.
  void End(common::Time now);

  [[nodiscard]] std::size_t crashes() const noexcept { return crashes_.size(); }
  [[nodiscard]] std::size_t arrivals_after_bound() const noexcept { return late_arrivals_; }

 private:
  struct SoundCall {
    common::Time sent_at;
    bool served = false;
  };
  struct Share {
    std::size_t calls = 0;
    std::size_t served = 0;
  };

  [[nodiscard]] Share ShareBetween(common::Time from, common::Time to) const;

  ViolationLog& log_;
  CrashingPartBounds bounds_;
  std::optional<common::Time> began_at_;
  std::vector<common::Time> crashes_;
  std::vector<SoundCall> calls_;
  std::size_t arrivals_ = 0;
  std::size_t late_arrivals_ = 0;
};

}  // namespace briarwood::soak
