#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/http/heads.h"
#include "briarwood/routing/server_statement.h"

namespace briarwood::forwarding {

/// Part of a prompt. Requests may share all parts but the last, which belongs to one request.
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;
};

/// Values from the header of a caller's request.
struct RequestMetadata {
  /// Id that the caller assigned to this request; empty if there is none.
  std::string id;
  /// Time limit of the caller, counted from the arrival of the request. The timeout of the route
  /// applies if it is shorter or if there is no limit.
  std::optional<std::chrono::milliseconds> time_left;
  /// Key of the caller; empty if there is none.
  std::string key;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  /// The caller's estimate of the number of output tokens.
  std::optional<std::uint64_t> expected_output_tokens;
  std::vector<PromptPart> prompt_parts;
  /// Id of the last event that the caller has received, if it resumes a stream.
  std::optional<std::uint64_t> last_event_id;
  /// Id of the caller's request that brought the first event of the stream that it resumes; empty
  /// if the caller names none.
  std::string resumed_request;
};

/// Values that the entry adds to the header of a forwarded request.
struct ForwardedMetadata {
  /// Intended receiver; any other backend server rejects the request.
  common::BackendServerId backend_server;
  /// Owner of the caller's key; empty if the key is absent or unknown, which is allowed on open
  /// routes and while no customers are configured.
  common::CustomerId customer;
  /// Time from the start of the attempt until the deadline of the request.
  std::chrono::milliseconds time_left{0};
  common::Tier tier;
  /// Id of the last event that has been delivered to the caller; the stream resumes after it.
  std::optional<std::uint64_t> last_event_id;
};

/// Load as a backend server reports it.
struct ReportedLoad {
  std::uint32_t running = 0;
  /// Waiting requests, which `running` does not include.
  std::uint32_t waiting = 0;
  /// Capacity: number of requests that the backend server can run at the same time.
  std::uint32_t slots = 0;
  /// How long work takes now, relative to the usual time, if the backend server reports it.
  std::optional<double> slowness;
};

/// Values from the header of a backend server's response.
struct ResponseMetadata {
  /// Id of the request that the response belongs to; empty if the response names none.
  std::string request_id;
  /// The response carries a signature, which shows that the backend server produced it. Only its
  /// presence is checked.
  bool has_signature = false;
  /// The backend server reports that it has not run the request and will not run it.
  bool not_executed = false;
  /// The address belongs to a backend server other than the intended one.
  bool is_misdirected = false;
  std::optional<ReportedLoad> load;
  routing::ServerStatement statement;
};

/// Reads and writes the header fields of a platform. Makes no routing decisions.
struct WireCodec {
  std::function<RequestMetadata(const http::RequestHead& head)> read_request;
  /// Turns a caller's header into that of the forwarded request: removes the key and every field
  /// that only the entry may set, and adds `facts`.
  std::function<void(http::RequestHead& head, const ForwardedMetadata& facts)> prepare_request;
  std::function<ResponseMetadata(const http::ResponseHead& head)> read_response;
  /// Formats a delay, which may be as short as 10 ms, as the value of Retry-After in the unit and
  /// precision that the platform defines.
  std::function<std::string(std::chrono::milliseconds delay)> format_retry_after;
  /// Path of the readiness check for load balancers.
  std::string ready_path;
};

}  // namespace briarwood::forwarding
