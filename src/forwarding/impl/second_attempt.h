#pragma once

#include <cstdint>
#include <optional>

#include "briarwood/common/time.h"

namespace briarwood::forwarding::impl {

/// State of the second attempt of one request.
struct SecondAttempt {
  /// How the pair of a first and a second attempt has ended.
  enum class Outcome : std::uint8_t {
    /// The second attempt was answered first.
    kWon,
    /// The first attempt was answered first, or the second one failed.
    kLost,
    /// The first attempt failed, and the second one goes on.
    kFirstFailed,
    /// The request has ended.
    kCancelled,
  };

  common::Time first_sent_at;
  /// Time of the second attempt, until it is started or given up.
  std::optional<common::Time> due_at;
  std::optional<common::Time> started_at;
  /// Both attempts are open.
  bool open = false;
};

}  // namespace briarwood::forwarding::impl
