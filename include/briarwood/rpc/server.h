#pragma once

#include <google/protobuf/message_lite.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "briarwood/common/result.h"

namespace briarwood::rpc {

/// Options of the listener for calls from other processes.
struct ServerOptions {
  /// "ip:port"; port 0 picks a free one.
  std::string listen;
  /// Shared credential of the fleet; empty accepts every caller.
  std::string credential;
  /// PEM texts; empty means plain text.
  std::string certificate;
  std::string private_key;
  /// Threads that serve connections. Handlers run on other threads and may block.
  unsigned threads = 4;
};

/// JSON-RPC server whose payloads are protobuf messages.
class Server {
 public:
  /// Handles a serialised request and returns the serialised response.
  using RawHandler = std::function<std::string(const std::string& request)>;

  Server();
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Registers a method; call before Start. Handlers run concurrently on several threads. An
  /// exception in a handler is thrown to the caller as RpcError.
  template <typename Request, typename Response>
  void Handle(const std::string& method, std::function<Response(const Request&)> handler) {
    HandleRaw(method, [handler = std::move(handler)](const std::string& bytes) {
      Request request;
      ParseOrThrow(bytes, request);
      return handler(request).SerializeAsString();
    });
  }

  /// \returns the port in use, or an error that describes why the address cannot be used.
  common::Result<std::uint16_t> Start(const ServerOptions& options);

  /// Stops listening and waits for running handlers.
  void Stop();

 private:
  class Impl;

  void HandleRaw(const std::string& method, RawHandler handler);
  /// \returns an empty string, or why the address cannot be used.
  std::string Listen(const ServerOptions& options, std::uint16_t port);
  static void ParseOrThrow(const std::string& bytes, google::protobuf::MessageLite& message);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::rpc
