#include "briarwood/requests/caller_error.h"

#include <array>

#include "requests/impl/json.h"

namespace briarwood::requests {
namespace {

struct CodeInfo {
  std::string_view name;
  std::uint16_t status;
};

// In the order of CallerErrorCode.
constexpr std::array<CodeInfo, kCallerErrorCodeCount> kCodes = {{
    {"invalid_request", 400},
    {"key_in_request", 400},
    {"customer_in_header", 400},
    {"key_unknown", 401},
    {"key_withdrawn", 401},
    {"keys_stale", 503},
    {"class_not_allowed", 403},
    {"model_not_found", 404},
    {"route_not_found", 404},
    {"method_not_allowed", 405},
    {"body_too_large", 413},
    {"idempotency_key_missing", 400},
    {"idempotency_conflict", 422},
    {"idempotency_key_expired", 422},
    {"still_running", 409},
    {"outcome_unknown", 409},
    {"answer_not_kept", 409},
    {"request_crashes_engines", 422},
    {"rate_limited", 429},
    {"overloaded", 503},
    {"deadline_exceeded", 504},
    {"control_unavailable", 503},
    {"no_backend", 503},
    {"backend_failed", 502},
    {"stopping", 503},
}};

const CodeInfo& Info(CallerErrorCode code) noexcept {
  return kCodes.at(static_cast<std::size_t>(code));
}

}  // namespace

std::string_view CodeName(CallerErrorCode code) noexcept { return Info(code).name; }

std::uint16_t HttpStatus(CallerErrorCode code) noexcept { return Info(code).status; }

std::string_view RunName(schema::RunState run) noexcept {
  if (run == schema::RUN_STATE_NOT_RUN) return "not_run";
  if (run == schema::RUN_STATE_RAN) return "ran";
  return "unknown";
}

std::string ToJson(const CallerError& error, const common::RequestId& request) {
  Json::Value body;
  Json::Value& inner = body["error"];
  inner["code"] = std::string(CodeName(error.code));
  inner["message"] = error.message;
  inner["run"] = std::string(RunName(error.run));
  inner["request_id"] = request.value();
  return impl::WriteJson(body);
}

}  // namespace briarwood::requests
