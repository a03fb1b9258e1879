#include "briarwood/http/client.h"

#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>

#include <algorithm>
#include <future>
#include <string>
#include <utility>

#include "briarwood/http/heads.h"

namespace briarwood::http {
namespace {

using ByteBuffer = concurrency::streams::streambuf<std::uint8_t>;

constexpr std::string_view kConnectFailureText = "Failed to connect to any resolved endpoint";

Headers ToHeaders(const web::http::http_headers& headers) {
  Headers result;
  for (const auto& [name, value] : headers) result.emplace(name, value);
  return result;
}

/// State of one call. Keeps itself alive through the continuations that hold it.
class RunningCall : public Call, public std::enable_shared_from_this<RunningCall> {
 public:
  explicit RunningCall(CallHandlers handlers) : handlers_(std::move(handlers)) {}

  void Cancel() override { cancellation_.cancel(); }

  void Start(const web::http::client::http_client& client, const web::http::http_request& request) {
    const auto self = shared_from_this();
    auto sender = client;
    sender.request(request, cancellation_.get_token())
        .then([self, sender](const pplx::task<web::http::http_response>& task) {
          self->HandleHead(task);
        });
  }

 private:
  void HandleHead(const pplx::task<web::http::http_response>& task) {
    try {
      response_ = task.get();
      buffer_ = response_.body().streambuf();
    } catch (const std::exception& error) {
      Fail(error.what());
      return;
    }
    if (!IsValidStatus(response_.status_code())) {
      const std::string problem =
          "response with the invalid status " + std::to_string(response_.status_code());
      cancellation_.cancel();
      End({.complete = false, .message = problem});
      return;
    }
    if (handlers_.on_head) {
      handlers_.on_head(response_.status_code(), ToHeaders(response_.headers()));
    }
    ReadNext();
  }

  // Each read starts the next one without returning its task: the nested tasks of a long stream
  // would all be kept in memory and completed recursively.
  void ReadNext() {
    buffer_.getc().then(
        [self = shared_from_this()](const pplx::task<int>& task) { self->HandleData(task); });
  }

  void HandleData(const pplx::task<int>& task) {
    try {
      if (task.get() == ByteBuffer::traits::eof()) {
        FinishBody();
        return;
      }
      std::string data(std::max<std::size_t>(buffer_.in_avail(), 1), '\0');
      const std::size_t size =
          buffer_.getn(reinterpret_cast<std::uint8_t*>(data.data()), data.size()).get();
      data.resize(size);
      if (!data.empty() && handlers_.on_data) handlers_.on_data(data);
    } catch (const std::exception& error) {
      Fail(error.what());
      return;
    }
    ReadNext();
  }

  // The end of the buffer alone does not show that the body is complete.
  void FinishBody() {
    response_.content_ready().then(
        [self = shared_from_this()](const pplx::task<web::http::http_response>& task) {
          try {
            task.get();
          } catch (const std::exception& error) {
            self->Fail(error.what());
            return;
          }
          self->End({.complete = true});
        });
  }

  void Fail(const std::string& message) {
    End({.complete = false,
         .certainly_not_sent = message.find(kConnectFailureText) != std::string::npos,
         .cancelled = cancellation_.get_token().is_canceled(),
         .message = message});
  }

  void End(const CallOutcome& outcome) {
    if (handlers_.on_end) handlers_.on_end(outcome);
    handlers_ = {};
  }

  CallHandlers handlers_;
  pplx::cancellation_token_source cancellation_;
  web::http::http_response response_;
  ByteBuffer buffer_;
};

web::http::http_request MakeRequest(const std::string& method, const std::string& path_and_query,
                                    const Headers& headers, std::string body) {
  web::http::http_request request(method);
  request.set_request_uri(web::uri(path_and_query));
  for (const auto& [name, value] : headers) request.headers().add(name, value);
  if (method == web::http::methods::GET || method == web::http::methods::HEAD) return request;
  // A producer_consumer_buffer cannot be rewound, which prevents the library from sending the
  // request a second time.
  concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
  buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(body.data()), body.size()).wait();
  buffer.close(std::ios_base::out).wait();
  const std::string content_type = FindHeader(headers, "Content-Type");
  request.set_body(buffer.create_istream(), body.size(),
                   content_type.empty() ? "application/octet-stream" : content_type);
  return request;
}

web::http::client::http_client_config MakeConfig(const ClientOptions& options) {
  web::http::client::http_client_config config;
  config.set_timeout(options.timeout);
  if (!options.ca_file.empty()) {
    config.set_ssl_context_callback(
        [ca_file = options.ca_file](boost::asio::ssl::context& context) {
          context.load_verify_file(ca_file);
        });
  }
  return config;
}

}  // namespace

class Client::Impl {
 public:
  explicit Impl(ClientOptions options) : options_(std::move(options)), client_(NewClient()) {}

  [[nodiscard]] web::http::client::http_client NewClient() const {
    return {web::uri(options_.base_url), MakeConfig(options_)};
  }

  [[nodiscard]] const web::http::client::http_client& pooled() const noexcept { return client_; }

 private:
  ClientOptions options_;
  web::http::client::http_client client_;
};

Client::Client(ClientOptions options) {
  try {
    impl_ = std::make_unique<Impl>(std::move(options));
  } catch (const std::exception& error) {
    throw HttpError(error.what());
  }
}

Client::~Client() = default;

std::shared_ptr<Call> Client::Send(const std::string& method, const std::string& path_and_query,
                                   const Headers& headers, std::string body,
                                   CallHandlers handlers) {
  auto call = std::make_shared<RunningCall>(std::move(handlers));
  call->Start(impl_->pooled(), MakeRequest(method, path_and_query, headers, std::move(body)));
  return call;
}

std::shared_ptr<Call> Client::SendOnNewConnection(const std::string& method,
                                                  const std::string& path_and_query,
                                                  const Headers& headers, std::string body,
                                                  CallHandlers handlers) {
  auto call = std::make_shared<RunningCall>(std::move(handlers));
  call->Start(impl_->NewClient(), MakeRequest(method, path_and_query, headers, std::move(body)));
  return call;
}

Response Client::SendAndWait(const std::string& method, const std::string& path_and_query,
                             const Headers& headers, std::string body) {
  // Shared with the callbacks, which may still run on another thread when the wait returns.
  struct State {
    Response response;
    std::promise<CallOutcome> ended;
  };
  const auto state = std::make_shared<State>();
  Send(method, path_and_query, headers, std::move(body),
       {.on_head =
            [state](std::uint16_t status, const Headers& response_headers) {
              state->response.status = status;
              state->response.headers = response_headers;
            },
        .on_data = [state](std::string_view data) { state->response.body.append(data); },
        .on_end = [state](const CallOutcome& outcome) { state->ended.set_value(outcome); }});
  const CallOutcome outcome = state->ended.get_future().get();
  if (!outcome.complete) throw HttpError(outcome.message);
  return std::move(state->response);
}

}  // namespace briarwood::http
