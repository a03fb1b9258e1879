#include "briarwood/http/server.h"

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "http/impl/free_port.h"
#include "http/impl/request_checks.h"

namespace briarwood::http {
namespace {

using BodyBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

constexpr int kMaxListenTries = 20;
constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;

/// Counts the requests in flight; may outlive the server, as exchanges share it.
class InFlightCounter {
 public:
  [[nodiscard]] bool TryAdd(std::size_t limit) {
    const std::lock_guard lock(mutex_);
    if (count_ >= limit) return false;
    ++count_;
    return true;
  }

  void Remove() {
    const std::lock_guard lock(mutex_);
    --count_;
    changed_.notify_all();
  }

  [[nodiscard]] std::size_t count() const {
    const std::lock_guard lock(mutex_);
    return count_;
  }

  [[nodiscard]] bool WaitZero(std::chrono::milliseconds timeout) const {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, timeout, [this] { return count_ == 0; });
  }

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::size_t count_ = 0;
};

Headers ToHeaders(const web::http::http_headers& headers) {
  Headers result;
  for (const auto& [name, value] : headers) result.emplace(name, value);
  return result;
}

Request ToRequest(const web::http::http_request& message) {
  return {.method = message.method(),
          .path = message.request_uri().path(),
          .query = message.request_uri().query(),
          .headers = ToHeaders(message.headers()),
          .body = {},
          .remote_address = message.remote_address()};
}

web::http::http_response MakeHead(std::uint16_t status, const Headers& headers) {
  web::http::http_response head(status);
  for (const auto& [name, value] : headers) head.headers().add(name, value);
  return head;
}

/// State of a response that the reply continuation keeps alive after its exchange is destroyed.
class Delivery {
 public:
  explicit Delivery(std::shared_ptr<InFlightCounter> counter) : counter_(std::move(counter)) {}

  void Finish(bool delivered) {
    std::function<void(bool)> callback;
    {
      const std::lock_guard lock(mutex_);
      if (delivered_) return;
      delivered_ = delivered;
      callback = std::exchange(callback_, nullptr);
    }
    if (callback) callback(delivered);
    counter_->Remove();
  }

  void OnFinished(std::function<void(bool)> callback) {
    {
      const std::lock_guard lock(mutex_);
      if (!delivered_) {
        callback_ = std::move(callback);
        return;
      }
    }
    callback(!failed());
  }

  [[nodiscard]] bool failed() const {
    const std::lock_guard lock(mutex_);
    return delivered_ && !*delivered_;
  }

 private:
  std::shared_ptr<InFlightCounter> counter_;
  mutable std::mutex mutex_;
  std::optional<bool> delivered_;
  std::function<void(bool)> callback_;
};

void Reply(const web::http::http_request& message, const web::http::http_response& response,
           const std::shared_ptr<Delivery>& delivery) {
  message.reply(response).then([delivery](const pplx::task<void>& task) {
    bool delivered = true;
    try {
      task.get();
    } catch (const std::exception&) {
      delivered = false;
    }
    delivery->Finish(delivered);
  });
}

class ListenerExchange : public Exchange {
 public:
  ListenerExchange(const web::http::http_request& message, Request request,
                   std::shared_ptr<InFlightCounter> counter)
      : message_(message),
        request_(std::move(request)),
        delivery_(std::make_shared<Delivery>(std::move(counter))) {}

  ~ListenerExchange() override {
    if (state_ == State::kWaiting) Respond({.status = ToNumber(Status::kInternalError)});
    if (state_ == State::kStreaming) Abort();
  }

  [[nodiscard]] const Request& request() const noexcept override { return request_; }

  void Respond(Response response) override {
    if (!ChangeState(State::kWaiting, State::kEnded)) return;
    web::http::http_response head = MakeHead(response.status, response.headers);
    head.set_body(std::vector<unsigned char>(response.body.begin(), response.body.end()));
    const std::string type = FindHeader(response.headers, "Content-Type");
    if (!type.empty()) head.headers().set_content_type(type);
    Reply(message_, head, delivery_);
  }

  void StartStream(std::uint16_t status, Headers headers) override {
    if (!ChangeState(State::kWaiting, State::kStreaming)) return;
    web::http::http_response head = MakeHead(status, headers);
    const std::string type = FindHeader(headers, "Content-Type");
    head.set_body(buffer_.create_istream(), type.empty() ? "application/octet-stream" : type);
    Reply(message_, head, delivery_);
  }

  bool Write(std::string_view piece) override {
    const std::lock_guard lock(mutex_);
    if (state_ != State::kStreaming || delivery_->failed()) return false;
    buffer_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(piece.data()), piece.size()).wait();
    buffer_.sync().wait();
    return true;
  }

  void End() override {
    if (ChangeState(State::kStreaming, State::kEnded)) Observe(buffer_.close(std::ios_base::out));
  }

  void Abort() override {
    if (!ChangeState(State::kStreaming, State::kEnded)) return;
    Observe(
        buffer_.close(std::ios_base::out, std::make_exception_ptr(HttpError("stream aborted"))));
  }

  void OnFinished(std::function<void(bool)> callback) override {
    delivery_->OnFinished(std::move(callback));
  }

  [[nodiscard]] std::size_t buffered_bytes() const noexcept override { return buffer_.in_avail(); }

 private:
  enum class State { kWaiting, kStreaming, kEnded };

  /// Lets a task of the library end by itself. At the exit of the process the threads that run its
  /// tasks have stopped, so that waiting for one would never end.
  static void Observe(const pplx::task<void>& task) {
    task.then([](const pplx::task<void>& ended) {
      try {
        ended.get();
      } catch (const std::exception&) {
        // The connection is closed in any case.
      }
    });
  }

  bool ChangeState(State from, State to) {
    const std::lock_guard lock(mutex_);
    if (state_ != from) return false;
    state_ = to;
    return true;
  }

  web::http::http_request message_;
  Request request_;
  std::shared_ptr<Delivery> delivery_;
  std::mutex mutex_;
  State state_ = State::kWaiting;
  BodyBuffer buffer_;
};

void ReplyWithError(const web::http::http_request& message, const RequestProblem& problem) {
  web::http::http_response response(ToNumber(problem.status));
  response.set_body(ToJson(problem), "application/json");
  response.headers().add("Connection", "close");
  message.reply(response).then([](const pplx::task<void>& task) {
    try {
      task.get();
    } catch (const std::exception&) {
      // The caller is disconnected; nothing depends on this reply.
      return;
    }
  });
}

/// Reads the body of one request in chunks up to the limit, then calls the handler.
class BodyReader : public std::enable_shared_from_this<BodyReader> {
 public:
  BodyReader(const web::http::http_request& message, Request request, const ServerOptions& options,
             std::shared_ptr<InFlightCounter> counter, std::shared_ptr<Server::Handler> handler)
      : message_(message),
        request_(std::move(request)),
        options_(options),
        counter_(std::move(counter)),
        handler_(std::move(handler)),
        source_(message_.body().streambuf()) {}

  void Read() {
    const std::size_t received = request_.body.size();
    request_.body.resize(received + kChunkBytes);
    source_.getn(reinterpret_cast<std::uint8_t*>(request_.body.data()) + received, kChunkBytes)
        .then([self = shared_from_this(), received](const pplx::task<std::size_t>& task) {
          self->HandleChunk(received, task);
        });
  }

 private:
  void HandleChunk(std::size_t received, const pplx::task<std::size_t>& task) {
    std::size_t size = 0;
    try {
      size = task.get();
    } catch (const std::exception&) {
      Reject(IncompleteBody());
      return;
    }
    request_.body.resize(received + size);
    if (size == kChunkBytes && request_.body.size() <= options_.max_body_bytes) {
      Read();
      return;
    }
    if (const auto problem = CheckBody(request_, options_)) {
      Reject(*problem);
      return;
    }
    (*handler_)(std::make_shared<ListenerExchange>(message_, std::move(request_), counter_));
  }

  void Reject(const RequestProblem& problem) {
    counter_->Remove();
    ReplyWithError(message_, problem);
  }

  web::http::http_request message_;
  Request request_;
  ServerOptions options_;
  std::shared_ptr<InFlightCounter> counter_;
  std::shared_ptr<Server::Handler> handler_;
  concurrency::streams::streambuf<std::uint8_t> source_;
};

web::http::experimental::listener::http_listener_config MakeConfig(const ServerOptions& options) {
  web::http::experimental::listener::http_listener_config config;
  if (options.certificate_file.empty()) return config;
  config.set_ssl_context_callback([options](boost::asio::ssl::context& context) {
    context.set_options(boost::asio::ssl::context::default_workarounds |
                        boost::asio::ssl::context::no_sslv2 | boost::asio::ssl::context::no_sslv3 |
                        boost::asio::ssl::context::no_tlsv1 |
                        boost::asio::ssl::context::no_tlsv1_1);
    context.use_certificate_chain_file(options.certificate_file);
    context.use_private_key_file(options.private_key_file, boost::asio::ssl::context::pem);
  });
  return config;
}

}  // namespace

class Server::Impl {
 public:
  Impl(ServerOptions options, const Handler& handler)
      : options_(std::move(options)),
        handler_(std::make_shared<Handler>(handler)),
        counter_(std::make_shared<InFlightCounter>()) {}

  ~Impl() { Close(); }

  /// Throws an exception if the address cannot be used.
  void Open(const std::string& ip, std::uint16_t port) {
    const std::string scheme = options_.certificate_file.empty() ? "http://" : "https://";
    listener_ = web::http::experimental::listener::http_listener(
        web::uri(scheme + ip + ":" + std::to_string(port)), MakeConfig(options_));
    listener_.support([options = options_, handler = handler_,
                       counter = counter_](const web::http::http_request& message) {
      Receive(options, handler, counter, message);
    });
    listener_.open().wait();
    port_ = port;
    open_ = true;
  }

  void Close() {
    if (!std::exchange(open_, false)) return;
    try {
      listener_.close().wait();
    } catch (const std::exception&) {
      // The listener is not used again; its sockets are closed on destruction.
      return;
    }
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] const InFlightCounter& counter() const noexcept { return *counter_; }

 private:
  static void Receive(const ServerOptions& options, const std::shared_ptr<Handler>& handler,
                      const std::shared_ptr<InFlightCounter>& counter,
                      const web::http::http_request& message) {
    Request request = ToRequest(message);
    if (const auto problem = CheckHead(request, options)) {
      ReplyWithError(message, *problem);
      return;
    }
    if (!counter->TryAdd(options.max_in_flight)) {
      ReplyWithError(message, TooManyInFlight());
      return;
    }
    std::make_shared<BodyReader>(message, std::move(request), options, counter, handler)->Read();
  }

  ServerOptions options_;
  std::shared_ptr<Handler> handler_;
  std::shared_ptr<InFlightCounter> counter_;
  web::http::experimental::listener::http_listener listener_;
  std::uint16_t port_ = 0;
  bool open_ = false;
};

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() = default;

common::Result<std::unique_ptr<Server>> Server::Start(const ServerOptions& options,
                                                      const Handler& handler) {
  using StartResult = common::Result<std::unique_ptr<Server>>;
  const std::optional<ListenAddress> address = ParseListenAddress(options.listen);
  if (!address) return StartResult::Failure("\"" + options.listen + "\" is not in ip:port form");
  std::string message;
  for (int attempt = 0; attempt < kMaxListenTries; ++attempt) {
    auto impl = std::make_unique<Impl>(options, handler);
    try {
      impl->Open(address->ip, address->port != 0 ? address->port : FindFreePort(address->ip));
      return StartResult::Success(std::unique_ptr<Server>(new Server(std::move(impl))));
    } catch (const std::exception& error) {
      message = error.what();
    }
    // Another process can bind the free port between FindFreePort and Open.
    if (address->port != 0) break;
  }
  return StartResult::Failure("cannot listen on " + options.listen + ": " + message);
}

std::uint16_t Server::port() const noexcept { return impl_->port(); }

std::size_t Server::in_flight() const noexcept { return impl_->counter().count(); }

bool Server::WaitIdle(std::chrono::milliseconds timeout) const {
  return impl_->counter().WaitZero(timeout);
}

void Server::Close() { impl_->Close(); }

}  // namespace briarwood::http
