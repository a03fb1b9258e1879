#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "briarwood/http/message.h"

namespace briarwood::http {

struct ClientOptions {
  /// "http://ip:port" or "https://ip:port".
  std::string base_url;
  /// Maximum time without data from the server, and maximum time to connect.
  std::chrono::milliseconds timeout{30'000};
  /// CA file for https; empty means the CA certificates of the system.
  std::string ca_file;
};

/// Result of a call.
struct CallOutcome {
  /// The response was received completely. If false, the received body may be truncated.
  bool complete = false;
  /// True if it is certain that no byte of the request reached the server.
  bool certainly_not_sent = false;
  bool cancelled = false;
  std::string message;
};

/// Callbacks of one call, in this order: on_head at most once, on_data any number of times, on_end
/// once. They run one at a time on threads of the HTTP library and must not block.
struct CallHandlers {
  std::function<void(std::uint16_t status, const Headers& headers)> on_head;
  std::function<void(std::string_view data)> on_data;
  std::function<void(const CallOutcome& outcome)> on_end;
};

/// Handle of a call in progress.
class Call {
 public:
  virtual ~Call() = default;

  /// Closes the connection; on_end is still called.
  virtual void Cancel() = 0;
};

/// HTTP client for one server. Thread-safe.
///
/// Sends each request at most once. The HTTP library sends a POST again when a reused connection is
/// closed without a response; to prevent this, bodies are passed as streams that cannot be rewound.
class Client {
 public:
  explicit Client(ClientOptions options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts a call and returns immediately.
  std::shared_ptr<Call> Send(const std::string& method, const std::string& path_and_query,
                             const Headers& headers, std::string body, CallHandlers handlers);

  /// Like Send, but over a new connection, for requests that must not fail because the server has
  /// closed a pooled connection.
  std::shared_ptr<Call> SendOnNewConnection(const std::string& method,
                                            const std::string& path_and_query,
                                            const Headers& headers, std::string body,
                                            CallHandlers handlers);

  /// Sends a request and blocks until the response is complete; throws HttpError if the call fails.
  /// Must not be called on threads of the HTTP library.
  [[nodiscard]] Response SendAndWait(const std::string& method, const std::string& path_and_query,
                                     const Headers& headers, std::string body);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::http
