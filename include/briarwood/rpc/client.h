#pragma once

#include <google/protobuf/message_lite.h>

#include <chrono>
#include <memory>
#include <string>

#include "briarwood/rpc/error.h"

namespace briarwood::rpc {

struct ClientOptions {
  /// "ip:port" of the other process.
  std::string address;
  /// Shared credential of the fleet.
  std::string credential;
  /// CA file; empty means plain text.
  std::string ca_file;
  std::chrono::milliseconds timeout{2000};
};

/// Client for one other process. Thread-safe: each concurrent call uses a connection of the pool.
class Client {
 public:
  explicit Client(ClientOptions options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Blocks until the response arrives; throws RpcError. Not for threads of the HTTP library's
  /// pool.
  template <typename Response, typename Request>
  [[nodiscard]] Response Call(const std::string& method, const Request& request) {
    return Call<Response>(method, request, options_.timeout);
  }

  template <typename Response, typename Request>
  [[nodiscard]] Response Call(const std::string& method, const Request& request,
                              std::chrono::milliseconds timeout) {
    Response response;
    CallRaw(method, request.SerializeAsString(), timeout, response);
    return response;
  }

  [[nodiscard]] const std::string& address() const noexcept { return options_.address; }

 private:
  class Impl;

  void CallRaw(const std::string& method, const std::string& request,
               std::chrono::milliseconds timeout, google::protobuf::MessageLite& response);

  ClientOptions options_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::rpc
