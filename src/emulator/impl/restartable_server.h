#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/http/server.h"

namespace briarwood::emulator::impl {

/// HTTP server that can be stopped abruptly and started again on the same port.
class RestartableServer {
 public:
  explicit RestartableServer(http::Server::Handler handler) : handler_(std::move(handler)) {}
  ~RestartableServer() { Stop(); }
  RestartableServer(const RestartableServer&) = delete;
  RestartableServer& operator=(const RestartableServer&) = delete;

  /// \param listen  "ip:port"; later starts use the port of the first start
  common::Result<std::uint16_t> Start(const std::string& listen);

  /// Keeps an exchange open without a response until the server stops.
  void Hold(std::shared_ptr<http::Exchange> exchange);

  /// Closes the listener and all connections; held exchanges get no response. Must not be called
  /// from a thread of the HTTP library.
  void Stop();

  [[nodiscard]] bool up() const;
  [[nodiscard]] std::uint16_t port() const;

 private:
  http::Server::Handler handler_;
  mutable std::mutex mutex_;
  std::string address_;
  std::uint16_t port_ = 0;
  std::unique_ptr<http::Server> server_;
  std::vector<std::shared_ptr<http::Exchange>> held_;
};

}  // namespace briarwood::emulator::impl
