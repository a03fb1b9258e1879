#include "briarwood/http/outgoing.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <charconv>
#include <limits>
#include <utility>

#include "http/impl/read_buffer.h"

namespace briarwood::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t kReadChunkBytes = 8192;
constexpr std::uint32_t kMaxHeaderBytes = 64U * 1024;
/// Interim (1xx) and skipped responses of one call. A faulty server may send them without end.
constexpr std::uint32_t kMaxExtraResponses = 16;
/// Bytes in the bodies of the skipped responses of one call.
constexpr std::size_t kMaxSkippedBytes = std::size_t{1024} * 1024;
/// The connection is closed if the server acknowledges neither data nor probes for this time.
constexpr std::chrono::milliseconds kPeerTimeout{3000};
/// Time for a reset to end the write of the request after the read has seen the end of the
/// connection.
constexpr std::chrono::milliseconds kResetTimeout{200};
/// Idle time after which a connection is not reused if the server states no timeout.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};
/// Fraction of the server's stated idle timeout that is used: if the server closes the connection
/// while a request is sent, it is unknown whether the request was executed.
constexpr double kUsableIdleFraction = 0.6;

std::chrono::milliseconds UsableIdleTime(const ResponseHead& head) {
  const std::string* value = head.headers.Find("Keep-Alive");
  if (value == nullptr) return kDefaultIdleTimeout;
  constexpr std::string_view kParameter = "timeout=";
  const std::size_t start = value->find(kParameter);
  if (start == std::string::npos) return kDefaultIdleTimeout;
  unsigned seconds = 0;
  const char* begin = value->data() + start + kParameter.size();
  if (std::from_chars(begin, value->data() + value->size(), seconds).ec != std::errc()) {
    return kDefaultIdleTimeout;
  }
  constexpr double kMillisPerSecond = 1000;
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(seconds * kMillisPerSecond * kUsableIdleFraction));
}

std::string ToText(beast::string_view text) { return {text.data(), text.size()}; }

class Connection : public OutgoingConnection {
 public:
  Connection(EventLoop& loop, Endpoint server)
      : server_(std::move(server)), socket_(loop), timer_(loop) {}

  void Send(std::string head, std::shared_ptr<const std::string> body,
            std::chrono::milliseconds connect_timeout, OutgoingHandlers handlers) override {
    idle_closed_ = nullptr;
    handlers_ = std::move(handlers);
    head_ = std::move(head);
    body_ = std::move(body);
    in_call_ = true;
    reusable_ = false;
    response_seen_ = false;
    written_ = false;
    write_failed_ = false;
    bytes_sent_ = 0;
    extra_responses_ = 0;
    skipped_bytes_ = 0;
    sent_at_.reset();
    ++call_number_;
    if (connected_) {
      Write();
    } else {
      Connect(connect_timeout);
    }
  }

  void PauseReading(bool pause) override {
    if (std::exchange(paused_, pause) && !pause && read_deferred_) {
      read_deferred_ = false;
      ReadBody();
    }
  }

  void Close() override {
    ++call_number_;
    in_call_ = false;
    connected_ = false;
    reusable_ = false;
    closed_ = true;
    handlers_ = {};
    idle_closed_ = nullptr;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  [[nodiscard]] bool reusable() const noexcept override { return reusable_ && !closed_; }
  [[nodiscard]] bool HasInput() noexcept override {
    if (!connected_) return false;
    char byte = 0;
    const ssize_t received = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }
  [[nodiscard]] bool connected() const noexcept override { return connected_; }
  [[nodiscard]] common::Time usable_until() const noexcept override { return usable_until_; }
  [[nodiscard]] std::optional<common::Time> sent_at() const noexcept override { return sent_at_; }

  void OnIdleClosed(std::function<void()> callback) override {
    idle_closed_ = std::move(callback);
    WatchIdle();
  }

 private:
  using Parser = beast::http::response_parser<beast::http::buffer_body>;

  std::shared_ptr<Connection> Self() {
    return std::static_pointer_cast<Connection>(shared_from_this());
  }
  /// \returns true if a completion belongs to the call in progress.
  [[nodiscard]] bool IsCurrent(std::uint64_t call) const noexcept {
    return !closed_ && in_call_ && call == call_number_;
  }

  void Connect(std::chrono::milliseconds timeout) {
    const std::uint64_t call = call_number_;
    timer_.expires_after(timeout);
    timer_.async_wait([self = Self(), call](const ErrorCode& error) {
      if (!error && self->IsCurrent(call) && !self->connected_) self->End(CallEnd::kNotSent);
    });
    socket_.async_connect(server_, [self = Self(), call](const ErrorCode& error) {
      if (!self->IsCurrent(call)) return;
      self->timer_.cancel();
      if (error) {
        self->End(CallEnd::kNotSent);
        return;
      }
      SetPeerTimeout(self->socket_, kPeerTimeout);
      self->connected_ = true;
      self->Write();
    });
  }

  void Write() {
    const std::uint64_t call = call_number_;
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(head_), body_ ? asio::buffer(*body_) : asio::const_buffer()};
    sent_at_ = common::BootClock::now();
    // Reads the response while the request is written: a server may respond before it has read the
    // complete body.
    asio::async_write(socket_, buffers,
                      [self = Self(), call](const ErrorCode& error, std::size_t bytes) {
                        if (!self->IsCurrent(call)) return;
                        self->bytes_sent_ = bytes;
                        self->written_ = !error;
                        self->write_failed_ = error.failed();
                        if (error && bytes == 0 && !self->response_seen_) {
                          self->End(CallEnd::kNotSent);
                          return;
                        }
                        if (self->complete_) self->EndAfterResponse();
                      });
    complete_ = false;
    ReadHeader();
  }

  void ReadHeader() {
    const std::uint64_t call = call_number_;
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    impl::PrepareForHeader(buffer_, kMaxHeaderBytes);
    // Without any limit, Boost 1.74 rejects every body that has a length.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    beast::http::async_read_header(socket_, buffer_, *parser_,
                                   [self = Self(), call](const ErrorCode& error, std::size_t) {
                                     if (self->IsCurrent(call)) self->OnHeader(error);
                                   });
  }

  void OnHeader(const ErrorCode& error) {
    if (error) {
      const bool nothing_received = !parser_->got_some() && buffer_.size() == 0;
      const bool ended = error == beast::http::error::end_of_stream || !IsParseError(error);
      End(ended && nothing_received ? CallEnd::kNoResponse
          : ended                   ? CallEnd::kCutShort
                                    : EndOfBadInput(error));
      return;
    }
    const auto& message = parser_->get();
    constexpr unsigned kFirstFinalStatus = 200;
    constexpr unsigned kSwitchingProtocols = 101;
    if (!IsValidStatus(message.result_int())) {
      End(CallEnd::kInvalid);
      return;
    }
    if (message.result_int() < kFirstFinalStatus) {
      if (message.result_int() == kSwitchingProtocols || !MayReadExtraResponse()) {
        End(CallEnd::kInvalid);
      } else {
        ReadHeader();
      }
      return;
    }
    response_seen_ = true;
    ResponseHead head;
    head.status = static_cast<std::uint16_t>(message.result_int());
    head.reason = ToText(message.reason());
    for (const auto& field : message) {
      head.headers.Add(ToText(field.name_string()), ToText(field.value()));
    }
    keep_alive_ = parser_->keep_alive();
    idle_time_ = UsableIdleTime(head);
    skip_response_ = handlers_.on_head && !handlers_.on_head(head);
    if (!in_call_) return;
    impl::PrepareForBody(buffer_);
    ReadBody();
  }

  void ReadBody() {
    if (parser_->is_done()) {
      OnResponseEnd();
      return;
    }
    if (paused_) {
      read_deferred_ = true;
      return;
    }
    const std::uint64_t call = call_number_;
    parser_->get().body().data = chunk_.data();
    parser_->get().body().size = chunk_.size();
    beast::http::async_read_some(socket_, buffer_, *parser_,
                                 [self = Self(), call](const ErrorCode& error, std::size_t) {
                                   if (self->IsCurrent(call)) self->OnBody(error);
                                 });
  }

  void OnBody(ErrorCode error) {
    const std::uint64_t call = call_number_;
    const std::size_t received = chunk_.size() - parser_->get().body().size;
    if (error == beast::http::error::need_buffer) error = {};
    if (skip_response_) skipped_bytes_ += received;
    if (skipped_bytes_ > kMaxSkippedBytes) {
      End(CallEnd::kOversized);
      return;
    }
    if (received > 0 && !skip_response_ && handlers_.on_data) {
      handlers_.on_data(std::string_view(chunk_.data(), received));
    }
    if (!IsCurrent(call)) return;
    if (error && !parser_->is_done()) {
      End(IsParseError(error) ? EndOfBadInput(error) : CallEnd::kCutShort);
      return;
    }
    ReadBody();
  }

  void OnResponseEnd() {
    if (skip_response_) {
      MayReadExtraResponse() ? ReadHeader() : End(CallEnd::kInvalid);
      return;
    }
    complete_ = true;
    EndAfterResponse();
  }

  /// Ends the call once the response has ended and what the write of the request shows is known.
  void EndAfterResponse() {
    if (parser_->need_eof()) {
      // The socket reports a reset once. If the write has taken it, the read sees an orderly end.
      if (write_failed_) {
        End(CallEnd::kCutShort);
      } else if (written_) {
        End(CallEnd::kComplete);
      } else {
        EndUnlessReset();
      }
      return;
    }
    // A server that keeps the connection still expects the rest of the request.
    if (!written_ && !write_failed_ && keep_alive_) return;
    End(CallEnd::kComplete);
  }

  /// Waits for the write of the request, which fails if the end of the connection was a reset. A
  /// server may also end its response in order and leave the rest of the request unread.
  void EndUnlessReset() {
    const std::uint64_t call = call_number_;
    timer_.expires_after(kResetTimeout);
    timer_.async_wait([self = Self(), call](const ErrorCode& error) {
      if (!error && self->IsCurrent(call)) self->End(CallEnd::kComplete);
    });
  }

  /// Counts an interim or skipped response. \returns false if there were too many.
  [[nodiscard]] bool MayReadExtraResponse() noexcept {
    return ++extra_responses_ <= kMaxExtraResponses;
  }

  static bool IsParseError(const ErrorCode& error) {
    return error.category() ==
               beast::http::make_error_code(beast::http::error::bad_method).category() &&
           error != beast::http::error::end_of_stream &&
           error != beast::http::error::partial_message;
  }

  static CallEnd EndOfBadInput(const ErrorCode& error) {
    const bool oversized =
        error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow;
    return oversized ? CallEnd::kOversized : CallEnd::kInvalid;
  }

  void End(CallEnd end) {
    in_call_ = false;
    ++call_number_;
    const bool reuse = end == CallEnd::kComplete && keep_alive_ && written_ && buffer_.size() == 0;
    OutgoingHandlers handlers = std::move(handlers_);
    handlers_ = {};
    body_.reset();
    if (reuse) {
      reusable_ = true;
      usable_until_ = common::BootClock::now() + idle_time_;
    } else {
      Close();
    }
    if (handlers.on_end) handlers.on_end(end);
  }

  void WatchIdle() {
    if (idle_watched_ || closed_) return;
    idle_watched_ = true;
    socket_.async_wait(Socket::wait_read, [self = Self()](const ErrorCode& /*error*/) {
      self->idle_watched_ = false;
      // The wait also completes at the first byte of the response to the next call.
      if (self->closed_ || self->in_call_) return;
      if (auto callback = std::exchange(self->idle_closed_, nullptr)) callback();
    });
  }

  Endpoint server_;
  Socket socket_;
  Timer timer_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::array<char, kReadChunkBytes> chunk_{};
  std::string head_;
  std::shared_ptr<const std::string> body_;
  OutgoingHandlers handlers_;
  std::function<void()> idle_closed_;
  std::uint64_t call_number_ = 0;
  std::size_t bytes_sent_ = 0;
  std::uint32_t extra_responses_ = 0;
  std::size_t skipped_bytes_ = 0;
  std::optional<common::Time> sent_at_;
  std::chrono::milliseconds idle_time_{kDefaultIdleTimeout};
  common::Time usable_until_;
  bool in_call_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool reusable_ = false;
  bool response_seen_ = false;
  bool written_ = false;
  bool write_failed_ = false;
  bool complete_ = false;
  bool keep_alive_ = false;
  bool skip_response_ = false;
  bool paused_ = false;
  bool read_deferred_ = false;
  bool idle_watched_ = false;
};

}  // namespace

std::shared_ptr<OutgoingConnection> OutgoingConnection::Create(EventLoop& loop,
                                                               const Endpoint& server) {
  return std::make_shared<Connection>(loop, server);
}

}  // namespace briarwood::http
