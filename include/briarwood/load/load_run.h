#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/load/latency_histogram.h"
#include "briarwood/load/process_usage.h"

namespace briarwood::load {

/// Kind of request that a run sends.
enum class RequestKind : std::uint8_t {
  /// POST /v1/completions, streamed.
  kStream,
  /// POST to the path of a plain service, with a unique idempotency key.
  kCall,
};

struct LoadOptions {
  /// Base URLs, used in round-robin order.
  std::vector<std::string> targets;
  RequestKind kind = RequestKind::kStream;
  /// Path for kCall.
  std::string path;
  /// Caller's key; if empty, none is sent, as engines need none.
  std::string key;
  std::string model;
  std::string request_class;
  double rate_per_second = 10;
  /// Maximum number of arrivals; there are none after `duration`.
  std::uint64_t max_requests = 1000;
  std::chrono::milliseconds duration{10'000};
  /// While this many requests are in flight, arrivals are counted but not sent.
  std::uint64_t max_in_flight = 2000;
  std::uint64_t max_tokens = 32;
  std::uint64_t prompt_words = 32;
  /// Maximum time without data from the server.
  std::chrono::milliseconds timeout{30'000};
  std::uint64_t seed = 1;
  /// Processes whose memory and CPU usage is reported.
  std::vector<pid_t> watched;
};

struct WatchedProcess {
  pid_t pid = 0;
  ProcessUsage at_start;
  ProcessUsage at_end;
};

struct LoadReport {
  std::uint64_t sent = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t tokens = 0;
  std::chrono::microseconds elapsed{0};
  /// Time from the planned arrival to the first token, or to the end of the response to a call.
  LatencyHistogram first_token;
  LatencyHistogram token_gap;
  /// Number of failed requests by error code, HTTP status or kind of connection failure.
  std::map<std::string, std::uint64_t> errors;
  std::vector<WatchedProcess> watched;
};

/// Sends the requests and waits until the last one has ended; blocks.
/// \returns the report, or an error that describes the invalid option.
common::Result<LoadReport> RunLoad(const LoadOptions& options);

/// \returns the report as lines of text.
[[nodiscard]] std::string ToText(const LoadReport& report);

/// \returns the report as one JSON object, with latencies in microseconds.
[[nodiscard]] std::string ToJson(const LoadReport& report);

}  // namespace briarwood::load
