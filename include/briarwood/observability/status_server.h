#pragma once

#include <functional>
#include <memory>
#include <string>

#include "briarwood/common/result.h"
#include "briarwood/observability/metrics.h"

namespace briarwood::http {
class Server;
}  // namespace briarwood::http

namespace briarwood::observability {

/// HTTP server of a daemon for /metrics, /healthz and /readyz.
class StatusServer {
 public:
  /// \param listen   "ip:port"; port 0 picks a free one
  /// \param metrics  must outlive the server
  /// \param ready    returns the state for /readyz; must not block
  static common::Result<std::unique_ptr<StatusServer>> Start(const std::string& listen,
                                                             const Metrics& metrics,
                                                             std::function<bool()> ready);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  explicit StatusServer(std::unique_ptr<http::Server> server);

  std::unique_ptr<http::Server> server_;
};

}  // namespace briarwood::observability
