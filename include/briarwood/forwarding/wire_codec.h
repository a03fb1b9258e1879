#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/http/heads.h"

namespace briarwood::forwarding {

/// Part of a prompt that requests share; the last part is the request's own.
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;
};

/// What the header of a caller's request says.
struct RequestFacts {
  /// Id that the caller gave this request; empty when there is none.
  std::string id;
  /// Time for which the caller waits.
  std::optional<std::chrono::milliseconds> time_left;
  /// Key of the caller; empty when there is none.
  std::string key;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  /// The caller's estimate of its output tokens.
  std::optional<std::uint64_t> expected_output_tokens;
  std::vector<PromptPart> prompt_parts;
  /// Last event of the stream that the caller already has.
  std::optional<std::uint64_t> last_event;
};

/// What a forwarded request says besides what the caller sent.
struct ForwardedFacts {
  /// Any other backend server refuses the request.
  common::BackendServerId backend_server;
  /// Owner of the caller's key; empty on open routes.
  common::CustomerId customer;
  std::chrono::milliseconds time_left{0};
  common::Tier tier;
  /// Last event of the stream that the caller already has.
  std::optional<std::uint64_t> last_event;
};

/// Load as a backend server states it.
struct StatedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// What the header of a backend server's response says.
struct ResponseFacts {
  /// Id of the request that is answered; empty when the response names none.
  std::string request_id;
  /// The response carries the proof that the backend server made it.
  bool has_receipt = false;
  /// The backend server states that it has not run the request and will not run it.
  bool not_executed = false;
  /// The address belongs to another backend server than the one that was meant.
  bool other_backend = false;
  std::optional<StatedLoad> load;
};

/// Reads and writes what a platform's headers say; it decides nothing.
struct WireCodec {
  std::function<RequestFacts(const http::RequestHead& head)> read_request;
  /// Turns a caller's header into that of the forwarded request: removes the key and every field
  /// that only the router may set, and adds the facts.
  std::function<void(http::RequestHead& head, const ForwardedFacts& facts)> prepare_request;
  std::function<ResponseFacts(const http::ResponseHead& head)> read_response;
  /// Value of Retry-After for a pause.
  std::function<std::string(std::chrono::milliseconds pause)> format_retry_after;
  /// Path at which a load balancer asks whether the entry takes connections.
  std::string ready_path;
};

}  // namespace briarwood::forwarding
