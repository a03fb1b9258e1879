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

/// Part of a prompt. Requests may share all parts but the last, which belongs to one request.
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;
};

/// Contents of the header of a caller's request.
struct RequestFacts {
  /// Id that the caller assigned to this request; empty if there is none.
  std::string id;
  /// Time for which the caller waits.
  std::optional<std::chrono::milliseconds> time_left;
  /// Key of the caller; empty if there is none.
  std::string key;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  /// The caller's estimate of the number of output tokens.
  std::optional<std::uint64_t> expected_output_tokens;
  std::vector<PromptPart> prompt_parts;
  /// Last event of the stream that the caller already has.
  std::optional<std::uint64_t> last_event;
};

/// Header contents that the router adds to a forwarded request.
struct ForwardedFacts {
  /// Intended receiver; any other backend server rejects the request.
  common::BackendServerId backend_server;
  /// Owner of the caller's key; empty on open routes.
  common::CustomerId customer;
  std::chrono::milliseconds time_left{0};
  common::Tier tier;
  /// Last event of the stream that the caller already has.
  std::optional<std::uint64_t> last_event;
};

/// Load as a backend server reports it.
struct StatedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// Contents of the header of a backend server's response.
struct ResponseFacts {
  /// Id of the request that the response belongs to; empty if the response names none.
  std::string request_id;
  /// The response carries a signature, which proves that the backend server produced it.
  bool has_receipt = false;
  /// The backend server reports that it has not run the request and will not run it.
  bool not_executed = false;
  /// The address belongs to a backend server other than the intended one.
  bool other_backend = false;
  std::optional<StatedLoad> load;
};

/// Reads and writes the header fields of a platform. Makes no routing decisions.
struct WireCodec {
  std::function<RequestFacts(const http::RequestHead& head)> read_request;
  /// Turns a caller's header into that of the forwarded request: removes the key and every field
  /// that only the router may set, and adds `facts`.
  std::function<void(http::RequestHead& head, const ForwardedFacts& facts)> prepare_request;
  std::function<ResponseFacts(const http::ResponseHead& head)> read_response;
  /// Formats a delay as the value of Retry-After.
  std::function<std::string(std::chrono::milliseconds delay)> format_retry_after;
  /// Path of the readiness check for load balancers.
  std::string ready_path;
};

}  // namespace briarwood::forwarding
