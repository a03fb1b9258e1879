#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "briarwood/common/result.h"

namespace briarwood::emulator {

struct PlainServiceOptions {
  /// "ip:port"; port 0 selects a free port.
  std::string listen = "127.0.0.1:0";
  /// Delay between reading a request and responding to it.
  std::chrono::milliseconds response_delay{0};
  /// Delay until a crashed service restarts; 0 waits for a call of Restart.
  std::chrono::milliseconds restart_delay{500};
};

/// Emulates a plain service that accepts bookings.
///
/// Each POST or DELETE is executed, whatever its path and body: it receives the next booking
/// number, even if the same body was booked before, so that tests detect a second execution. GET
/// reports the number of bookings. GET and POST /emulator serve counters and fault injection.
/// Thread-safe.
class PlainService {
 public:
  /// \returns the running service, or an error that describes why it cannot listen on the address.
  static common::Result<std::unique_ptr<PlainService>> Start(const PlainServiceOptions& options);

  ~PlainService();
  PlainService(const PlainService&) = delete;
  PlainService& operator=(const PlainService&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::string url() const;
  [[nodiscard]] bool up() const;

  /// Number of executions since the first start.
  [[nodiscard]] std::uint64_t runs() const;
  /// Number of executions with this body.
  [[nodiscard]] std::uint64_t RunsOf(const std::string& body) const;
  /// Number of requests that contained the watched text.
  [[nodiscard]] std::uint64_t watched_text_seen() const;

  void SetResponseDelay(std::chrono::milliseconds delay);

  /// Makes the service crash after it has executed the next POST or DELETE, before it responds.
  void CrashAfterExecuting();

  /// Restarts a crashed service on the same port.
  void Restart();

  /// Counts requests that contain `text` in path, query, a header or the body.
  void WatchFor(const std::string& text);

 private:
  class Impl;
  explicit PlainService(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::emulator
