#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarwood/http/event_loop.h"
#include "briarwood/http/heads.h"

namespace briarwood::http {

/// How a call over an OutgoingConnection ended.
enum class CallEnd : std::uint8_t {
  /// The response was received completely.
  kComplete,
  /// No byte of the request was passed to the kernel, so the server cannot have received it.
  kNotSent,
  /// The connection ended before a response began; the server may have executed the request.
  kNoResponse,
  /// The connection ended or failed during the response.
  kCutShort,
  /// The server sent bytes that are not a valid HTTP response.
  kInvalid,
  /// The header, the framing of the body or skipped responses exceed a limit of this client.
  kOversized,
};

/// Callbacks of one call, in this order: on_head once for each response, on_data any number of
/// times, on_end once. They run on the thread of the event loop.
struct OutgoingHandlers {
  /// \returns false to skip this response and wait for another response to the request.
  std::function<bool(const ResponseHead& head)> on_head;
  std::function<void(std::string_view data)> on_data;
  std::function<void(CallEnd end)> on_end;
};

/// HTTP/1.1 connection to a server for one call at a time. Sends each request at most once and
/// reports whether any byte of it was sent. To be used only on the thread of the event loop.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  static std::shared_ptr<OutgoingConnection> Create(EventLoop& loop, const Endpoint& server);
  virtual ~OutgoingConnection() = default;

  /// Connects if necessary and sends the request. No other call may be in progress.
  /// \param connect_timeout  maximum time to establish a new connection
  virtual void Send(std::string head, std::shared_ptr<const std::string> body,
                    std::chrono::milliseconds connect_timeout, OutgoingHandlers handlers) = 0;

  /// Pauses or resumes reading the response, so that data for a slow reader does not accumulate.
  virtual void PauseReading(bool pause) = 0;

  /// Closes the connection; a call in progress ends without further callbacks.
  virtual void Close() = 0;

  /// True if the last call has ended and the connection can be used for another one.
  [[nodiscard]] virtual bool reusable() const noexcept = 0;
  /// True if unread bytes have arrived or the server has closed the connection. On an idle
  /// connection the bytes belong to no request.
  [[nodiscard]] virtual bool HasInput() noexcept = 0;
  [[nodiscard]] virtual bool connected() const noexcept = 0;
  /// Time from which an idle connection must not be used, because the server may close it.
  [[nodiscard]] virtual common::Time usable_until() const noexcept = 0;
  /// Time at which the request was passed to the kernel; empty before that.
  [[nodiscard]] virtual std::optional<common::Time> sent_at() const noexcept = 0;

  /// Calls `callback` once when the server closes the idle connection or sends data on it.
  virtual void OnIdleClosed(std::function<void()> callback) = 0;
};

}  // namespace briarwood::http
