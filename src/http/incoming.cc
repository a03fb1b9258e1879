#include "briarwood/http/incoming.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <deque>
#include <limits>
#include <list>
#include <optional>
#include <thread>
#include <utility>

#include "http/impl/read_buffer.h"

namespace briarwood::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;

namespace {

/// Time for which input is read and discarded after a response that ends a connection.
/// Closing with unread input resets the connection, and the peer may not receive the response.
constexpr std::chrono::milliseconds kLingerTimeout{500};
/// Largest read buffer that an idle connection keeps for its next request.
constexpr std::size_t kMaxIdleBufferBytes = 4096;
/// The connection is closed if the peer acknowledges no data for this time.
constexpr std::chrono::milliseconds kPeerTimeout{10'000};
/// Time in which the first request on a new connection arrives, unless a packet of it is lost
/// twice.
constexpr std::chrono::milliseconds kFirstRequestTimeout{500};
/// Time for which the listen address may still be in use at the start: by the previous process, or
/// by an outgoing connection that was given this port.
constexpr std::chrono::milliseconds kListenTimeout{5000};
constexpr std::chrono::milliseconds kListenRetryDelay{50};
/// Delay after a failed accept, which usually means that the process has run out of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kRequestTimeout = 408;
constexpr std::uint16_t kContentTooLarge = 413;
constexpr std::uint16_t kHeaderTooLarge = 431;
constexpr std::uint16_t kInternalError = 500;
constexpr std::uint16_t kNotImplemented = 501;
constexpr std::uint16_t kUnavailable = 503;
/// Another process may have room at once; this one has it when its callers have sent their bodies.
constexpr const char* kRetryAfterSeconds = "1";

std::uint16_t StatusOf(const ErrorCode& error) {
  if (error == beast::http::error::header_limit) return kHeaderTooLarge;
  if (error == beast::http::error::buffer_overflow) return kHeaderTooLarge;
  if (error == beast::http::error::body_limit) return kContentTooLarge;
  return kBadRequest;
}

bool IsParseError(const ErrorCode& error) {
  return error.category() ==
             beast::http::make_error_code(beast::http::error::bad_method).category() &&
         error != beast::http::error::end_of_stream && error != beast::http::error::partial_message;
}

DisconnectCause CauseOf(const ErrorCode& error) {
  const bool unreachable = error == asio::error::timed_out ||
                           error == asio::error::host_unreachable ||
                           error == asio::error::network_unreachable;
  return unreachable ? DisconnectCause::kPeerUnreachable : DisconnectCause::kPeerClosed;
}

std::string ToText(beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

class IncomingConnection;

class IncomingServer::Impl : public std::enable_shared_from_this<IncomingServer::Impl> {
 public:
  Impl(EventLoop& loop, IncomingOptions options, Handler handler)
      : loop_(loop),
        acceptor_(loop),
        accept_timer_(loop),
        options_(std::move(options)),
        handler_(std::move(handler)) {}

  /// \returns an empty string, or a description of the error.
  std::string Listen();
  [[nodiscard]] ErrorCode Bind(const Endpoint& endpoint);
  void Accept();
  /// Takes the connections that the kernel has accepted, then accepts no more.
  void StopAccepting();
  void Close();

  EventLoop& loop() noexcept { return loop_; }
  [[nodiscard]] IncomingLimits limits() const { return options_.limits(); }
  [[nodiscard]] bool keep_alive_disabled() const noexcept { return keep_alive_disabled_; }
  void Handle(std::shared_ptr<IncomingRequest> request) { handler_(std::move(request)); }

 private:
  friend class IncomingServer;
  friend class IncomingConnection;

  void AddConnection(Socket socket);
  /// Closes the connection that has been idle for the longest time, except those on which a request
  /// has arrived. \returns false if there is none.
  bool CloseLongestIdle();

  EventLoop& loop_;
  asio::ip::tcp::acceptor acceptor_;
  Timer accept_timer_;
  IncomingOptions options_;
  Handler handler_;
  std::uint16_t port_ = 0;
  bool keep_alive_disabled_ = false;
  bool closed_ = false;
  std::size_t in_flight_ = 0;
  /// Handlers may drop a request, and with it its body, on any thread.
  std::shared_ptr<std::atomic<std::size_t>> body_bytes_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  /// Open connections; the idle ones are in the order in which they became idle.
  std::list<std::shared_ptr<IncomingConnection>> busy_;
  std::list<std::shared_ptr<IncomingConnection>> idle_;
};

/// Connection of one peer: reads a request, passes it to the handler, writes the response and reads
/// the next request.
class IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  IncomingConnection(std::shared_ptr<IncomingServer::Impl> server, Socket socket)
      : server_(std::move(server)), socket_(std::move(socket)), timer_(server_->loop()) {
    SetPeerTimeout(socket_, kPeerTimeout);
    ErrorCode ignored;
    socket_.non_blocking(true, ignored);
  }

  void Start() {
    position_ = server_->busy_.insert(server_->busy_.end(), shared_from_this());
    AwaitRequest();
  }

  void Close(DisconnectCause cause = DisconnectCause::kServerClosed) {
    if (closed_) return;
    closed_ = true;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    NotifyDisconnected(cause);
    EndRequest();
    *server_->body_bytes_ -= std::exchange(reserved_body_bytes_, 0);
    (idle_ ? server_->idle_ : server_->busy_).erase(position_);
  }

  [[nodiscard]] bool closed() const noexcept { return closed_; }
  [[nodiscard]] std::size_t buffered_bytes() const noexcept { return output_bytes_; }

  /// \returns true if request `number` is in progress; false for handles of earlier requests.
  [[nodiscard]] bool IsInProgress(std::uint64_t number) const noexcept {
    return !closed_ && in_request_ && number == request_number_;
  }
  void Respond(const ResponseHead& head, const std::string& body);
  void StartStream(const ResponseHead& head, BodyFraming framing);
  void Write(std::string_view piece);
  void EndStream();
  void SetOnClose(std::function<void(DisconnectCause)> callback);
  [[nodiscard]] bool response_started() const noexcept { return response_started_; }
  /// \returns true if unread bytes have arrived.
  [[nodiscard]] bool HasInput();
  /// \returns true if the peer has just connected and its first request is probably on its way.
  [[nodiscard]] bool ExpectsFirstRequest() const {
    return request_number_ == 0 && common::BootClock::now() - accepted_at_ < kFirstRequestTimeout;
  }

 private:
  using Parser = beast::http::request_parser<beast::http::string_body>;

  void AwaitRequest();
  void AwaitReadable();
  void ReadHeader();
  void ReadBody();
  void ReadBodyPart();
  /// Counts the body that is being received. \returns false if it does not fit.
  [[nodiscard]] bool ReserveBody(std::uint64_t bytes);
  void Dispatch();
  void WatchForDisconnect();
  void OnReadable();
  void EndResponse();
  void AfterResponse();
  void Reject(std::uint16_t status);
  void DiscardInput();
  void Send(std::string bytes);
  void WriteOutput();
  void SetTimer(std::chrono::milliseconds limit, std::function<void()> expired);
  void SetIdle(bool idle);
  void SetResetOnClose(bool reset);
  void NotifyDisconnected(DisconnectCause cause) {
    auto callback = std::exchange(on_close_, nullptr);
    if (!callback) return;
    asio::post(server_->loop(), [callback = std::move(callback), cause] { callback(cause); });
  }
  void EndRequest() {
    if (std::exchange(in_request_, false)) --server_->in_flight_;
  }

  std::shared_ptr<IncomingServer::Impl> server_;
  Socket socket_;
  Timer timer_;
  std::uint64_t timer_id_ = 0;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  /// Head of the request whose body is being read.
  RequestHead head_;
  std::size_t reserved_body_bytes_ = 0;
  std::list<std::shared_ptr<IncomingConnection>>::iterator position_;

  common::Time accepted_at_ = common::BootClock::now();
  std::uint64_t request_number_ = 0;
  bool in_request_ = false;
  bool response_started_ = false;
  bool response_ended_ = false;
  bool chunked_ = false;
  bool peer_is_http_1_0_ = false;
  bool close_after_response_ = false;
  bool discard_input_after_response_ = false;
  bool idle_ = false;
  bool wait_pending_ = false;
  bool awaiting_request_ = false;
  bool closed_ = false;
  std::function<void(DisconnectCause)> on_close_;

  std::deque<std::string> output_;
  std::size_t output_bytes_ = 0;
  bool writing_ = false;
};

namespace {

/// Handle of one request; has no effect once the request is no longer in progress.
class RequestHandle : public IncomingRequest {
 public:
  RequestHandle(std::shared_ptr<IncomingConnection> connection, std::uint64_t number,
                RequestHead head, std::shared_ptr<const std::string> body, common::Time arrived_at)
      : connection_(std::move(connection)),
        number_(number),
        head_(std::move(head)),
        body_(std::move(body)),
        arrived_at_(arrived_at) {}
  RequestHandle(const RequestHandle&) = delete;
  RequestHandle& operator=(const RequestHandle&) = delete;
  ~RequestHandle() override {
    if (!connection_->IsInProgress(number_) || ended_) return;
    if (connection_->response_started()) {
      connection_->Close();
    } else {
      connection_->Respond({.status = kInternalError, .reason = {}, .headers = {}}, {});
    }
  }

  [[nodiscard]] const RequestHead& head() const noexcept override { return head_; }
  [[nodiscard]] const std::shared_ptr<const std::string>& body() const noexcept override {
    return body_;
  }
  [[nodiscard]] common::Time arrived_at() const noexcept override { return arrived_at_; }

  void Respond(const ResponseHead& head, const std::string& body) override {
    if (!connection_->IsInProgress(number_) || ended_) return;
    ended_ = true;
    connection_->Respond(head, body);
  }
  void StartStream(const ResponseHead& head, BodyFraming framing) override {
    if (connection_->IsInProgress(number_) && !ended_) connection_->StartStream(head, framing);
  }
  void Write(std::string_view piece) override {
    if (connection_->IsInProgress(number_) && !ended_) connection_->Write(piece);
  }
  void EndStream() override {
    if (!connection_->IsInProgress(number_) || ended_) return;
    ended_ = true;
    connection_->EndStream();
  }
  void Abort() override {
    if (!connection_->IsInProgress(number_) || ended_) return;
    ended_ = true;
    connection_->SetOnClose(nullptr);
    connection_->Close();
  }
  [[nodiscard]] std::size_t buffered_bytes() const noexcept override {
    return connection_->IsInProgress(number_) ? connection_->buffered_bytes() : 0;
  }
  void OnDisconnected(std::function<void(DisconnectCause)> callback) override {
    if (connection_->IsInProgress(number_) && !ended_) connection_->SetOnClose(std::move(callback));
  }

 private:
  std::shared_ptr<IncomingConnection> connection_;
  std::uint64_t number_;
  RequestHead head_;
  std::shared_ptr<const std::string> body_;
  common::Time arrived_at_;
  bool ended_ = false;
};

}  // namespace

void IncomingConnection::SetTimer(std::chrono::milliseconds limit, std::function<void()> expired) {
  const std::uint64_t number = ++timer_id_;
  timer_.expires_after(limit);
  timer_.async_wait(
      [self = shared_from_this(), number, expired = std::move(expired)](const ErrorCode& error) {
        if (!error && number == self->timer_id_ && !self->closed_) expired();
      });
}

void IncomingConnection::SetIdle(bool idle) {
  if (idle == idle_) return;
  auto& from = idle_ ? server_->idle_ : server_->busy_;
  auto& to = idle ? server_->idle_ : server_->busy_;
  to.splice(to.end(), from, position_);
  idle_ = idle;
}

void IncomingConnection::SetResetOnClose(bool reset) {
  ErrorCode ignored;
  socket_.set_option(asio::socket_base::linger(reset, 0), ignored);
}

void IncomingConnection::AwaitRequest() {
  parser_.reset();
  on_close_ = nullptr;
  if (buffer_.size() > 0) {
    ReadHeader();
    return;
  }
  if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_ = {};
  SetIdle(true);
  SetTimer(server_->limits().idle_timeout, [this] {
    // A request that has already arrived is read and answered by the pending wait.
    if (!HasInput()) Close();
  });
  AwaitReadable();
}

void IncomingConnection::AwaitReadable() {
  // A wait that WatchForDisconnect started for the last request may be pending and is sufficient.
  awaiting_request_ = true;
  if (wait_pending_) return;
  wait_pending_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    self->wait_pending_ = false;
    if (error || self->closed_) {
      self->Close();
      return;
    }
    self->OnReadable();
  });
}

void IncomingConnection::WatchForDisconnect() {
  if (wait_pending_) return;
  wait_pending_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    self->wait_pending_ = false;
    if (self->closed_) return;
    if (error) {
      self->Close(CauseOf(error));
      return;
    }
    self->OnReadable();
  });
}

bool IncomingConnection::HasInput() {
  char byte = 0;
  return recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void IncomingConnection::OnReadable() {
  if (awaiting_request_) {
    awaiting_request_ = false;
    SetIdle(false);
    ReadHeader();
    return;
  }
  if (!in_request_) return;
  char byte = 0;
  const ssize_t received = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const int problem = errno;
  const bool no_input =
      received < 0 && (problem == EAGAIN || problem == EWOULDBLOCK || problem == EINTR);
  if (no_input) {
    WatchForDisconnect();
    return;
  }
  // Once a further request has arrived, its unread bytes hide the end of the connection.
  if (received > 0) return;
  Close(received == 0 ? DisconnectCause::kPeerClosed
                      : CauseOf(ErrorCode(problem, boost::system::system_category())));
}

void IncomingConnection::ReadHeader() {
  const IncomingLimits limits = server_->limits();
  parser_.emplace();
  const std::size_t header_bytes =
      std::min<std::size_t>(limits.max_header_bytes, std::numeric_limits<std::uint32_t>::max());
  parser_->header_limit(static_cast<std::uint32_t>(header_bytes));
  impl::PrepareForHeader(buffer_, header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  SetTimer(limits.header_timeout, [this] { Reject(kRequestTimeout); });
  beast::http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t /*bytes*/) {
        if (self->closed_ || self->close_after_response_) return;
        if (error) {
          IsParseError(error) ? self->Reject(StatusOf(error)) : self->Close();
          return;
        }
        self->ReadBody();
      });
}

void IncomingConnection::ReadBody() {
  const auto& message = parser_->get();
  // Fields of a trailer are dropped: they are no part of the header (RFC 9110, 6.5.1).
  head_ = {};
  head_.method = ToText(message.method_string());
  head_.target = ToText(message.target());
  for (const auto& field : message) {
    head_.headers.Add(ToText(field.name_string()), ToText(field.value()));
  }
  impl::PrepareForBody(buffer_);
  const auto coding = message.find(beast::http::field::transfer_encoding);
  if (coding != message.end() && !beast::iequals(coding->value(), "chunked")) {
    Reject(kNotImplemented);
    return;
  }
  if (parser_->is_done()) {
    Dispatch();
    return;
  }
  const auto expect = message.find(beast::http::field::expect);
  if (expect != message.end() && beast::iequals(expect->value(), "100-continue")) {
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (!ReserveBody(parser_->content_length().value_or(0))) {
    Reject(kUnavailable);
    return;
  }
  SetTimer(server_->limits().idle_timeout, [this] { Reject(kRequestTimeout); });
  ReadBodyPart();
}

void IncomingConnection::ReadBodyPart() {
  beast::http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t /*bytes*/) {
        if (self->closed_ || self->close_after_response_) return;
        if (error) {
          IsParseError(error) ? self->Reject(StatusOf(error)) : self->Close();
        } else if (!self->ReserveBody(self->parser_->get().body().size())) {
          self->Reject(kUnavailable);
        } else if (self->parser_->is_done()) {
          self->Dispatch();
        } else {
          self->ReadBodyPart();
        }
      });
}

bool IncomingConnection::ReserveBody(std::uint64_t bytes) {
  if (bytes <= reserved_body_bytes_) return true;
  const std::uint64_t more = bytes - reserved_body_bytes_;
  const std::size_t used = *server_->body_bytes_;
  if (used + more > server_->options_.max_buffered_body_bytes) return false;
  *server_->body_bytes_ += more;
  reserved_body_bytes_ += more;
  return true;
}

void IncomingConnection::Dispatch() {
  timer_.cancel();
  ++timer_id_;
  auto message = parser_->release();
  constexpr unsigned kHttp10 = 10;
  peer_is_http_1_0_ = message.version() <= kHttp10;
  close_after_response_ = !message.keep_alive();
  response_started_ = false;
  response_ended_ = false;
  chunked_ = false;
  in_request_ = true;
  ++server_->in_flight_;
  const std::uint64_t number = ++request_number_;
  const std::size_t reserved = std::exchange(reserved_body_bytes_, 0);
  const std::shared_ptr<const std::string> body(
      new std::string(std::move(message.body())),
      [total = server_->body_bytes_, reserved](const std::string* bytes) {
        delete bytes;
        *total -= reserved;
      });
  auto request = std::make_shared<RequestHandle>(shared_from_this(), number, std::move(head_), body,
                                                 common::BootClock::now());
  if (buffer_.size() == 0) WatchForDisconnect();
  server_->Handle(std::move(request));
}

void IncomingConnection::SetOnClose(std::function<void(DisconnectCause)> callback) {
  on_close_ = std::move(callback);
}

void IncomingConnection::Respond(const ResponseHead& head, const std::string& body) {
  if (response_started_) return;
  response_started_ = true;
  close_after_response_ = close_after_response_ || server_->keep_alive_disabled();
  std::string bytes =
      SerializeResponse(head, BodyFraming::kLength, body.size(), close_after_response_);
  bytes += body;
  EndResponse();
  Send(std::move(bytes));
}

void IncomingConnection::StartStream(const ResponseHead& head, BodyFraming framing) {
  if (response_started_) return;
  response_started_ = true;
  chunked_ = framing == BodyFraming::kChunked && !peer_is_http_1_0_;
  // The end of the connection completes such a response, so until the response has ended the
  // connection must not close in order, not even if the process ends.
  if (!chunked_) SetResetOnClose(true);
  close_after_response_ = close_after_response_ || server_->keep_alive_disabled() || !chunked_;
  Send(SerializeResponse(head, chunked_ ? BodyFraming::kChunked : BodyFraming::kClose, 0,
                         close_after_response_));
}

void IncomingConnection::Write(std::string_view piece) {
  if (piece.empty()) return;
  if (!chunked_) {
    Send(std::string(piece));
    return;
  }
  std::array<char, 16> size{};
  constexpr int kHexadecimal = 16;
  const auto end = std::to_chars(size.begin(), size.end(), piece.size(), kHexadecimal).ptr;
  std::string bytes(size.begin(), end);
  bytes.append("\r\n").append(piece).append("\r\n");
  Send(std::move(bytes));
}

void IncomingConnection::EndStream() {
  EndResponse();
  Send(chunked_ ? "0\r\n\r\n" : "");
}

void IncomingConnection::EndResponse() {
  response_ended_ = true;
  on_close_ = nullptr;
}

void IncomingConnection::Reject(std::uint16_t status) {
  // The rest of the request is not read, so the connection cannot be reused.
  close_after_response_ = true;
  discard_input_after_response_ = true;
  in_request_ = true;
  ++server_->in_flight_;
  ++request_number_;
  response_started_ = false;
  ResponseHead head{.status = status, .reason = {}, .headers = {}};
  if (status == kUnavailable) head.headers.Add("Retry-After", kRetryAfterSeconds);
  Respond(head, {});
}

void IncomingConnection::Send(std::string bytes) {
  if (closed_) return;
  output_bytes_ += bytes.size();
  output_.push_back(std::move(bytes));
  WriteOutput();
}

void IncomingConnection::WriteOutput() {
  if (writing_ || closed_) return;
  if (output_.empty()) {
    if (response_ended_ && in_request_) AfterResponse();
    return;
  }
  writing_ = true;
  auto batch = std::make_shared<std::string>();
  for (std::string& piece : output_) batch->append(piece);
  output_.clear();
  asio::async_write(socket_, asio::buffer(*batch),
                    [self = shared_from_this(), batch](const ErrorCode& error, std::size_t) {
                      self->writing_ = false;
                      self->output_bytes_ -= batch->size();
                      if (error) {
                        self->Close(CauseOf(error));
                        return;
                      }
                      self->WriteOutput();
                    });
}

void IncomingConnection::AfterResponse() {
  EndRequest();
  if (!close_after_response_) {
    AwaitRequest();
    return;
  }
  SetResetOnClose(false);
  ErrorCode ignored;
  if (discard_input_after_response_ || HasInput()) {
    socket_.shutdown(Socket::shutdown_send, ignored);
    SetTimer(kLingerTimeout, [this] { Close(); });
    DiscardInput();
    return;
  }
  socket_.shutdown(Socket::shutdown_both, ignored);
  Close();
}

void IncomingConnection::DiscardInput() {
  constexpr std::size_t kDiscardBytes = 8192;
  auto bytes = std::make_shared<std::array<char, kDiscardBytes>>();
  socket_.async_read_some(asio::buffer(*bytes),
                          [self = shared_from_this(), bytes](const ErrorCode& error, std::size_t) {
                            error ? self->Close() : self->DiscardInput();
                          });
}

std::string IncomingServer::Impl::Listen() {
  const std::optional<Endpoint> endpoint = ParseEndpoint(options_.listen);
  if (!endpoint) return "listen address \"" + options_.listen + "\" is not of the form ip:port";
  const auto end = std::chrono::steady_clock::now() + kListenTimeout;
  ErrorCode error = Bind(*endpoint);
  while (error == asio::error::address_in_use && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kListenRetryDelay);
    error = Bind(*endpoint);
  }
  if (error) return "cannot listen on " + options_.listen + ": " + error.message();
  port_ = acceptor_.local_endpoint().port();
  return {};
}

ErrorCode IncomingServer::Impl::Bind(const Endpoint& endpoint) {
  ErrorCode error;
  if (acceptor_.is_open()) acceptor_.close(error);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  return error;
}

void IncomingServer::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](const ErrorCode& error, Socket socket) {
    if (self->closed_ || !self->acceptor_.is_open()) return;
    if (error) {
      self->accept_timer_.expires_after(kAcceptRetryDelay);
      self->accept_timer_.async_wait([self](const ErrorCode& cancelled) {
        if (!cancelled) self->Accept();
      });
      return;
    }
    self->AddConnection(std::move(socket));
    self->Accept();
  });
}

void IncomingServer::Impl::AddConnection(Socket socket) {
  if (busy_.size() + idle_.size() >= options_.max_connections) {
    // A peer whose connection closes before its request is read may retry it elsewhere.
    if (!CloseLongestIdle()) return;
  }
  std::make_shared<IncomingConnection>(shared_from_this(), std::move(socket))->Start();
}

bool IncomingServer::Impl::CloseLongestIdle() {
  const auto longest = std::find_if(idle_.begin(), idle_.end(),
                                    [](const auto& connection) { return !connection->HasInput(); });
  if (longest == idle_.end()) return false;
  (*longest)->Close();
  return true;
}

void IncomingServer::Impl::StopAccepting() {
  if (!acceptor_.is_open()) return;
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  // The kernel has accepted these connections, and would reset them with the requests that they
  // may already have sent.
  while (!error) {
    Socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) AddConnection(std::move(socket));
  }
  ErrorCode ignored;
  acceptor_.close(ignored);
}

void IncomingServer::Impl::Close() {
  closed_ = true;
  ErrorCode ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  while (!busy_.empty()) busy_.front()->Close();
  while (!idle_.empty()) idle_.front()->Close();
}

IncomingServer::IncomingServer(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

IncomingServer::~IncomingServer() { impl_->Close(); }

common::Result<std::unique_ptr<IncomingServer>> IncomingServer::Start(EventLoop& loop,
                                                                      IncomingOptions options,
                                                                      Handler handler) {
  using StartResult = common::Result<std::unique_ptr<IncomingServer>>;
  auto impl = std::make_shared<Impl>(loop, std::move(options), std::move(handler));
  if (std::string problem = impl->Listen(); !problem.empty()) {
    return StartResult::Failure(std::move(problem));
  }
  impl->Accept();
  return StartResult::Success(std::unique_ptr<IncomingServer>(new IncomingServer(std::move(impl))));
}

std::uint16_t IncomingServer::port() const noexcept { return impl_->port_; }

std::size_t IncomingServer::connections() const noexcept {
  return impl_->busy_.size() + impl_->idle_.size();
}

std::size_t IncomingServer::in_flight() const noexcept { return impl_->in_flight_; }

std::size_t IncomingServer::buffered_body_bytes() const noexcept { return *impl_->body_bytes_; }

void IncomingServer::DisableKeepAlive() { impl_->keep_alive_disabled_ = true; }

void IncomingServer::CloseIdle() {
  const auto idle = impl_->idle_;
  for (const auto& connection : idle) {
    // A request that has already arrived is read and answered by its pending wait.
    if (!connection->HasInput() && !connection->ExpectsFirstRequest()) connection->Close();
  }
}

void IncomingServer::StopAccepting() { impl_->StopAccepting(); }

}  // namespace briarwood::http
