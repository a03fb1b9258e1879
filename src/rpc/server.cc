#include "briarwood/rpc/server.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "briarwood/common/base64.h"
#include "briarwood/rpc/error.h"
#include "rpc_connectors/connectors.h"

namespace briarwood::rpc {
namespace {

// Enough for a complete snapshot chunk or configuration document in base64.
constexpr std::size_t kMaxRequestBytes = std::size_t{16} * 1024 * 1024;

/// Time for which the listen address may still be in use at the start: by the previous process, or
/// by an outgoing connection that was given this port.
constexpr std::chrono::milliseconds kListenTimeout{5000};
constexpr std::chrono::milliseconds kListenRetryDelay{50};

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return port;
}

}  // namespace

class Server::Impl {
 public:
  void Add(const std::string& method, RawHandler handler) {
    handlers_[method] = std::move(handler);
  }

  void Start(const rpc_connectors::ServerOptions& options) {
    listener_ = rpc_connectors::Listener::Start(
        options, [this](const std::string& method, const std::string& payload) {
          return Dispatch(method, payload);
        });
  }

  void Stop() { listener_.reset(); }

  [[nodiscard]] std::uint16_t port() const noexcept { return listener_->port(); }

 private:
  [[nodiscard]] std::string Dispatch(const std::string& method, const std::string& payload) const {
    const auto handler = handlers_.find(method);
    if (handler == handlers_.end()) throw RpcError("unknown method \"" + method + "\"", true);
    const std::optional<std::string> request = common::DecodeBase64(payload);
    if (!request) throw RpcError("payload is not valid base64", true);
    return common::EncodeBase64(handler->second(*request));
  }

  std::map<std::string, RawHandler> handlers_;
  std::unique_ptr<rpc_connectors::Listener> listener_;
};

Server::Server() : impl_(std::make_unique<Impl>()) {}

Server::~Server() = default;

void Server::HandleRaw(const std::string& method, RawHandler handler) {
  impl_->Add(method, std::move(handler));
}

void Server::ParseOrThrow(const std::string& bytes, google::protobuf::MessageLite& message) {
  if (!message.ParseFromString(bytes)) {
    throw RpcError("payload is not a valid " + message.GetTypeName(), true);
  }
}

common::Result<std::uint16_t> Server::Start(const ServerOptions& options) {
  using StartResult = common::Result<std::uint16_t>;
  const std::size_t colon = options.listen.rfind(':');
  const std::optional<std::uint16_t> port =
      colon == std::string::npos ? std::nullopt : ParsePort(options.listen.substr(colon + 1));
  if (!port) return StartResult::Failure("\"" + options.listen + "\" is not in ip:port form");
  const auto end = std::chrono::steady_clock::now() + kListenTimeout;
  for (;;) {
    std::string problem = Listen(options, *port);
    if (problem.empty()) return StartResult::Success(impl_->port());
    if (std::chrono::steady_clock::now() >= end) return StartResult::Failure(std::move(problem));
    std::this_thread::sleep_for(kListenRetryDelay);
  }
}

std::string Server::Listen(const ServerOptions& options, std::uint16_t port) {
  try {
    impl_->Start({.address = options.listen.substr(0, options.listen.rfind(':')),
                  .port = port,
                  .credential = options.credential,
                  .tls = {.certificate = options.certificate, .private_key = options.private_key},
                  .threads = options.threads,
                  .max_request_bytes = kMaxRequestBytes});
  } catch (const rpc_connectors::ConnectorError& error) {
    return error.what();
  }
  return {};
}

void Server::Stop() { impl_->Stop(); }

}  // namespace briarwood::rpc
