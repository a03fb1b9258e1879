#pragma once

#include <cstdint>
#include <string>

#include "briarwood/common/digest.h"
#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

/// What a request needs from a backend server. Empty fields match any value.
struct Capability {
  /// Model of an engine; empty for a plain service.
  common::ModelId model;
  std::string adapter;
  std::string model_version;
  /// Name of a plain service; empty for an engine.
  std::string service;

  // The check takes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Capability&, const Capability&) = default;
};

/// Request in the queue of an entry.
struct QueuedRequest {
  common::RequestId id;
  common::ClassId class_id;
  common::CustomerId customer;
  Capability capability;
  /// Hash of the start of the prompt, 0 when the request has none.
  std::uint64_t prefix_hash = 0;
  common::Digest128 fingerprint;
  common::Time enqueued_at;
  /// Latest time at which the first token is on time. The scheduler sets it from the class when it
  /// is the epoch.
  common::Time first_token_deadline;
  /// End of the whole request. The scheduler sets it from the class when it is the epoch.
  common::Time deadline;
  std::uint64_t input_tokens = 0;
  /// Estimate of the output tokens that are still to come.
  double expected_output_tokens = 0;
  /// Output tokens that the caller already has.
  std::uint64_t resume_from = 0;
  /// Load that the request puts on a backend server until its first token, relative to a request
  /// that only generates.
  double work = 1;
  /// Times the request was preempted or lost its backend server.
  std::uint32_t interruptions = 0;
  /// Runs only on an empty backend server.
  bool alone = false;
  /// Backend server that failed the request and is not to be used again.
  common::BackendServerId avoid;
};

}  // namespace briarwood::routing
