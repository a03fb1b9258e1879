#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/requests/caller_error.h"
#include "control.pb.h"

namespace briarwood::requests {

struct Header {
  std::string name;
  std::string value;
};

/// HTTP request of a caller, without its connection.
struct CallerHttpRequest {
  std::string method;
  /// Decoded path without query.
  std::string path;
  std::string query;
  std::vector<Header> headers;
  std::string body;
};

enum class CompletionKind : std::uint8_t { kChat, kText };

/// Parsed body of /v1/chat/completions or /v1/completions.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  common::ModelId model;
  /// Empty if the caller names none; then the customer's default class applies.
  common::ClassId request_class;
  bool streamed = false;
  /// 0 if the caller sets no limit.
  std::uint64_t max_tokens = 0;
  /// Text of all messages or of the prompt, for prefix hashing and length estimates.
  std::string prompt;
  /// Body for the engine: the caller's fields without `user`, `stream` and Briarwood's own.
  std::string engine_body;
};

/// \returns the value of the first header with this name, ignoring case, or an empty string.
[[nodiscard]] std::string_view FindHeader(const std::vector<Header>& headers,
                                          std::string_view name) noexcept;

/// \returns the key of `Authorization: Bearer <key>`, or an error: kKeyUnknown if the key is
/// missing, kKeyInRequest if path, query, body or a forwarded header contains it, kCustomerInHeader
/// if the caller names a customer.
[[nodiscard]] common::Result<std::string, CallerError> ExtractKey(const CallerHttpRequest& request);

/// \returns the parsed body, or a kInvalidRequest error that describes the invalid field.
[[nodiscard]] common::Result<CompletionRequest, CallerError> ParseCompletion(CompletionKind kind,
                                                                             std::string_view body);

/// \returns the headers that may be forwarded to a backend server: content-type and accept.
[[nodiscard]] std::vector<Header> ForwardedHeaders(const std::vector<Header>& headers);

/// \returns the fingerprint that identifies a request that crashes engines.
[[nodiscard]] schema::Fingerprint MakeFingerprint(const common::CustomerId& customer,
                                                  std::string_view model_or_route,
                                                  std::string_view body);

/// \returns the id of the fingerprint's ROW_KIND_SUSPECT row: 32 hexadecimal digits, high half
/// first.
[[nodiscard]] std::string ToRowId(const schema::Fingerprint& fingerprint);

/// \returns the raw SHA-256 by which a claim distinguishes a resend from another request.
[[nodiscard]] std::string RequestDigest(std::string_view method, std::string_view path,
                                        std::string_view body);

}  // namespace briarwood::requests
