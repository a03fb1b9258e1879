#pragma once

#include <google/protobuf/message.h>

#include <chrono>
#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin.pb.h"
#include "briarwood/http/client.h"
#include "cli/impl/ctl_options.h"

namespace briarwood::cli::impl {

/// Response of the administration API.
struct AdminReply {
  std::uint16_t status = 0;
  std::string body;
};

/// Calls the administration API of one of several members. All calls are idempotent, because
/// changes carry a version or an operation id. A call without a response is therefore retried
/// unchanged, each time at the next member, until it is answered or the timeout has passed.
class AdminClient {
 public:
  /// \param err  receives one line for each distinct reason for a retry
  AdminClient(const CtlOptions& options, std::ostream& err);

  /// \returns the body of a successful response; throws CtlError otherwise.
  [[nodiscard]] std::string Call(const std::string& method, const std::string& path,
                                 const std::string& body = {});

  /// Sends `request` and parses the response into `response`.
  /// \returns the JSON of the response.
  std::string Call(const std::string& method, const std::string& path,
                   const google::protobuf::Message* request, google::protobuf::Message& response);

 private:
  /// \returns nothing if the member did not respond or is unavailable; `problem` then has the
  /// reason.
  [[nodiscard]] std::optional<AdminReply> CallOnce(const std::string& method,
                                                   const std::string& path, const std::string& body,
                                                   std::string& problem);

  std::vector<std::string> urls_;
  std::vector<std::unique_ptr<http::Client>> members_;
  std::size_t current_ = 0;
  http::Headers headers_;
  std::chrono::milliseconds timeout_;
  std::ostream& err_;
};

/// \returns the message as one line of JSON; throws CtlError if a string is not valid UTF-8.
[[nodiscard]] std::string ToJson(const google::protobuf::Message& message);

/// \returns `text` percent-encoded for a path segment or query value.
[[nodiscard]] std::string EncodeUrl(const std::string& text);

}  // namespace briarwood::cli::impl
