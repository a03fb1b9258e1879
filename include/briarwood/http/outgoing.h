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
  /// The response came to its end.
  kComplete,
  /// No byte of the request reached the kernel's connection: the server cannot have seen it.
  kNotSent,
  /// The connection ended before a response began; the server may have run the request.
  kNoResponse,
  /// The connection ended or failed inside the response.
  kCutShort,
  /// The server sent bytes that are no response.
  kInvalid,
};

/// Callbacks of one call, in this order: head once for each response, data any number of times, end
/// once. They run on the thread of the event loop.
struct OutgoingHandlers {
  /// \returns false to skip this response and read another one, which answers the request.
  std::function<bool(const ResponseHead& head)> on_head;
  std::function<void(std::string_view data)> on_data;
  std::function<void(CallEnd end)> on_end;
};

/// HTTP/1.1 connection to a server for one call at a time. Sends each request at most once and
/// tells whether any of it was sent. Belongs to the thread of the event loop.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  static std::shared_ptr<OutgoingConnection> Create(EventLoop& loop, const Endpoint& server);
  virtual ~OutgoingConnection() = default;

  /// Connects if necessary and sends the request. The connection must be free.
  /// \param connect_limit  longest wait for a new connection
  virtual void Send(std::string head, std::shared_ptr<const std::string> body,
                    std::chrono::milliseconds connect_limit, OutgoingHandlers handlers) = 0;

  /// Stops reading the response until it is resumed, so that a slow reader is not buffered for.
  virtual void PauseReading(bool pause) = 0;

  /// Closes the connection; a call in progress ends without a callback.
  virtual void Close() = 0;

  /// True when the last call ended so that another one may follow.
  [[nodiscard]] virtual bool reusable() const noexcept = 0;
  [[nodiscard]] virtual bool connected() const noexcept = 0;
  /// Time from which an idle connection must not be used, as the server may close it.
  [[nodiscard]] virtual common::Time usable_until() const noexcept = 0;
  /// Time at which the request was handed to the kernel; nothing before.
  [[nodiscard]] virtual std::optional<common::Time> sent_at() const noexcept = 0;

  /// Calls `callback` once when the server closes or writes on the idle connection.
  virtual void OnIdleClosed(std::function<void()> callback) = 0;
};

}  // namespace briarwood::http
