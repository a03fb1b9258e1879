#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "briarwood/common/result.h"

namespace briarwood::http {

/// Failure of the HTTP layer.
class HttpError : public common::Error {
 public:
  using Error::Error;
};

/// Orders header names case-insensitively.
struct HeaderNameLess {
  using is_transparent = void;
  [[nodiscard]] bool operator()(std::string_view left, std::string_view right) const noexcept;
};

/// Header fields by name; fields that occur more than once are joined with ", ".
using Headers = std::map<std::string, std::string, HeaderNameLess>;

/// \returns the value of `name`, or an empty string.
[[nodiscard]] std::string FindHeader(const Headers& headers, std::string_view name);

/// Request as received by a server.
struct Request {
  std::string method;
  /// Path as sent, percent-encoded, without the query.
  std::string path;
  /// Query as sent, without the question mark.
  std::string query;
  Headers headers;
  std::string body;
  /// IP address of the caller.
  std::string remote_address;
};

/// Complete response.
struct Response {
  std::uint16_t status = 200;
  Headers headers;
  std::string body;
};

/// Status codes used by several layers.
enum class Status : std::uint16_t {
  kOk = 200,
  kBadRequest = 400,
  kUnauthorized = 401,
  kForbidden = 403,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kConflict = 409,
  kPayloadTooLarge = 413,
  kUnprocessable = 422,
  kTooManyRequests = 429,
  kInternalError = 500,
  kBadGateway = 502,
  kUnavailable = 503,
  kGatewayTimeout = 504,
};

[[nodiscard]] constexpr std::uint16_t ToNumber(Status status) noexcept {
  return static_cast<std::uint16_t>(status);
}

}  // namespace briarwood::http
