#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "briarwood/common/time.h"
#include "briarwood/http/outgoing.h"

/// Limits, statuses and names that the files of Exchange share.
namespace briarwood::forwarding::impl {

using std::chrono::milliseconds;

/// A request may be queued until the route's target for the first event or, if that is longer, for
/// this share of the time from its arrival to its deadline; before a retry, for this share of the
/// time that is left.
inline constexpr double kMaxQueueShare = 0.35;
/// A new stream is queued for at most this multiple of the target for its first event. Callers of
/// long streams give up after a few targets, long before their time is over.
inline constexpr int kMaxQueueTargets = 3;
/// Attempts of one request, including those that were rejected without being run.
inline constexpr std::uint32_t kMaxAttempts = 4;
/// Interval between attempts after kMaxAttempts, and until the retry budget allows one, for a
/// request whose response has started. Crashed servers refuse connections and stay on the list for
/// some seconds, and all servers of a service may be full for a moment.
inline constexpr milliseconds kMinRetryInterval{50};
inline constexpr milliseconds kMaxRetryInterval{400};
/// Time that must be left before the deadline for a retry.
inline constexpr milliseconds kMinTimeLeft{20};
/// Limit on one event of a stream.
inline constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;

/// Weight of a first event as an indication of load, relative to that of a gap between events.
inline constexpr double kFirstEventWeight = 4;

inline constexpr std::uint16_t kUnauthorized = 401;
inline constexpr std::uint16_t kNotFound = 404;
inline constexpr std::uint16_t kMisdirected = 421;
inline constexpr std::uint16_t kBadGateway = 502;
inline constexpr std::uint16_t kUnavailable = 503;
inline constexpr std::uint16_t kGatewayTimeout = 504;

inline bool IsSuccess(std::uint16_t status) { return status >= 200 && status < 300; }
inline bool IsServerError(std::uint16_t status) { return status >= 500; }

inline std::int64_t Millis(common::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

[[nodiscard]] std::string_view NameOf(http::CallEnd end);

/// \returns the media type of a response without its parameters, in lower case; empty if it names
///   none.
[[nodiscard]] std::string MediaTypeOf(const http::ResponseHead& head);

}  // namespace briarwood::forwarding::impl
