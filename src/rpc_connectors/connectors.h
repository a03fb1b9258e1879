#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

// This header is valid C++14 and free of libjsonrpccpp types, so that C++20 code can include it.
namespace briarwood {
namespace rpc_connectors {

/// Thrown when a listener cannot start or a call receives no valid response.
class ConnectorError : public std::runtime_error {
 public:
  ConnectorError(const std::string& message, bool sent, bool refused = false)
      : std::runtime_error(message), sent_(sent), refused_(refused) {}

  /// False if it is certain that no byte of the request was sent.
  // NOLINTNEXTLINE(modernize-use-nodiscard): C++14 has no such attribute
  bool sent() const noexcept { return sent_; }

  /// True if the connection was refused, so that nothing listens at the address.
  // NOLINTNEXTLINE(modernize-use-nodiscard): C++14 has no such attribute
  bool refused() const noexcept { return refused_; }

 private:
  bool sent_;
  bool refused_;
};

/// PEM texts; an empty certificate means plain text.
struct ServerTls {
  std::string certificate;
  std::string private_key;
};

struct ServerOptions {
  /// IP address and port to bind; port 0 picks a free port.
  std::string address;
  std::uint16_t port;
  /// Expected bearer credential; empty accepts every caller.
  std::string credential;
  ServerTls tls;
  unsigned threads;
  std::size_t max_request_bytes;
};

/// Handles a call of `method` with the base64 payload `payload` and returns the base64 payload of
/// the response. Exceptions become JSON-RPC errors with their text.
using Dispatch = std::function<std::string(const std::string& method, const std::string& payload)>;

/// JSON-RPC 2.0 listener over HTTP.
class Listener {
 public:
  /// Throws ConnectorError if the address cannot be bound.
  static std::unique_ptr<Listener> Start(const ServerOptions& options, Dispatch dispatch);

  virtual ~Listener() = default;

  /// Returns the port in use.
  // NOLINTNEXTLINE(modernize-use-nodiscard): C++14 has no such attribute
  virtual std::uint16_t port() const noexcept = 0;
};

struct ClientOptions {
  /// "http://ip:port" or "https://ip:port".
  std::string url;
  std::string credential;
  /// CA file for https.
  std::string ca_file;
  std::int64_t timeout_ms;
};

/// JSON-RPC 2.0 client that keeps one connection; calls must not overlap.
class JsonRpcClient {
 public:
  static std::unique_ptr<JsonRpcClient> Create(const ClientOptions& options);

  virtual ~JsonRpcClient() = default;

  /// Returns the base64 payload of the response; throws ConnectorError.
  virtual std::string Call(const std::string& method, const std::string& payload,
                           std::int64_t timeout_ms) = 0;
};

}  // namespace rpc_connectors
}  // namespace briarwood
