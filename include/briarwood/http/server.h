#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/http/message.h"

namespace briarwood::http {

/// Request that awaits its response. Thread-safe; no call blocks.
///
/// The first call of Respond or StartStream takes effect; later ones are ignored. An exchange that
/// is destroyed without a response is answered with status 500.
class Exchange {
 public:
  virtual ~Exchange() = default;

  [[nodiscard]] virtual const Request& request() const noexcept = 0;

  /// Sends a complete response.
  virtual void Respond(Response response) = 0;

  /// Sends status and header fields; the body follows in pieces as they are written.
  virtual void StartStream(std::uint16_t status, Headers headers) = 0;

  /// Writes a piece of the body immediately.
  /// \returns false if the caller is known to be disconnected or the stream has ended.
  virtual bool Write(std::string_view piece) = 0;

  /// Marks the body as complete.
  virtual void End() = 0;

  /// Closes the connection without marking the end of the body, so that the caller does not treat
  /// it as complete.
  virtual void Abort() = 0;

  /// Calls `callback` once when the response has been sent (`delivered` is true) or the connection
  /// has failed (`delivered` is false); immediately if that has already happened.
  virtual void OnFinished(std::function<void(bool delivered)> callback) = 0;

  /// Number of bytes written but not yet taken by the connection.
  [[nodiscard]] virtual std::size_t buffered_bytes() const noexcept = 0;
};

struct ServerOptions {
  /// "ip:port"; port 0 picks a free one.
  std::string listen;
  /// PEM files, read again for each connection so that they can be replaced at run time; empty
  /// means plain text.
  std::string certificate_file;
  std::string private_key_file;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t max_header_bytes = std::size_t{64} * 1024;
  /// Further requests are rejected with status 503 before they are executed.
  std::size_t max_in_flight = 10'000;
};

/// HTTP/1.1 server.
class Server {
 public:
  /// Called on a thread of the shared, fixed-size pool of the HTTP library; must not block.
  using Handler = std::function<void(std::shared_ptr<Exchange> exchange)>;

  /// \returns the running server, or an error that describes why the address cannot be used.
  static common::Result<std::unique_ptr<Server>> Start(const ServerOptions& options,
                                                       const Handler& handler);

  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;

  /// Requests whose response has not ended.
  [[nodiscard]] std::size_t in_flight() const noexcept;

  /// Waits until no request is in flight.
  /// \returns false if `timeout` expired first.
  [[nodiscard]] bool WaitIdle(std::chrono::milliseconds timeout) const;

  /// Closes the listener and aborts the responses in flight; for a graceful stop, call WaitIdle
  /// first. Called by the destructor.
  void Close();

 private:
  class Impl;
  explicit Server(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::http
