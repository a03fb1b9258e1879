#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "briarwood/common/digest.h"
#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/memory_cost.h"

namespace briarwood::routing {

/// Capability that a request requires of its backend server. An empty adapter or model version
/// matches any.
struct Capability {
  /// Model of an engine; empty for a plain service.
  common::ModelId model;
  std::string adapter;
  std::string model_version;
  /// Name of a plain service; empty for an engine.
  std::string service;
  /// Version of the server's software, which a stream that has begun requires. A server that states
  /// none has the empty version, which equals no other.
  std::optional<std::string> software_version;

  // False positive: the check mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Capability&, const Capability&) = default;
};

/// Request in the queue of an entry.
struct QueuedRequest {
  common::RequestId id;
  common::ClassId class_id;
  common::CustomerId customer;
  Capability capability;
  /// Hash of the start of the prompt; 0 if there is none.
  std::uint64_t prefix_hash = 0;
  /// Hash of the customer, the model or route, and the body. Identifies the request in
  /// SuspectTable.
  common::Digest128 fingerprint;
  common::Time enqueued_at;
  /// Latest time for the first token. If it is the epoch, the scheduler sets it from the class.
  common::Time first_token_deadline;
  /// Latest time for the end of the request. If it is the epoch, the scheduler sets it from the
  /// class.
  common::Time deadline;
  std::uint64_t input_tokens = 0;
  /// Estimated number of remaining output tokens.
  double expected_output_tokens = 0;
  /// Number of output tokens that the caller has already received.
  std::uint64_t resume_from = 0;
  /// Work that the request causes at a backend server until its first token, relative to a request
  /// in its decode phase. The load of a server is the work of its requests relative to its
  /// capacity.
  double work = 1;
  /// Memory that the request occupies at an engine.
  MemoryCost memory;
  /// Target for the gap between the events of the response; 0 if there is none.
  std::chrono::milliseconds gap_target{0};
  /// Target for the first event of a request whose prompt an engine has to read; 0 for others.
  common::Duration prompt_target{};
  /// Number of attempts that were preempted or whose backend server failed.
  std::uint32_t interruptions = 0;
  /// Runs only on an empty backend server.
  bool alone = false;
  /// Backend server on which an attempt failed; it must not be chosen again.
  common::BackendServerId avoid;
};

}  // namespace briarwood::routing
