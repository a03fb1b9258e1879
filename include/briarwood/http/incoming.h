#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/heads.h"

namespace briarwood::http {

/// Limits on the size of requests and on the time to receive them.
struct IncomingLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  /// Maximum time from the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{3000};
  /// Maximum time between two requests, and maximum time to receive a body.
  std::chrono::milliseconds idle_timeout{15'000};
};

/// Why a connection closed before the response to its request had ended.
enum class DisconnectCause : std::uint8_t {
  /// The peer closed or reset the connection.
  kPeerClosed,
  /// The peer acknowledged no data in time, or the network reported that it is unreachable.
  kPeerUnreachable,
  /// This server closed the connection, because it was destroyed with the request in progress.
  kServerClosed,
};

/// Request that an IncomingServer received and that awaits its response. To be used only on the
/// thread of the event loop; no call blocks.
///
/// The first call of Respond or StartStream starts the response; later ones are ignored. A request
/// that is destroyed without a response is answered with status 500.
class IncomingRequest {
 public:
  virtual ~IncomingRequest() = default;

  [[nodiscard]] virtual const RequestHead& head() const noexcept = 0;
  [[nodiscard]] virtual const std::shared_ptr<const std::string>& body() const noexcept = 0;
  [[nodiscard]] virtual common::Time arrived_at() const noexcept = 0;

  /// Sends a complete response.
  virtual void Respond(const ResponseHead& head, const std::string& body) = 0;
  /// Sends status and header fields; the body follows in pieces as they are written.
  void StartStream(const ResponseHead& head) { StartStream(head, BodyFraming::kChunked); }
  /// \param framing  how the end of the body is marked: kChunked, or kClose for the end of the
  ///   connection
  virtual void StartStream(const ResponseHead& head, BodyFraming framing) = 0;
  virtual void Write(std::string_view piece) = 0;
  /// Marks the body as complete.
  virtual void EndStream() = 0;
  /// Closes the connection, so that the peer does not treat the response as complete.
  virtual void Abort() = 0;
  /// Bytes written but not yet passed to the kernel.
  [[nodiscard]] virtual std::size_t buffered_bytes() const noexcept = 0;
  /// Calls `callback` once, from the event loop, if the connection closes, other than by Abort,
  /// before the response ends.
  virtual void OnDisconnected(std::function<void(DisconnectCause cause)> callback) = 0;
};

struct IncomingOptions {
  /// "ip:port"; port 0 picks a free one.
  std::string listen;
  /// Called for each request, so that changes apply to open connections.
  std::function<IncomingLimits()> limits = [] { return IncomingLimits{}; };
  /// A further connection replaces the one that has been idle for the longest time; if requests are
  /// in progress or have arrived on all, it is closed unread.
  std::size_t max_connections = 2000;
  /// Limit on the bodies of all requests that are being received or handled. A request whose body
  /// does not fit is rejected with 503 before its body is read further.
  std::size_t max_buffered_body_bytes = std::size_t{32} * 1024 * 1024;
};

/// HTTP/1.1 server on one event loop. To be used only on the thread of the loop.
class IncomingServer {
 public:
  using Handler = std::function<void(std::shared_ptr<IncomingRequest> request)>;

  class Impl;

  /// \returns the running server, or an error that describes why the address cannot be used.
  static common::Result<std::unique_ptr<IncomingServer>> Start(EventLoop& loop,
                                                               IncomingOptions options,
                                                               Handler handler);
  ~IncomingServer();
  IncomingServer(const IncomingServer&) = delete;
  IncomingServer& operator=(const IncomingServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::size_t connections() const noexcept;
  /// Requests whose response has not been passed to the kernel completely.
  [[nodiscard]] std::size_t in_flight() const noexcept;
  /// Bytes of the bodies of requests that are being received or handled.
  [[nodiscard]] std::size_t buffered_body_bytes() const noexcept;

  /// Adds "Connection: close" to each further response and closes the connection after it.
  void DisableKeepAlive();
  /// Closes the connections on which no byte of a further request has arrived, except new ones
  /// whose first request may be on its way; call it again until they are closed.
  void CloseIdle();
  /// Stops accepting connections, except those that the kernel has accepted already.
  void StopAccepting();

 private:
  explicit IncomingServer(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

}  // namespace briarwood::http
