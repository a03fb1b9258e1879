#pragma once

#include <cstdint>
#include <functional>

#include "briarwood/common/time.h"
#include "briarwood/routing/request.h"

namespace briarwood::policy_sim {

enum class RequestState : std::uint8_t { kOpen, kComplete, kFailed };

/// Request over all its attempts, including data that is not visible to the policy.
struct SimRequest {
  routing::QueuedRequest queued;
  std::uint32_t entry = 0;
  std::uint32_t class_index = 0;
  std::uint32_t customer_index = 0;
  std::uint32_t tier = 0;
  common::Time arrived_at;
  std::uint64_t input_tokens = 0;
  std::uint64_t prefix_tokens = 0;
  std::uint64_t output_tokens = 0;
  bool poison = false;
  /// Has been granted the only trial of the fleet.
  bool trial = false;
  std::function<void(RequestState)> on_closed;

  RequestState state = RequestState::kOpen;
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  std::uint32_t preemptions = 0;
  std::uint64_t delivered = 0;
  common::Time attempt_started_at;
  common::Time first_token_at;
  common::Time last_token_at;
  /// Engine work of all attempts, in tokens.
  double prefilled = 0;
  double first_prefill = 0;
  std::uint64_t produced = 0;
  /// Changes whenever an attempt starts or ends, so that events of previous attempts are ignored.
  std::uint32_t attempt = 0;
};

}  // namespace briarwood::policy_sim
