#pragma once

#include <optional>
#include <string>

#include "briarwood/http/message.h"
#include "briarwood/http/server.h"

namespace briarwood::http {

/// Reason to reject a request before it reaches the handler.
struct RequestProblem {
  Status status = Status::kBadRequest;
  std::string code;
  std::string message;
};

/// Rejects what the HTTP library accepts: headers over the limit, Content-Length values that
/// differ, are negative or are combined with a Transfer-Encoding, and declared bodies over the
/// limit.
[[nodiscard]] std::optional<RequestProblem> CheckHead(const Request& request,
                                                      const ServerOptions& options);

/// Checks the received body against the limit and the declared length.
[[nodiscard]] std::optional<RequestProblem> CheckBody(const Request& request,
                                                      const ServerOptions& options);

[[nodiscard]] RequestProblem TooManyInFlight();
[[nodiscard]] RequestProblem IncompleteBody();

/// \returns the body of the error response to the caller.
[[nodiscard]] std::string ToJson(const RequestProblem& problem);

}  // namespace briarwood::http
