#include "http/impl/request_checks.h"

#include <charconv>
#include <cstdint>

namespace briarwood::http {
namespace {

constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";

RequestProblem Invalid(std::string message) {
  return {.status = Status::kBadRequest, .code = "invalid_request", .message = std::move(message)};
}

RequestProblem TooLarge(const ServerOptions& options) {
  return {
      .status = Status::kPayloadTooLarge,
      .code = "body_too_large",
      .message = "the body is larger than " + std::to_string(options.max_body_bytes) + " bytes"};
}

std::size_t HeaderBytes(const Request& request) {
  std::size_t bytes = request.path.size() + request.query.size();
  for (const auto& [name, value] : request.headers) bytes += name.size() + value.size();
  return bytes;
}

/// \returns the declared length, or nothing when there is none; sets `valid` to false for text that
/// is not a single decimal number.
std::optional<std::uint64_t> DeclaredLength(const Request& request, bool& valid) {
  const auto header = request.headers.find(kContentLength);
  valid = true;
  if (header == request.headers.end()) return std::nullopt;
  const std::string& text = header->second;
  std::uint64_t length = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  valid = error == std::errc() && rest == text.data() + text.size();
  return length;
}

}  // namespace

std::optional<RequestProblem> CheckHead(const Request& request, const ServerOptions& options) {
  if (HeaderBytes(request) > options.max_header_bytes) {
    return Invalid("path and headers are larger than " + std::to_string(options.max_header_bytes) +
                   " bytes");
  }
  bool valid = true;
  const std::optional<std::uint64_t> length = DeclaredLength(request, valid);
  if (!valid) return Invalid("Content-Length is not a single decimal number");
  if (length && request.headers.contains(kTransferEncoding)) {
    return Invalid("Content-Length and Transfer-Encoding exclude each other");
  }
  if (length && *length > options.max_body_bytes) return TooLarge(options);
  return std::nullopt;
}

std::optional<RequestProblem> CheckBody(const Request& request, const ServerOptions& options) {
  if (request.body.size() > options.max_body_bytes) return TooLarge(options);
  bool valid = true;
  const std::optional<std::uint64_t> length = DeclaredLength(request, valid);
  if (length && *length != request.body.size()) return IncompleteBody();
  return std::nullopt;
}

RequestProblem TooManyInFlight() {
  return {.status = Status::kUnavailable,
          .code = "overloaded",
          .message = "too many requests are in flight at this process"};
}

RequestProblem IncompleteBody() { return Invalid("the body is shorter than declared"); }

std::string ToJson(const RequestProblem& problem) {
  return R"({"error":{"code":")" + problem.code + R"(","message":")" + problem.message +
         R"(","run":"not_run"}})";
}

}  // namespace briarwood::http
