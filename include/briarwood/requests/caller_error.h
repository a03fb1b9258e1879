#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarwood/common/ids.h"
#include "fleet.pb.h"

namespace briarwood::requests {

/// Reasons for which a caller receives an error instead of an answer.
enum class CallerErrorCode : std::uint8_t {
  kInvalidRequest,
  kKeyInRequest,
  kCustomerInHeader,
  kKeyUnknown,
  kKeyWithdrawn,
  kKeysStale,
  kClassNotAllowed,
  kModelNotFound,
  kRouteNotFound,
  kMethodNotAllowed,
  kBodyTooLarge,
  kIdempotencyKeyMissing,
  kIdempotencyConflict,
  kIdempotencyKeyExpired,
  kStillRunning,
  kOutcomeUnknown,
  kAnswerNotKept,
  kRequestCrashesEngines,
  kRateLimited,
  kOverloaded,
  kDeadlineExceeded,
  kControlUnavailable,
  kNoBackend,
  kBackendFailed,
  kStopping,
};

inline constexpr std::size_t kCallerErrorCodeCount =
    static_cast<std::size_t>(CallerErrorCode::kStopping) + 1;

/// \returns the code as sent to the caller, such as "keys_stale".
[[nodiscard]] std::string_view CodeName(CallerErrorCode code) noexcept;

/// \returns the HTTP status of the code.
[[nodiscard]] std::uint16_t HttpStatus(CallerErrorCode code) noexcept;

/// \returns "not_run", "unknown" or "ran".
[[nodiscard]] std::string_view RunName(schema::RunState run) noexcept;

/// Error for the caller of one request.
struct CallerError {
  CallerErrorCode code = CallerErrorCode::kInvalidRequest;
  std::string message;
  schema::RunState run = schema::RUN_STATE_NOT_RUN;
  std::optional<std::chrono::seconds> retry_after;
};

/// \returns `{"error":{"code","message","run","request_id"}}`.
[[nodiscard]] std::string ToJson(const CallerError& error, const common::RequestId& request);

}  // namespace briarwood::requests
