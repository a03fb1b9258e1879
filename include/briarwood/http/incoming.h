#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/heads.h"

namespace briarwood::http {

/// What a peer may send, and how long it may take.
struct IncomingLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  /// From the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{3000};
  /// Between two requests, and for the body of one.
  std::chrono::milliseconds idle_timeout{15'000};
};

/// One request that an IncomingServer received and that waits for its response. All calls belong to
/// the thread of the event loop; none blocks.
///
/// Exactly one of Respond and StartStream starts the response; later starts are ignored. A request
/// that is dropped without a response is answered with status 500.
class IncomingRequest {
 public:
  virtual ~IncomingRequest() = default;

  [[nodiscard]] virtual const RequestHead& head() const noexcept = 0;
  [[nodiscard]] virtual const std::shared_ptr<const std::string>& body() const noexcept = 0;
  [[nodiscard]] virtual common::Time arrived_at() const noexcept = 0;

  /// Sends a whole response.
  virtual void Respond(const ResponseHead& head, const std::string& body) = 0;
  /// Sends status and header, then the body in pieces as they are written.
  virtual void StartStream(const ResponseHead& head) = 0;
  virtual void Write(std::string_view piece) = 0;
  /// Marks the body as complete.
  virtual void EndStream() = 0;
  /// Closes the connection so that the peer cannot take the response for complete.
  virtual void Abort() = 0;
  /// Bytes written and not yet taken by the connection.
  [[nodiscard]] virtual std::size_t buffered_bytes() const noexcept = 0;
  /// Calls `callback` once if the peer closes the connection before the response has ended.
  virtual void OnGone(std::function<void()> callback) = 0;
};

struct IncomingOptions {
  /// "ip:port"; port 0 picks a free one.
  std::string listen;
  /// Asked for each request, so that a change takes effect on open connections.
  std::function<IncomingLimits()> limits = [] { return IncomingLimits{}; };
  /// Further connections replace the one that is idle for longest, or are closed unread.
  std::size_t max_connections = 2000;
};

/// HTTP/1.1 listener on one event loop. Belongs to the thread of the loop.
class IncomingServer {
 public:
  using Handler = std::function<void(std::shared_ptr<IncomingRequest> request)>;

  class Impl;

  /// \returns the running server, or a sentence why the address cannot be used.
  static common::Result<std::unique_ptr<IncomingServer>> Start(EventLoop& loop,
                                                               IncomingOptions options,
                                                               Handler handler);
  ~IncomingServer();
  IncomingServer(const IncomingServer&) = delete;
  IncomingServer& operator=(const IncomingServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::size_t connections() const noexcept;
  /// Requests whose response has not been handed to the kernel.
  [[nodiscard]] std::size_t in_flight() const noexcept;

  /// Asks peers to close: each further response says that the connection closes after it.
  void Retire();
  /// Closes the connections that wait for a request of which no byte has arrived.
  void CloseIdle();
  /// Takes no further connections.
  void StopAccepting();

 private:
  explicit IncomingServer(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

}  // namespace briarwood::http
